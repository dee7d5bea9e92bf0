// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Conversions between the scheduler's view of runs and the wire messages exchanged with agents.
#pragma once

#include "shard_journal.hpp"

#include <trailjunction/decide/process/run_report.hpp>

#include <wire_types.h>

#include <string>

namespace trailjunction
{
	/// \brief Converts the report of one run in a heartbeat.
	[[nodiscard]] reported_run to_reported_run(const wire::run_report& report);

	/// \brief The confirmation of a reported run under the shard's current epoch.
	[[nodiscard]] wire::confirmed_run confirmed(const reported_run& reported, const shard_journal& journal);

	/// \brief The order to stop a run that a newer run has superseded.
	[[nodiscard]] wire::envelope stop_message(const reported_run& reported, const shard_journal& journal);

	/// \brief The order to start the current run of \p task.
	/// \param stamp_ms The stamp of the agent's last heartbeat, by the agent's clock.
	[[nodiscard]] wire::envelope start_message(const task_state& task, const shard_journal& journal,
											   std::int64_t stamp_ms);

	/// \brief An order about the current run of \p task; \p reason is for logs and operators.
	[[nodiscard]] wire::envelope order_message(const task_state& task, const shard_journal& journal,
											   wire::run_order order_kind, const std::string& reason);
}
