// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Attributes failed runs to a worker or to a task: workers are quarantined, tasks are retried with backoff or
/// parked.
#pragma once

#include <trailjunction/core/ids.hpp>
#include <trailjunction/core/units.hpp>

#include <absl/container/flat_hash_map.h>

#include <deque>

namespace trailjunction
{
	/// \brief Thresholds for quarantining a worker and for parking a task.
	struct health_policy
	{
		int distinct_tasks{3}; ///< Quarantine needs failures of at least this many distinct tasks within the window.
		millis window{60'000}; ///< Failed and successful runs older than this do not count.
		double failure_share{0.6}; ///< Quarantine needs at least this share of failures among the runs in the window.
		millis first_quarantine{15'000};
		millis longest_quarantine{600'000};
		int distinct_workers{3}; ///< A task that failed on this many distinct workers is parked.
	};

	/// \brief A run that ended on a worker.
	struct ended_run
	{
		instant ended_at{};
		task_id task;
		bool failed{};
	};

	/// \brief Recent runs and quarantine of one worker.
	struct worker_health
	{
		std::deque<ended_run> recent_runs;
		instant quarantined_until{};
		int consecutive_quarantines{}; ///< Without a successful run in between; each is twice as long.
	};

	/// \brief Records the end of a run and decides about a quarantine.
	/// \param task_failed_elsewhere Whether the task has failed on other workers too; its failure then does not count
	/// against this worker.
	/// \returns Whether this call quarantined the worker.
	bool record_run_end(worker_health& health, const task_id& task, bool failed, bool task_failed_elsewhere,
						const health_policy& policy, instant now);

	/// \brief The failed runs within the window, divided by the number of recent runs or 4 if that is larger; a cost
	/// term of placement.
	[[nodiscard]] double failure_score(const worker_health& health, const health_policy& policy, instant now);

	/// \brief The wait before a task with this many failures is retried: exponential backoff.
	[[nodiscard]] millis retry_backoff(int failures) noexcept;
}
