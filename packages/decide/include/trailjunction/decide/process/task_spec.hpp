// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief What an operator or a caller declares about a task.
#pragma once

#include <trailjunction/core/field_reader.hpp>
#include <trailjunction/core/ids.hpp>
#include <trailjunction/core/units.hpp>

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace trailjunction
{
	/// \brief Which task goes first.
	enum class urgency
	{
		urgent, ///< Starts within seconds, also while an owner fails.
		normal,
		background, ///< Fills what is left.
	};

	[[nodiscard]] std::string_view to_string(urgency what) noexcept;

	/// \brief One task as it was submitted; never changes afterwards.
	struct task_spec
	{
		task_id id;
		account_id account;
		kind_id kind; ///< What it behaves like; replicas of a service carry the service's name.
		urgency priority{urgency::normal};
		bool repeatable{true}; ///< A run with an unknown end may be followed by another one.
		bool replica{false};   ///< A replica of a service: it is replaced and never fenced.
		resources claim{1000, 256, 0};
		std::string command;        ///< Passed to the worker interface as it is.
		data_centre_id data_centre; ///< Only there; empty: anywhere.
		std::int64_t expected_ms{}; ///< Declared run time; 0: none.
		worker_id adopted_on;       ///< Where the first run is taken over from the operators' scripts; empty: nowhere.
	};

	/// \brief The shard that a task belongs to; replicas of one service share one.
	[[nodiscard]] shard_id shard_of(const task_id& task, std::uint64_t shards) noexcept;

	[[nodiscard]] boost::json::object to_json(const task_spec& spec);

	/// \brief Reads a spec and finishes \p reader; faults are added to the reader's.
	[[nodiscard]] task_spec read_task_spec(field_reader& reader);
}
