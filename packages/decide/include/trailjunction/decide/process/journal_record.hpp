// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Records of a shard's journal: each is one durable change of a task.
#pragma once

#include "task_spec.hpp"

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <vector>

namespace trailjunction
{
	/// \brief The change that a record describes.
	enum class record_kind
	{
		submitted, ///< A task was accepted.
		started,   ///< A run was assigned to a worker; durable before the agent is ordered to start it.
		ended,     ///< A run has provably ended: nothing of it is left on its worker.
		checkpointed,
		fenced,    ///< The run's worker is unreachable; no entry may confirm the run.
		confirmed, ///< The worker reported the run again before the fence expired; the run continues.
		released,  ///< The fence has expired: the run cannot exist any more.
		cancelled,
		parked,   ///< Not retried until an operator resolves it.
		resolved, ///< An operator decided about a parked task or a run with an unknown end.
		placed,   ///< An operator named the worker for the next run.
	};

	/// \brief How a run ended.
	enum class run_end
	{
		finished,
		failed,
		evicted, ///< Stopped after a checkpoint.
		stopped, ///< Stopped without a checkpoint, or by the platform.
		refused, ///< Never handed to the platform by the agent.
		lost,    ///< End unknown; only for replicas, which need no fence.
	};

	[[nodiscard]] std::string_view to_string(run_end end) noexcept;

	/// \brief One record; which fields are used depends on the kind.
	struct journal_record
	{
		record_kind kind{};
		task_id task;
		run_number run;
		worker_id worker;
		incarnation worker_incarnation;
		run_end end_status{};
		checkpoint_id checkpoint;
		std::string reason;
		std::optional<task_spec> spec;
		bool rerun{};     ///< For resolved: run the task again; otherwise it counts as finished.
		bool hand_over{}; ///< For cancelled: the run is handed over to the operators' scripts instead of being stopped.
	};

	/// \brief A batch of records, stored as one row of a shard's journal.
	struct journal_batch
	{
		sequence number;
		epoch owner_epoch;
		member_id owner; ///< Owner that wrote the batch; a batch with a new epoch takes the shard over.
		std::vector<journal_record> records;
	};

	[[nodiscard]] std::string encode_batch(const journal_batch& batch);
	[[nodiscard]] absl::StatusOr<journal_batch> decode_batch(std::string_view text);
}
