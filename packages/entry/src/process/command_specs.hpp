// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Conversion of the options of operators' commands to specifications.
#pragma once

#include <trailjunction/decide/process/task_spec.hpp>
#include <trailjunction/query/command.hpp>

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace trailjunction
{
	/// \brief The specifications that a `submit` or `adopt` declares: one task, or all replicas of a service.
	/// \returns invalid_argument if an option is unknown or has a wrong value.
	[[nodiscard]] absl::StatusOr<std::vector<task_spec>> parse_task_specs(const command& parsed);

	/// \brief The text of a `submit` command for one replica, to forward to the entry that owns its shard.
	[[nodiscard]] std::string replica_command(const task_spec& replica);

	/// \brief The amounts of a `reserve` or `quota`, as a JSON object.
	/// \returns invalid_argument if an option is not a resource or not a whole number.
	[[nodiscard]] absl::StatusOr<std::string> parse_amounts(const command& parsed);

	/// \brief The JSON Pointer of a member of one worker's configuration.
	[[nodiscard]] std::string worker_path(const std::string& worker, const std::string& member);

	/// \brief Escapes a name as a reference token of a JSON Pointer (RFC 6901).
	[[nodiscard]] std::string escape_reference_token(const std::string& name);
}
