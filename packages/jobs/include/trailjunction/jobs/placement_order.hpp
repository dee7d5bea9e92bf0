// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Orders waiting tasks for placement.
#pragma once

#include "job_table.hpp"

#include <cstdint>
#include <vector>

namespace trailjunction
{
	/// \brief Whether a job can still meet its objective, by the estimates of its tasks.
	enum class job_outlook : std::uint8_t
	{
		in_time,
		late,
		hopeless, ///< So late that nobody waits for the result.
	};

	/// \brief The time of a decision, on both clocks that jobs use.
	struct decision_time
	{
		instant now{};
		std::int64_t unix_ms{}; ///< Wall-clock time, for occurrences with due times.
	};

	/// \brief A task that waits for a worker, with the properties that determine its position in the queue.
	struct placement_request
	{
		task_key key;
		const job_state* job{};
		const task_group* group{};
		const job_task* task{};
		job_outlook outlook{job_outlook::in_time};
		/// The job's age plus the remaining time of its critical path, as a share of its objective; at 1 the job can
		/// just finish in time.
		double urgency{};
		millis run_time{}; ///< Expected run time of the task.
		double merit{};    ///< See job_merit.hpp; 0 for long-running tasks.
		/// No task of the occurrence runs and none has changed its state for some time. If the service has spare room,
		/// the job gets one place regardless of the harm to other tasks. A long-running filler is starving if it has
		/// waited for that time itself, and gets its place however full the service is.
		bool starving{};
		/// How strongly the task is suspected of crashing workers, which decides how it may be started.
		suspicion crash_suspicion{suspicion::none};
		/// The task is not to be started yet on workers that have crashed under it repeatedly.
		bool avoids_workers{};
	};

	/// \brief Sorts waiting tasks in the order in which they are placed.
	/// \details Sorts by queue priority; then long-running tasks first, since a serving task's users miss it until it
	/// is back; tasks of hopeless jobs last; then by the job's merit, see job_merit.hpp. The merit of a job rises as
	/// its remaining work shrinks, so started jobs finish before others begin.
	///
	/// \param waiting As returned by waiting_tasks(): the tasks of each group are consecutive. Those that are held back
	/// are left out.
	/// \returns Tasks of the same group and occurrence stay consecutive; within them, starving tasks come first, and
	/// those with the same crash suspicion stay consecutive.
	[[nodiscard]] std::vector<placement_request> order_requests(const job_table& table, std::vector<task_key> waiting,
																decision_time at);
}
