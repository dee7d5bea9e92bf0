// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief The syntax tree of operators' commands.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace trailjunction
{
	/// \brief What a command does.
	enum class verb
	{
		show,
		why,
		submit,
		place,
		drain,
		undrain,
		cancel,
		reserve,
		quota,
		set,
		resolve,
		adopt,
		release,
	};

	/// \brief The type of object that a command applies to; the plural nouns select several objects.
	enum class noun
	{
		none,
		workers,
		services,
		tasks,
		requests,
		config,
		accounts,
		members,
		shards,
		worker,
		service,
		task,
		account,
	};

	/// \brief The operator of a condition.
	enum class comparison
	{
		equal,
		unequal,
		less,
		greater,
		at_most,
		at_least,
		contains,
	};

	/// \brief One comparison of a `where` clause: `FIELD OP VALUE`.
	struct condition
	{
		std::string field;
		comparison op{};
		std::string value;
	};

	/// \brief An `order by FIELD [desc]` clause.
	struct ordering
	{
		std::string field;
		bool descending{};
	};

	/// \brief A `NAME VALUE` pair after a command's subject.
	struct command_option
	{
		std::string name;
		std::string value;
	};

	/// \brief One parsed command.
	struct command
	{
		verb action{};
		bool explain_only{}; ///< `explain ...`: a dry run that only describes the effect.
		noun target{noun::none};
		std::string subject; ///< The name of the task, worker, account or path.
		bool negated{};      ///< `why not ...`, as in `why not worker W for task T`.
		std::vector<command_option> options;
		std::vector<condition> conditions;
		std::optional<ordering> order;
		std::optional<std::uint64_t> limit;
		std::optional<std::uint64_t> if_version;

		/// \brief The value of an option, or null if the command does not have it.
		[[nodiscard]] const std::string* option(std::string_view name) const noexcept;
	};

	/// \brief The verb's keyword.
	[[nodiscard]] std::string_view to_string(verb command_verb) noexcept;
}
