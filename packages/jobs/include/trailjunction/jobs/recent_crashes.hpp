// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Recent crashes of workers, used to find workers that crashed at the same time.
/// \details A task runs on one worker at a time. If other workers crash at the same time, they have another cause,
/// which may have crashed this worker as well.
#pragma once

#include "crash_suspicion.hpp"
#include "job_ids.hpp"

#include <trailjunction/core/ids.hpp>
#include <trailjunction/core/units.hpp>

#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <span>
#include <vector>

namespace trailjunction
{
	/// \brief A crash that was counted against a task, and may no longer count once more workers are known to have
	/// crashed.
	struct counted_crash
	{
		task_key task;
		bool outlived{}; ///< An earlier run of the task got older; see has_outlived().
		/// The run had got past crash_policy::startup_time, and a run of another task of its group got older.
		bool sibling_outlived{};
	};

	/// \brief The crash of one worker.
	struct worker_crash
	{
		worker_incarnation worker;
		instant last_response{}; ///< Its last response before the crash.
		/// The highest number of crashes that already counted against a task that ran there. Tasks that crash their
		/// workers at the same time have the same number.
		std::size_t max_counted{};
		std::vector<counted_crash> counted_crashes;
		data_centre_id data_centre;       ///< Where the worker was; empty if unknown.
		absl::flat_hash_set<job_id> jobs; ///< Jobs of which it had runs.
		std::vector<task_key> suspects;   ///< Tasks against which the crash was counted.
		bool had_new_run{};               ///< It had a run that is known to be younger than crash_policy::prompt_age.
	};

	/// \brief The latest crashes; their last responses are at most crash_policy::retention apart.
	struct recent_crashes
	{
		std::vector<worker_crash> entries;
		bool changed{}; ///< Crashes were added since clear_mass_losses() last inspected them.
	};

	/// \brief Adds a crash, unless it is known, and removes old ones.
	/// \returns Whether the crash is new.
	bool add_worker_crash(recent_crashes& recent, worker_crash crash, const crash_policy& policy);

	/// \brief The crash of that worker, or nullptr.
	[[nodiscard]] worker_crash* find_worker_crash(recent_crashes& recent, const worker_incarnation& worker) noexcept;

	/// \brief Removes the crash of a worker that is still alive.
	void remove_worker_crash(recent_crashes& recent, const worker_incarnation& worker);

	/// \brief Whether two last responses are so close that the crashes after them may have had one cause.
	[[nodiscard]] bool in_correlation_window(instant left, instant right, const crash_policy& policy) noexcept;

	/// \brief Number of other workers that crashed at the same time, counted up to
	/// crash_policy::min_correlated_workers. \param own Workers that crashed under the task itself; they are left out.
	/// \param counted_limit Workers that ran a task with at least this many counted crashes are left out, too.
	[[nodiscard]] std::size_t count_correlated_crashes(const recent_crashes& recent, instant last_response,
													   std::span<const worker_incarnation> own,
													   std::size_t counted_limit, const crash_policy& policy) noexcept;
}
