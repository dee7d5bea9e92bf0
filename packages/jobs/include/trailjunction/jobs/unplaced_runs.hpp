// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Runs that a worker has although their tasks are not placed there.
#pragma once

#include "job_ids.hpp"

#include <absl/container/flat_hash_set.h>

#include <vector>

namespace trailjunction
{
	/// \brief What one report tells of runs that are not placed on its worker.
	struct unplaced_run_report
	{
		bool full{};                   ///< The report lists all runs of the worker.
		std::vector<task_run> running; ///< Listed as running, and placed elsewhere or nowhere.
		std::vector<task_run> gone;    ///< Ended, refused, or no longer listed.
	};

	/// \brief The runs of one worker that are being stopped because their tasks are not placed there.
	/// \details Calls name a worker by its id alone, so a late call to a former incarnation may start a run that its
	/// owner has replaced. Its task must not start elsewhere before this run has ended.
	using unplaced_runs = absl::flat_hash_set<task_run>;

	/// \brief Applies a report to the runs known before.
	void update_unplaced_runs(unplaced_runs& known, const unplaced_run_report& report);
}
