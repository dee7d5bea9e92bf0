// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief The state of a job and its tasks.
#pragma once

#include "crash_suspicion.hpp"
#include "job_ids.hpp"
#include "job_spec.hpp"
#include "queue_policy.hpp"

#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace trailjunction
{
	/// \brief The phase of a task.
	enum class task_stage : std::uint8_t
	{
		waiting = 0, ///< Not placed; may be placed once it is due.
		ordered = 1, ///< Assigned to a worker that has not confirmed it.
		running = 2, ///< The worker has confirmed it.
		done = 3,
		failed = 4, ///< It failed as often as its queue allows, or crashed too many workers.
	};

	/// \brief One task.
	struct job_task
	{
		task_stage phase{task_stage::waiting};
		std::uint32_t run{}; ///< The latest run; 0 before the first.
		/// Runs that failed by their own fault or their worker's; for a gang, runs of the gang.
		std::uint32_t failures{};
		worker_incarnation worker;                     ///< Worker of the latest run, while ordered or running.
		std::string checkpoint;                        ///< Where the next run resumes.
		instant phase_since{};                         ///< Start of the present phase; not stored.
		instant idle_since{};                          ///< End of the last confirmed run in this term; not stored.
		instant ordered_at{};                          ///< When the latest run was assigned to its worker; not stored.
		worker_incarnation failed_on;                  ///< Worker of the latest failure; not stored.
		std::uint32_t failed_run{};                    ///< The latest run whose failure is counted.
		crash_record crashes;                          ///< Shared by the members of a gang.
		suspicion suspicion_at_start{suspicion::none}; ///< How the latest run was started; not stored.
		std::uint32_t crashed_run{};                   ///< The latest run whose crash is counted.
		std::int64_t measurement{}; ///< The last figure that the worker reported; see job_run in wire.thrift.
		instant stop_ordered_at{};  ///< When its worker was last ordered to stop the latest run; not stored.
		/// Not started before this because too many workers have crashed under it; instant{} if it is not held back.
		/// Once this time has passed, the task waits to be started alone. See held_tasks.hpp.
		instant held_until{};
		std::int64_t held_until_ms{}; ///< held_until in ms of the store's clock; 0 if that is not known yet.
		bool is_serving{}; ///< Its worker reports that the latest run serves callers; long-running tasks only.
		/// A listing of its worker has shown the latest run, so no later incarnation with the worker's id can have it.
		/// The answer to a start proves less: it does not state which incarnation gave it.
		bool is_listed{};
	};

	/// \brief The status of a job.
	enum class job_status : std::uint8_t
	{
		queued = 0,
		running = 1,
		completed = 2,
		failed = 3,
		cancelled = 4,
	};

	[[nodiscard]] std::string_view to_string(job_status status) noexcept;

	/// \brief Whether no task of the job will be started any more.
	[[nodiscard]] constexpr bool has_ended(job_status status) noexcept
	{
		return status >= job_status::completed;
	}

	/// \brief One job.
	struct job_state
	{
		job_id id;
		queue_policy queue;
		job_spec spec;
		job_status status{job_status::queued};
		std::vector<job_task> tasks; ///< Indexed by task_index(): all occurrences, groups and indexes in order.
		std::uint64_t occurrence_size{};
		std::int64_t ended_ms{}; ///< In ms of the store's clock; 0 if it has not ended or the time is not known.
		instant accepted_at{};   ///< When this process added it.
		/// Run time of the first complete run that succeeded, by group; 0 if there is none yet. Not stored.
		std::vector<millis> first_run_times;
	};

	/// \brief Creates a job of which no task has begun.
	[[nodiscard]] job_state make_job(job_id id, queue_policy queue, job_spec spec, instant now);

	/// \brief The index of a task in job_state::tasks; tasks.size() if there is no such task.
	[[nodiscard]] std::size_t task_index(const job_state& job, const task_key& key) noexcept;

	/// \brief The inverse of task_index().
	[[nodiscard]] task_key task_key_at(const job_state& job, std::size_t position);

	/// \brief Whether every task of a group has ended `done`.
	[[nodiscard]] bool is_group_done(const job_state& job, std::uint32_t occurrence, std::uint32_t group) noexcept;

	/// \brief Whether a group may start: its due time has come and the groups before it are done.
	/// \param unix_ms The current time.
	[[nodiscard]] bool is_due(const job_state& job, std::uint32_t occurrence, std::uint32_t group,
							  std::int64_t unix_ms) noexcept;

	/// \brief Length of the critical path from a group to the end of the graph, including the group itself.
	/// \param times Run time of a task, by group.
	[[nodiscard]] millis critical_path_from(const job_spec& spec, std::span<const millis> times, std::uint32_t group);
}
