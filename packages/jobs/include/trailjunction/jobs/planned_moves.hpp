// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Moves: runs that the owner stops by choice so that their tasks start elsewhere, within each group's limit of
/// absent tasks.
/// \details All reasons for a move share the limit, so that rearrangement, upkeep and shrunk workers together do not
/// stop more tasks of a group than its callers tolerate. A task that is absent for any other cause counts too, since
/// its callers miss it as well.
#pragma once

#include "job_ids.hpp"

#include <trailjunction/core/units.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string_view>

namespace trailjunction
{
	struct job_state;
	struct job_table;

	/// \brief Why a task is moved.
	enum class move_reason : std::uint8_t
	{
		arrangement, ///< The task runs better, or harms other tasks less, on another worker.
		shrunk_room, ///< The capacity of its worker has shrunk below the claims there.
		upkeep,      ///< Its worker's instance is due for upkeep.
	};

	[[nodiscard]] std::string_view to_string(move_reason reason) noexcept;

	/// \brief A run that is being stopped.
	struct planned_move
	{
		move_reason reason{move_reason::arrangement};
		instant since{};
	};

	/// \brief Moves in progress. Not stored: a run that was stopped without a record still ends, and its task waits
	/// like any other.
	using planned_moves = absl::flat_hash_map<task_run, planned_move>;

	/// \brief Number of tasks of a long-running group that are absent for its callers, for any cause; includes tasks
	/// that have started but do not serve yet.
	[[nodiscard]] std::uint32_t absent_tasks(const job_state& job, std::uint32_t occurrence, std::uint32_t group);

	/// \brief Whether one more task of a group may be moved.
	/// \details Tasks of a long-running group that states no number of tolerated absences are never moved, nor are
	/// members of gangs. Other tasks may be moved if they resume from checkpoints, so that only the cost of the move
	/// matters.
	[[nodiscard]] bool may_move(const job_state& job, const task_key& key);

	/// \brief Begins to stop the latest run of a task; runs_to_stop() lists it until it has ended.
	/// \returns Whether the run is now being stopped: false if none is running or the task may not be moved.
	bool begin_move(job_table& table, const task_key& key, move_reason reason, instant now);

	/// \brief Records whether a long-running task serves.
	void note_at_work(job_table& table, const task_run& run_id, bool at_work) noexcept;
}
