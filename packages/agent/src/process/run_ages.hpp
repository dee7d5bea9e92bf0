// SPDX-License-Identifier: MIT
/// \file
/// \brief For how long the runs of a worker have been there, for the owner that has to judge a crash of it.
#pragma once

#include <trailjunction/core/units.hpp>
#include <trailjunction/jobs/crash_suspicion.hpp>
#include <trailjunction/jobs/job_ids.hpp>

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <optional>

namespace trailjunction
{
	/// \brief When one run was ordered and confirmed.
	struct run_age
	{
		std::optional<instant> ordered;   ///< Nothing where an earlier process of the agent had the order.
		std::optional<instant> confirmed; ///< When the worker first said that it has the run.
	};

	/// \brief The runs that a worker's incarnation has, or may have.
	using run_ages = absl::flat_hash_map<task_run, run_age>;

	/// \brief Notes that an order of a run came.
	void note_order(run_ages& ages, const task_run& what, instant now);

	/// \brief Notes that the worker said that it has a run.
	void note_confirmed(run_ages& ages, const task_run& what, instant now);

	/// \brief What is certain of the age that each run had reached at some time.
	/// \param at The worker's last answer.
	[[nodiscard]] absl::flat_hash_map<task_run, crash_age> ages_at(const run_ages& ages, instant at);
}
