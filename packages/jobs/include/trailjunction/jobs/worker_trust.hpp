// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Detects workers on which the runs of several jobs fail, so that they get no new work for a while.
#pragma once

#include "job_ids.hpp"

#include <trailjunction/core/units.hpp>

#include <deque>

namespace trailjunction
{
	/// \brief When failures count against a worker.
	struct trust_policy
	{
		millis window{5'000}; ///< Older ends are ignored.
		/// Failures must come from at least this many jobs: one faulty job says nothing about the worker.
		int distinct_jobs{2};
		double failed_share{0.5}; ///< Least share of failures among the ends in the window.
		/// Time without new work. Failures within it do not prolong it: the worker may be the only one that can run a
		/// task, and runs that it still has may fail one after the other for a long time.
		millis probation{3'000};
	};

	/// \brief The outcomes of a worker's recent runs.
	struct worker_trust
	{
		struct finished_run
		{
			instant ended_at{};
			job_id job;
			bool failed{};
		};
		std::deque<finished_run> recent_runs;
		instant probation_until{}; ///< Ends of runs before this time are ignored.
		instant avoided_until{};
		int refusals_in_a_row{}; ///< Pauses after refused starts since the last one that was not refused.
	};

	/// \brief How long a worker gets no new starts after it has refused one for a reason of its own.
	/// \details Doubles with each further refusal. With a constant pause a task could be refused by the same workers
	/// over and over, without reaching one that takes it.
	struct refusal_policy
	{
		millis first_pause{300};
		millis longest_pause{4'800};
	};

	/// \brief Records a start that the worker has refused for a reason of its own.
	/// \details Starts that were ordered together count once: refusals during a pause do not prolong it.
	void record_refused_start(worker_trust& trust, const refusal_policy& policy, instant now) noexcept;

	/// \brief Records that the worker has started a run, or that its capacity has changed.
	void forget_refused_starts(worker_trust& trust) noexcept;

	/// \brief Records the end of a run.
	/// \returns Whether a probation begins with it, in which the worker gets no new work.
	bool record_run_end(worker_trust& trust, const job_id& job, bool failed, const trust_policy& policy, instant now);
}
