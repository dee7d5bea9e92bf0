// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief What is known of a job and its tasks.
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
	/// \brief Where a task stands.
	enum class task_stage : std::uint8_t
	{
		waiting = 0, ///< Nowhere; may be placed once its turn has come.
		ordered = 1, ///< Given to a worker, which has not confirmed it.
		running = 2, ///< The worker has confirmed it.
		done = 3,
		failed = 4, ///< It failed as often as its queue allows, or crashed too many workers.
	};

	/// \brief One task.
	struct job_task
	{
		task_stage phase{task_stage::waiting};
		std::uint32_t run{};        ///< The latest run; 0 before the first.
		std::uint32_t failures{};   ///< Runs that failed by their own fault or their worker's; of a gang: its runs.
		worker_life worker;         ///< Where the latest run is, while ordered or running.
		std::string checkpoint;     ///< To resume from.
		instant since{};            ///< Of the present phase; of this process only.
		instant ordered{};          ///< When the latest run was given to its worker; of this process only.
		worker_life failed_on;      ///< Where the latest failure was; of this process only.
		std::uint32_t failed_run{}; ///< The latest run whose failure is counted.
		crash_record crashes;       ///< Of a gang: what its members share.
		suspicion started{suspicion::none}; ///< How the latest run was started; of this process only.
		std::uint32_t crashed_run{};        ///< The latest run whose crash is counted.
		std::int64_t figure{};              ///< The worker's last measure; see job_run in wire.thrift.
		instant stop_ordered{}; ///< When its worker was last told to stop the latest run; of this process only.
		bool at_work{};         ///< Its worker says that the latest run serves; of lasting tasks alone.
	};

	/// \brief How a job stands.
	enum class job_status : std::uint8_t
	{
		queued = 0,
		running = 1,
		completed = 2,
		failed = 3,
		cancelled = 4,
	};

	[[nodiscard]] std::string_view to_string(job_status status) noexcept;

	/// \brief Whether nothing of the job will be started any more.
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
		std::vector<job_task> tasks; ///< By place_of(); all occurrences, groups and indexes in order.
		std::uint64_t occurrence_size{};
		std::int64_t ended_ms{}; ///< Of the store's clock; 0 while it has not ended or that is not known.
		instant accepted{};      ///< When this process learnt of it.
		/// How long the first whole run took that ended well, by group; 0: none yet. Of this process only.
		std::vector<millis> took;
	};

	/// \brief A job none of whose tasks has begun.
	[[nodiscard]] job_state make_job(job_id id, queue_policy queue, job_spec spec, instant now);

	/// \brief The index of a task in job_state::tasks; tasks.size() where there is no such task.
	[[nodiscard]] std::size_t place_of(const job_state& job, const task_key& key) noexcept;

	/// \brief The inverse of place_of().
	[[nodiscard]] task_key key_of(const job_state& job, std::size_t place);

	/// \brief Whether every task of a group has ended `done`.
	[[nodiscard]] bool is_done(const job_state& job, std::uint32_t occurrence, std::uint32_t group) noexcept;

	/// \brief Whether the turn of a group has come: its due time, and the groups before it.
	/// \param unix_ms The time of day.
	[[nodiscard]] bool is_due(const job_state& job, std::uint32_t occurrence, std::uint32_t group,
							  std::int64_t unix_ms) noexcept;

	/// \brief The longest chain of run times from a group to the end of the graph, itself included.
	/// \param times Of the tasks of each group.
	[[nodiscard]] millis chain_from(const job_spec& spec, std::span<const millis> times, std::uint32_t group);
}
