// SPDX-License-Identifier: MIT
/// \file
/// \brief Ages of a worker's runs, from which the owner determines the cause of a crash of the worker.
#pragma once

#include <trailjunction/core/units.hpp>
#include <trailjunction/jobs/crash_suspicion.hpp>
#include <trailjunction/jobs/job_ids.hpp>

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <optional>

namespace trailjunction
{
	/// \brief Times at which a run was ordered and confirmed.
	struct run_age
	{
		std::optional<instant> ordered;   ///< Empty if an earlier process of the agent received the order.
		std::optional<instant> confirmed; ///< Time of the worker's first answer that confirmed the run.
	};

	/// \brief The runs that an incarnation of a worker has or may have.
	using run_ages = absl::flat_hash_map<task_run, run_age>;

	/// \brief Records the arrival of an order to start a run.
	void record_order(run_ages& ages, const task_run& run, instant now);

	/// \brief Records that the worker confirmed a run.
	void record_confirmed(run_ages& ages, const task_run& run, instant now);

	/// \brief Bounds of the age of each run at a time.
	/// \param at Time of the worker's last answer.
	[[nodiscard]] absl::flat_hash_map<task_run, crash_age> ages_at(const run_ages& ages, instant at);
}
