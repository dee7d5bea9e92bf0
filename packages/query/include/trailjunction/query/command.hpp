// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief The operators' commands as data.
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

	/// \brief What a command is about.
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

	/// \brief How a condition compares.
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

	/// \brief `where FIELD OP VALUE`.
	struct condition
	{
		std::string field;
		comparison how{};
		std::string value;
	};

	/// \brief `order by FIELD [desc]`.
	struct ordering
	{
		std::string field;
		bool descending{};
	};

	/// \brief `NAME VALUE` after a command's subject.
	struct command_option
	{
		std::string name;
		std::string value;
	};

	/// \brief One parsed command.
	struct command
	{
		verb what{};
		bool explain_only{}; ///< `explain ...`: say what would happen.
		noun about{noun::none};
		std::string subject; ///< The name of the task, worker, account or path.
		bool negated{};      ///< `why not worker W for task T`.
		std::vector<command_option> options;
		std::vector<condition> conditions;
		std::optional<ordering> order;
		std::optional<std::uint64_t> limit;
		std::optional<std::uint64_t> if_version;

		/// \brief The value of an option, or nothing.
		[[nodiscard]] const std::string* option(std::string_view name) const noexcept;
	};

	/// \brief The verb as it is written.
	[[nodiscard]] std::string_view to_string(verb what) noexcept;
}
