// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Tasks that the owner takes away from their workers by choice, and how many of a group callers bear to miss.
/// \details All causes share one budget of absences, so that an arrangement, an upkeep and a room that shrinks do not
/// each take away as many tasks of a group as all of them together may. A task that is away for any other cause counts
/// too: its callers miss it all the same.
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

	/// \brief Why a task is taken away.
	enum class move_reason : std::uint8_t
	{
		arrangement, ///< It does better, or harms less, on another worker.
		shrunk_room, ///< Its worker holds less than what runs there claims.
		upkeep,      ///< Its worker's instance is about to get its upkeep.
	};

	[[nodiscard]] std::string_view to_string(move_reason why) noexcept;

	/// \brief A run that is being stopped.
	struct planned_move
	{
		move_reason why{move_reason::arrangement};
		instant since{};
	};

	/// \brief Those that are under way; of this process only, since a run that was stopped and not noted is stopped all
	/// the same, and its task waits like any other.
	using planned_moves = absl::flat_hash_map<task_run, planned_move>;

	/// \brief Tasks of a lasting group that callers miss now, whatever the cause: those that do not serve yet count.
	[[nodiscard]] std::uint32_t absent_tasks(const job_state& job, std::uint32_t occurrence, std::uint32_t group);

	/// \brief Whether callers bear that one more task of a group is taken away.
	/// \details A lasting group without a stated number bears none: it never said that it does. Other groups resume
	/// from their checkpoints, so they are bound by what the move costs alone; members of gangs are never taken away.
	[[nodiscard]] bool may_take_away(const job_state& job, const task_key& key);

	/// \brief Begins to stop the latest run of a task; needless_runs() names it until it has ended.
	/// \returns Whether it is being stopped now: false where nothing runs, or callers do not bear it.
	bool begin_move(job_table& table, const task_key& key, move_reason why, instant now);

	/// \brief Notes whether a lasting task serves.
	void note_at_work(job_table& table, const task_run& what, bool at_work) noexcept;
}
