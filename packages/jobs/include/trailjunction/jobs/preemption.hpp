// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Which runs give way to waiting tasks of higher priority.
#pragma once

#include "job_placement.hpp"
#include "job_table.hpp"

#include <span>
#include <vector>

namespace trailjunction
{
	/// \brief Limits of preemption.
	struct preemption_policy
	{
		/// A run that has worked for less is left alone unless it saves its work: short tasks end by themselves, and
		/// runs that have just begun would be stopped again and again. Stops and starts take 0.3 s together.
		millis least_age{300};
		/// A batch task with more slack than this waits for the next end: a stop and a start fit in, and some delay.
		millis most_slack{300};
		/// A serving task waits for so long for room that becomes free by itself.
		millis serving_patience{1'000};
	};

	/// \brief Chooses runs to stop for tasks that wait without room.
	/// \details Only batch tasks of queues with a lower priority give way, no fillers (they claim no processors) and no
	/// gangs. For each waiting task it is the worker where the least unsaved work is thrown away. Room of runs that
	/// were told to stop before counts as free soon, so nobody is stopped twice for one task. Nothing is stopped for
	/// gangs and fillers, nor for a job that has time to wait or that is late anyway.
	///
	/// \param workers As place_tasks() left them, with all claims charged.
	/// \param waiting Tasks that were not placed.
	[[nodiscard]] std::vector<task_run> choose_preemptions(std::span<const worker_room> workers, const job_table& table,
														   const std::vector<task_key>& waiting,
														   const preemption_policy& policy, instant now);
}
