// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Declaration of a task by an operator or a caller.
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
	/// \brief Scheduling priority of a task.
	enum class urgency
	{
		urgent, ///< Starts within seconds, also during a failover of its owner.
		normal,
		background, ///< Uses the remaining capacity.
	};

	[[nodiscard]] std::string_view to_string(urgency value) noexcept;

	/// \brief One task as submitted; immutable.
	struct task_spec
	{
		task_id id;
		account_id account;
		kind_id kind; ///< Tasks of one kind behave alike; replicas of a service have the service's name as kind.
		urgency priority{urgency::normal};
		bool repeatable{true}; ///< Whether a run whose end is unknown may be followed by another run.
		bool replica{false};   ///< A replica of a service: replaced when lost, and never fenced.
		resources claim{1000, 256, 0};
		std::string command;        ///< Passed unchanged to the worker interface.
		data_centre_id data_centre; ///< The only data centre that it may run in; empty: any.
		std::int64_t expected_ms{}; ///< Declared run time in milliseconds; 0: none.
		worker_id adopted_on; ///< Worker on which the first run is taken over from the operators' scripts; empty: none.
	};

	/// \brief The shard that a task belongs to; all replicas of one service are in the same shard.
	/// \param shards The number of shards.
	[[nodiscard]] shard_id shard_of(const task_id& task, std::uint64_t shards) noexcept;

	[[nodiscard]] boost::json::object to_json(const task_spec& spec);

	/// \brief Parses a spec and calls finish() of \p reader, which receives the errors.
	[[nodiscard]] task_spec read_task_spec(field_reader& reader);
}
