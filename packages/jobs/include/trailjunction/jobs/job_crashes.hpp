// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Applies the crash of a worker to the table of jobs.
/// \details Used when a worker is lost or a run is confirmed. The rules for one task are in crash_suspicion.hpp.
#pragma once

#include "job_table.hpp"

#include <optional>
#include <vector>

namespace trailjunction
{
	/// \brief How a task may be started, by its crash record. Members of a gang start beside each other, hence never
	/// alone.
	[[nodiscard]] suspicion task_suspicion(const job_state& job, const task_key& key);

	/// \brief How a waiting task may be started now: task_suspicion(), but a task that has waited to start alone for
	/// its isolation timeout starts like any suspected task. The time for which it was held back does not count.
	[[nodiscard]] suspicion effective_suspicion(const job_state& job, const task_key& key, instant now);

	/// \brief Whether a waiting task may only be started on workers that it need not avoid; see should_avoid_worker().
	/// Members of a gang start beside each other, wherever there is room for all.
	[[nodiscard]] bool must_avoid_workers(const job_state& job, const task_key& key, instant now);

	/// \brief How a placed run restricts its worker: as it was started, or less if its task was cleared since.
	[[nodiscard]] suspicion run_suspicion(const job_state& job, const task_key& key);

	/// \brief A run that was lost with its worker.
	struct lost_run
	{
		task_run run_id;
		suspicion suspicion_at_start{suspicion::none}; ///< How the run was started.
		std::optional<millis> age;            ///< See age_at_crash(); empty if the worker did not crash under the run.
		crash_age age_bounds;                 ///< Certain bounds of its age.
		std::optional<instant> last_response; ///< The worker's last response.
		std::vector<worker_incarnation> silent_workers; ///< See lost_worker.
		double blame{};                                 ///< Its share of the blame for the crash.
	};

	/// \brief Records the crash of a worker, so that crashes at the same time count as correlated.
	/// \details Reassesses crashes that were counted before this one was known.
	/// \returns Tasks against which an earlier crash no longer counts.
	std::vector<task_key> record_worker_crash(job_table& table, const lost_worker& worker, const crash_policy& policy);

	/// \brief The runs that are placed on a lost worker.
	/// \details If a run was started alone, only such runs are blamed: runs that were there before had not crashed the
	/// worker, and nothing was started beside it. The sum of all blame is less than 1.
	/// \param crashed Whether the worker has crashed; otherwise it left, or the reason is unknown.
	[[nodiscard]] std::vector<lost_run> collect_lost_runs(const job_table& table, const lost_worker& worker,
														  bool crashed, const crash_policy& policy);

	/// \brief Records that a run has ended with its worker. A task under which too many workers have crashed fails, and
	/// its job with it; a long-running task is held back instead. A crash under a member of a gang counts against all
	/// members, once per run.
	/// \details A correlated crash does not count if an earlier run of the task got older.
	end_effect record_lost_run(job_table& table, const lost_run& lost, const worker_incarnation& worker,
							   const crash_policy& policy, instant now);

	/// \brief Clears the crash record of the task of a run that has continued for long enough.
	/// \param last_response When its worker last responded.
	/// \returns Whether there was anything to clear.
	bool clear_crashes(job_table& table, const task_run& run_id, const crash_policy& policy, instant last_response);

	/// \brief Lifts the blame from the task of a run that has continued for so long that a crash now is unrelated to
	/// its start. Its crashes still count.
	/// \param last_response When its worker last responded.
	/// \returns Whether there was any blame.
	bool lift_blame(job_table& table, const task_run& run_id, const crash_policy& policy, instant last_response);

	/// \brief Stops counting the crash of a worker against a task, and against the other members of its gang.
	/// \returns Whether it had counted.
	bool discount_crash(job_table& table, const task_key& key, const worker_incarnation& worker);

	/// \brief Whether the crash of a worker counts against a task.
	[[nodiscard]] bool counts_against(const job_table& table, const task_key& key,
									  const worker_incarnation& worker) noexcept;

	/// \brief Retracts the crash of a worker under a task because the worker is still alive.
	/// \returns Whether this changed anything.
	bool retract_crash(job_table& table, const task_key& key, const worker_incarnation& worker);
}
