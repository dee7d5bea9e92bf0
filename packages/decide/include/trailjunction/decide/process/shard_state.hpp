// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief The tasks of one shard.
#pragma once

#include "journal_record.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/status/status.h>

#include <compare>
#include <deque>
#include <set>

namespace trailjunction
{
	/// \brief Where a task stands.
	enum class task_phase
	{
		waiting,    ///< For a worker.
		running,    ///< A run was given to a worker.
		fenced,     ///< Its worker is out of sight: waiting until nothing of the run can be left.
		unresolved, ///< Not repeatable and its end is unknown: waiting for an operator's word.
		parked,     ///< Not tried again until an operator says so.
		finished,
		cancelled,
	};

	[[nodiscard]] std::string_view to_string(task_phase phase) noexcept;

	/// \brief Whether a task in this phase may still have something on its worker.
	[[nodiscard]] constexpr bool holds_worker(task_phase phase) noexcept
	{
		return phase == task_phase::running || phase == task_phase::fenced;
	}

	/// \brief Whether nothing ever happens to a task in this phase.
	[[nodiscard]] constexpr bool is_over(task_phase phase) noexcept
	{
		return phase == task_phase::finished || phase == task_phase::cancelled;
	}

	/// \brief One task with what the journal says of it.
	struct task_state
	{
		task_spec spec;
		task_phase phase{task_phase::waiting};
		run_number run;                   ///< The last run that was started; 0: none.
		worker_id worker;                 ///< Of that run.
		incarnation worker_life;          ///< The life of the agent that the run was given to, or that found it last.
		checkpoint_id checkpoint;         ///< Where the next run resumes.
		std::vector<worker_id> failed_on; ///< Distinct workers on which runs failed.
		int failures{};
		int evictions{};
		std::uint64_t order{}; ///< Of submission.
		std::string reason;    ///< Why it is where it is.
		worker_id wanted;      ///< An operator's choice for the next run.
		bool cancel_wanted{};  ///< Cancelled while it runs: over when the run has ended.
		bool release_wanted{}; ///< Then the run is left to the operators' scripts.
	};

	/// \brief A waiting task's place in the queue.
	struct queue_place
	{
		urgency priority{};
		std::uint64_t order{};
		task_id task;

		[[nodiscard]] friend auto operator<=>(const queue_place&, const queue_place&) = default;
	};

	/// \brief The tasks of one shard, as the applied part of its journal says.
	struct shard_state
	{
		epoch current;
		member_id owner;
		sequence applied;
		std::uint64_t submitted{};
		absl::flat_hash_map<task_id, task_state> tasks;
		std::set<queue_place> waiting;
		absl::flat_hash_map<worker_id, absl::flat_hash_set<task_id>> on_worker; ///< Tasks for which holds_worker().
		absl::flat_hash_map<account_id, resources> account_use;                 ///< Claims of those tasks.
		std::deque<task_id> over; ///< Ended tasks, oldest first; kept so that a repeated submit is recognised.
	};

	/// \brief Ended tasks that a shard remembers.
	inline constexpr std::size_t ended_tasks_kept = 20'000;

	/// \brief Applies one record.
	/// \details The only way in which tasks change: the owner applies a record when it decides, a successor when it
	/// replays. A record that does not fit is refused and changes nothing; run numbers make late records harmless.
	[[nodiscard]] absl::Status apply(shard_state& shard, const journal_record& record);

	/// \brief Applies a batch that is next in order.
	[[nodiscard]] absl::Status apply(shard_state& shard, const journal_batch& batch);

	/// \brief The whole state as a text for the object store.
	[[nodiscard]] std::string encode_snapshot(const shard_state& shard);
	[[nodiscard]] absl::StatusOr<shard_state> decode_snapshot(std::string_view text);
}
