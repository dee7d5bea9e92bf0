// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Which workers have crashed lately, and in which instants several of them did.
/// \details A task runs on one worker at a time. Where other workers crash in the same instant, something else took
/// them down, and may have taken this one down as well.
#pragma once

#include "crash_suspicion.hpp"
#include "job_ids.hpp"

#include <trailjunction/core/units.hpp>

#include <cstddef>
#include <span>
#include <vector>

namespace trailjunction
{
	/// \brief A crash that was counted against a task, and may not count once more workers are known to have crashed.
	struct counted_crash
	{
		task_key task;
		bool outlived{}; ///< An earlier run of the task had worked for longer; see has_outlived().
		/// The run had worked for crash_policy::worked_after, and another one of its group for longer.
		bool harmless_work{};
	};

	/// \brief The crash of one worker.
	struct worker_crash
	{
		worker_life worker;
		instant heard{}; ///< The worker's last answer before it.
		/// The most crashes that counted already against a task which ran there: tasks that crash their workers in the
		/// same instants have the same number of them.
		std::size_t most_counted{};
		std::vector<counted_crash> counted;
	};

	/// \brief The latest crashes, by their last answers at most crash_policy::kept_for apart.
	struct recent_crashes
	{
		std::vector<worker_crash> latest;
	};

	/// \brief Takes note of a crash and forgets old ones.
	/// \param most_counted See worker_crash.
	/// \returns Whether it was not known yet.
	bool note_worker_crash(recent_crashes& recent, const worker_life& worker, instant heard, std::size_t most_counted,
						   const crash_policy& policy);

	/// \brief The crash of that worker, or nothing.
	[[nodiscard]] worker_crash* find_worker_crash(recent_crashes& recent, const worker_life& worker) noexcept;

	/// \brief Forgets the crash of a worker that is there after all.
	void forget_worker_crash(recent_crashes& recent, const worker_life& worker);

	/// \brief Whether two last answers are so close that the crashes after them may have had one cause.
	[[nodiscard]] bool is_same_instant(instant left, instant right, const crash_policy& policy) noexcept;

	/// \brief How many other workers crashed in one instant.
	/// \param own Workers that crashed under the task itself; they are left out.
	/// \param fewer_counted Workers with a task against which so many crashes counted are left out too.
	[[nodiscard]] std::size_t crashed_beside(const recent_crashes& recent, instant heard,
											 std::span<const worker_life> own, std::size_t fewer_counted,
											 const crash_policy& policy) noexcept;
}
