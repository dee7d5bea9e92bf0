// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Holds back long-running tasks under which too many workers have crashed.
/// \details A job whose tasks end by themselves fails once one of them is given up; see crash_suspicion.hpp. A
/// long-running task is to be started again however its runs end, so it is only held back: it starts again, alone on a
/// worker, after a time that grows exponentially with its crashes. The other tasks of its job are not affected.
/// Evidence that the task did not cause the crashes releases it at once.
#pragma once

#include "job_table.hpp"

#include <vector>

namespace trailjunction
{
	/// \brief For how long a task is held back after a crash that makes the system hold it back.
	/// \details Grows with the crashes that one cause in the task can explain; see count_consistent().
	[[nodiscard]] millis hold_time(const crash_record& record, const crash_policy& policy) noexcept;

	/// \brief Whether a task must not start yet.
	[[nodiscard]] bool is_held_back(const job_task& task, instant now) noexcept;

	/// \brief Holds a task back, together with the other members of its gang.
	void hold_back(job_table& table, const task_key& key, const crash_policy& policy, instant now);

	/// \brief Why a task is no longer held back.
	enum class release_reason : std::uint8_t
	{
		time_over,  ///< It is tried again, alone.
		exonerated, ///< Too few crashes count against it now.
	};

	[[nodiscard]] std::string_view to_string(release_reason reason) noexcept;

	/// \brief A task that is no longer held back.
	struct released_task
	{
		task_key task;
		release_reason reason{release_reason::time_over};
	};

	/// \brief Ends the hold of all tasks that may start again.
	std::vector<released_task> release_held_back(job_table& table, const crash_policy& policy, instant now);

	/// \brief Removes tasks that must not start yet.
	void remove_held_back(const job_table& table, std::vector<task_key>& waiting, instant now);
}
