// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief The runs, ends and refusals that a worker reports.
#pragma once

#include "job_table.hpp"

#include <cstdint>
#include <string>

namespace trailjunction
{
	/// \brief A run in a worker's report.
	struct listed_run
	{
		task_run run_id;
		std::string checkpoint;
		int progress_percent{}; ///< Finished share of the work; for a serving task, 100 once it serves.
		std::int64_t
			measurement{}; ///< Tail latency in ms of a serving task; processor use in thousandths for other tasks.
	};

	/// \brief The end of a run, reported until the owner confirms that it is stored.
	struct listed_end
	{
		std::int64_t number{}; ///< Counted from 1 in each incarnation of the worker.
		task_run run_id;
		run_outcome outcome{run_outcome::failed};
		std::string checkpoint;
	};

	/// \brief Why an ordered run certainly does not run.
	enum class start_refusal : std::uint8_t
	{
		never_started, ///< The order was resolved without a start.
		no_room,
		unhealthy,  ///< The worker refused all starts, or could not be reached.
		invalid,    ///< The worker rejected the order as malformed.
		superseded, ///< The worker has stopped or ended this run before.
		leaving,    ///< The worker is draining.
	};

	[[nodiscard]] std::string_view to_string(start_refusal reason) noexcept;

	/// \brief An ordered run that certainly does not run.
	struct refused_run
	{
		task_run run_id;
		start_refusal reason{start_refusal::never_started};
	};
}
