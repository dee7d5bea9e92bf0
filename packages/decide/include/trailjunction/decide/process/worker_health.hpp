// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Whether a worker or a task is to blame for failures.
#pragma once

#include <trailjunction/core/ids.hpp>
#include <trailjunction/core/units.hpp>

#include <absl/container/flat_hash_map.h>

#include <deque>

namespace trailjunction
{
	/// \brief When failures lead to a quarantine or to parking.
	struct health_policy
	{
		int distinct_tasks{3};    ///< Distinct tasks that must have failed on a worker lately.
		millis window{60'000};    ///< Failures and successes older than this do not count.
		double failed_share{0.6}; ///< Of the runs that ended on it lately.
		millis first_quarantine{15'000};
		millis longest_quarantine{600'000};
		int distinct_workers{3}; ///< A task that failed on so many workers is parked.
	};

	/// \brief One run that has ended on a worker.
	struct ended_run
	{
		instant at{};
		task_id task;
		bool failed{};
	};

	/// \brief What is known about one worker's health.
	struct worker_health
	{
		std::deque<ended_run> lately;
		instant quarantined_until{};
		int quarantines{}; ///< In a row; each is twice as long.
	};

	/// \brief Notes the end of a run.
	/// \param task_failed_elsewhere Whether the task has failed on other workers too: then it is no evidence against
	/// this one.
	/// \returns Whether the worker is quarantined by this.
	bool note_end(worker_health& health, const task_id& task, bool failed, bool task_failed_elsewhere,
				  const health_policy& policy, instant now);

	/// \brief The share of failures lately, for the cost of a placement.
	[[nodiscard]] double failure_score(const worker_health& health, const health_policy& policy, instant now);

	/// \brief The wait before a task that failed so often is tried again.
	[[nodiscard]] millis retry_pause(int failures) noexcept;
}
