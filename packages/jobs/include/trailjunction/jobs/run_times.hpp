// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Expected run times of tasks, learnt per queue from clients' estimates and the actual run times.
/// \details Corrects queues whose clients estimate badly: on a day of full load, the logarithms of estimates and run
/// times differed by 0.9 (standard deviation) while the run times of a queue differed by 0.46 among themselves, so an
/// estimate was less accurate than the mean of its queue. The expected time is a regression line of ln(run time) over
/// ln(estimate). Its slope stays near 1 for good estimates and approaches 0 for estimates without information.
#pragma once

#include "job_ids.hpp"
#include <trailjunction/core/units.hpp>

#include <absl/container/flat_hash_map.h>

namespace trailjunction
{
	/// \brief Regression sums of one queue over groups of similar tasks, in logarithms of seconds. A guess is
	/// a client's estimate of a run time.
	struct run_time_record
	{
		double groups{};
		double guess_mean{};
		double time_mean{};
		double guess_squares{}; ///< Sum of squared deviations of the guesses from their mean.
		double products{};      ///< Sum of the products of the deviations of guess and run time from their means.
	};

	/// \brief Weight of the prior and of old groups.
	struct run_time_policy
	{
		/// Guesses are trusted as if this many groups had confirmed them: the line of a queue's first few groups is
		/// meaningless.
		double prior_groups{4.0};
		/// Assumed variance of ln(guess) in these groups: guesses that differ by a factor of two.
		double prior_guess_variance{0.5};
		/// Older groups lose weight above this number of groups, since clients' workloads change.
		double max_groups{200.0};
	};

	/// \brief Regression sums of all queues.
	using run_times = absl::flat_hash_map<queue_id, run_time_record>;

	/// \brief Records the run time of the first task of a group that ended successfully.
	void learn_run_time(run_times& records, const queue_id& queue, millis guess, millis took,
						const run_time_policy& policy = {});

	/// \brief Expected run time of a task.
	[[nodiscard]] millis expected_run_time(const run_times& records, const queue_id& queue, millis guess,
										   const run_time_policy& policy = {});
}
