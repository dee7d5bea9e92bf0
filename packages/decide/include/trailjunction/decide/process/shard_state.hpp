// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief State of one shard's tasks, as replayed from its journal.
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
	/// \brief Phase of a task.
	enum class task_phase
	{
		waiting,    ///< Waiting for a worker.
		running,    ///< A run was assigned to a worker.
		fenced,     ///< Its worker is unreachable; waiting until nothing of the run can exist any more.
		unresolved, ///< Not repeatable, and the end of its run is unknown; waiting for an operator's decision.
		parked,     ///< Not retried until an operator resolves it.
		finished,
		cancelled,
	};

	[[nodiscard]] std::string_view to_string(task_phase phase) noexcept;

	/// \brief Whether a task in this phase may still have a run on its worker.
	[[nodiscard]] constexpr bool holds_worker(task_phase phase) noexcept
	{
		return phase == task_phase::running || phase == task_phase::fenced;
	}

	/// \brief Whether a task in this phase never changes again.
	[[nodiscard]] constexpr bool is_terminal(task_phase phase) noexcept
	{
		return phase == task_phase::finished || phase == task_phase::cancelled;
	}

	/// \brief One task with its state from the journal.
	struct task_state
	{
		task_spec spec;
		task_phase phase{task_phase::waiting};
		run_number run;                   ///< Last run that was started; 0: none.
		worker_id worker;                 ///< Worker of that run.
		incarnation worker_incarnation;   ///< Incarnation of the agent that started or last reported the run.
		checkpoint_id checkpoint;         ///< Checkpoint that the next run resumes from; may be empty.
		std::vector<worker_id> failed_on; ///< Distinct workers on which runs failed.
		int failures{};
		int evictions{};
		std::uint64_t submission_order{}; ///< Position in the order of submission.
		std::string reason;               ///< Reason of the last change of phase.
		worker_id requested_worker;       ///< Worker that an operator chose for the next run; may be empty.
		bool cancel_requested{};    ///< Cancelled while running; the task becomes cancelled when the run has ended.
		bool hand_over_requested{}; ///< On cancellation, the run is handed over to the operators' scripts.
	};

	/// \brief A waiting task's position in the queue: by urgency, then in order of submission.
	struct queue_position
	{
		urgency priority{};
		std::uint64_t submission_order{};
		task_id task;

		[[nodiscard]] friend auto operator<=>(const queue_position&, const queue_position&) = default;
	};

	/// \brief The tasks of one shard, as described by the applied part of its journal, with indexes over them.
	struct shard_state
	{
		epoch applied_epoch;
		member_id owner;
		sequence last_applied;
		std::uint64_t submitted_count{};
		absl::flat_hash_map<task_id, task_state> tasks;
		std::set<queue_position> waiting;
		/// Tasks for which holds_worker().
		absl::flat_hash_map<worker_id, absl::flat_hash_set<task_id>> tasks_by_worker;
		/// Sum of the claims of the tasks in tasks_by_worker.
		absl::flat_hash_map<account_id, resources> account_usage;
		std::deque<task_id> ended_tasks; ///< Oldest first; kept so that a duplicate submission is recognised.
	};

	/// \brief Maximum number of ended tasks that a shard keeps.
	inline constexpr std::size_t ended_tasks_kept = 20'000;

	/// \brief Applies one record.
	/// \details All changes of tasks go through this function: the owner applies a record when it decides, a successor
	/// when it replays the journal. An invalid record is refused and changes nothing; run numbers make late records
	/// harmless.
	[[nodiscard]] absl::Status apply(shard_state& shard, const journal_record& record);

	/// \brief Applies a batch, which must have the next sequence number.
	/// \returns data_loss if it is out of order, of an older epoch, or holds an invalid record.
	[[nodiscard]] absl::Status apply(shard_state& shard, const journal_batch& batch);

	/// \brief Encodes the whole state for the object store.
	[[nodiscard]] std::string encode_snapshot(const shard_state& shard);
	/// \brief The inverse of encode_snapshot(); data_loss if the snapshot is malformed.
	[[nodiscard]] absl::StatusOr<shard_state> decode_snapshot(std::string_view text);
}
