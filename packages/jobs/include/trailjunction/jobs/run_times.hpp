// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief How long tasks take, learnt by queue from what their clients guess and what it came to.
/// \details Answers queues whose clients guess badly: on a full day the logarithms of guesses and of run times differed
/// by 0.9 (standard deviation) where the run times of a queue differed by 0.46 among themselves, so a guess said less
/// than the mean of its queue. The expected time is a line through what was seen, ln(time) over ln(guess); where
/// guesses are good its slope stays near 1, where they say nothing it goes to 0.
#pragma once

#include "job_ids.hpp"
#include <trailjunction/core/units.hpp>

#include <absl/container/flat_hash_map.h>

namespace trailjunction
{
	/// \brief What was seen of one queue: sums over groups of like tasks, in logarithms of seconds.
	struct run_time_record
	{
		double groups{};
		double guess_mean{};
		double time_mean{};
		double guess_squares{}; ///< Sum of squared distances from the mean.
		double products{};      ///< Sum of the products of both distances from their means.
	};

	/// \brief How much is seen before the guesses are doubted.
	struct run_time_policy
	{
		/// Guesses count as right as if so many groups had shown it: the line of a queue's first few groups is no use.
		double trusted_groups{4.0};
		/// Variance of ln(guess) that those groups are taken to have had: guesses that differ by a factor of two.
		double trusted_variance{0.5};
		/// Older groups fade once there are so many, since what clients hand in changes.
		double remembered_groups{200.0};
	};

	/// \brief What was seen of all queues.
	using run_times = absl::flat_hash_map<queue_id, run_time_record>;

	/// \brief Takes in how long the first task of a group took that ended well.
	void learn_run_time(run_times& known, const queue_id& queue, millis guess, millis took,
						const run_time_policy& policy = {});

	/// \brief How long a task is expected to take.
	[[nodiscard]] millis expected_run_time(const run_times& known, const queue_id& queue, millis guess,
										   const run_time_policy& policy = {});
}
