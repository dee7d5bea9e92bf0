// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Reading the declarations in operators' commands.
#pragma once

#include <trailjunction/decide/process/task_spec.hpp>
#include <trailjunction/query/command.hpp>

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace trailjunction
{
	/// \brief The tasks that a `submit` or `adopt` declares: one, or a service's replicas.
	[[nodiscard]] absl::StatusOr<std::vector<task_spec>> read_specs(const command& what);

	/// \brief The `submit` of one replica, for the entry that owns its shard.
	[[nodiscard]] std::string replica_command(const task_spec& replica);

	/// \brief The amounts of a `reserve` or `quota`, as JSON.
	[[nodiscard]] absl::StatusOr<std::string> read_amounts(const command& what);

	/// \brief The path of one worker's member in the configuration.
	[[nodiscard]] std::string worker_path(const std::string& worker, const std::string& member);

	/// \brief A name as a step of a path.
	[[nodiscard]] std::string escape_step(const std::string& name);
}
