// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief One durable step in the life of a shard's tasks.
#pragma once

#include "task_spec.hpp"

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <vector>

namespace trailjunction
{
	/// \brief What a record says.
	enum class record_kind
	{
		submitted, ///< A task was accepted.
		started,   ///< A run was given to a worker; durable before the agent hears of it.
		ended,     ///< A run is over, with proof: nothing of it is left on its worker.
		checkpointed,
		fenced,    ///< The run's worker is out of sight: nobody may confirm the run.
		confirmed, ///< The worker came back before the fence was over: the run goes on.
		released,  ///< The fence is over: the run cannot exist any more.
		cancelled,
		parked,   ///< Not tried again until an operator says so.
		resolved, ///< An operator's word about a run with an unknown end.
		placed,   ///< An operator named the worker for the next run.
	};

	/// \brief How a run ended.
	enum class run_end
	{
		finished,
		failed,
		evicted, ///< Stopped after a checkpoint.
		stopped, ///< Stopped without one, or by the platform.
		refused, ///< Never handed to the platform by the agent.
		lost,    ///< Unknown: only for replicas, which need no fence.
	};

	[[nodiscard]] std::string_view to_string(run_end how) noexcept;

	/// \brief One record; which fields count depends on the kind.
	struct journal_record
	{
		record_kind kind{};
		task_id task;
		run_number run;
		worker_id worker;
		incarnation worker_life;
		run_end how{};
		checkpoint_id checkpoint;
		std::string reason;
		std::optional<task_spec> spec;
		bool again{};    ///< For resolved: run it again; otherwise it counts as done.
		bool released{}; ///< For cancelled: the run is left to the operators' scripts instead of being stopped.
	};

	/// \brief One batch: what one row of a shard's journal holds.
	struct journal_batch
	{
		sequence number;
		epoch owner_epoch;
		member_id owner; ///< A batch with a new epoch takes the shard over.
		std::vector<journal_record> records;
	};

	[[nodiscard]] std::string encode_batch(const journal_batch& batch);
	[[nodiscard]] absl::StatusOr<journal_batch> decode_batch(std::string_view text);
}
