// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Merit of a job: the value of further work on it, per core-second.
/// \details Used to order jobs under overload, when more batch work arrives than can finish in time. Core-seconds go
/// first to jobs that can still be in time, and among these to those with little work left relative to their value. On
/// a fleet whose long-running tasks claim all processors, 48 simulated days earned 0.589 of their value in this order
/// and 0.576 with the least remaining work first.
#pragma once

#include "job_ids.hpp"

#include <trailjunction/core/units.hpp>

#include <absl/container/flat_hash_map.h>

namespace trailjunction
{
	/// \brief A job's progress towards its objective.
	struct job_progress
	{
		millis age{};            ///< Time since submission, or since the occurrence was due.
		millis critical_path{};  ///< Expected run time of the longest chain of dependent groups.
		millis remaining_path{}; ///< Expected run time of the longest chain from the waiting group on.
		double stretch{1.0};     ///< The objective is critical_path times this, plus latency_target.
		millis latency_target{}; ///< Constant part of the objective.
	};

	/// \brief The time that a job may take from submission to its end.
	[[nodiscard]] millis objective_of(const job_progress& job) noexcept;

	/// \brief Parameters of merit_of().
	struct merit_policy
	{
		/// The share of the value of a job of its queue's mean size that is granted for its completion; the rest is
		/// proportional to its work. From the users' requirements.
		double fixed_share{0.3};
		double late_value{0.15}; ///< Value of a late job relative to one in time, as in the users' specifications.
		/// Standard deviation of ln(run time) around the expected one. Run times within a queue differ by 0.46 and
		/// those within a group by 0.16; a job has tasks of both degrees of certainty.
		double time_spread{0.35};
		/// Expected time to completion divided by remaining_path: groups wait for places, and fillers rarely run at
		/// full speed.
		double delay_factor{1.2};
	};

	/// \brief Mean work of a queue's jobs.
	struct mean_work
	{
		double jobs{};
		double core_seconds{};
	};

	using mean_work_by_queue = absl::flat_hash_map<queue_id, mean_work>;

	/// \brief Updates the mean with the work of one more job.
	void note_work(mean_work& work, double core_seconds) noexcept;

	/// \brief The probability that a job ends in time if it continues now.
	[[nodiscard]] double chance_in_time(const job_progress& job, const merit_policy& policy = {}) noexcept;

	/// \brief The value of one core-second of work on a job, in units of the value of a job of its queue's mean size.
	/// \param whole Core-seconds of all the job's work.
	/// \param left Core-seconds of the remaining work.
	[[nodiscard]] double merit_of(const job_progress& job, double whole, double left, const mean_work& queue_mean,
								  const merit_policy& policy = {}) noexcept;
}
