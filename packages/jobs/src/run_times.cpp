// SPDX-License-Identifier: MIT
#include <trailjunction/jobs/run_times.hpp>

#include <algorithm>
#include <cmath>

namespace trailjunction
{
	namespace
	{
		/// Times are raised to this before the logarithm, which is undefined at 0; shorter times reflect the report
		/// interval rather than work.
		constexpr auto min_time = millis{10};

		double log_seconds(millis time) noexcept
		{
			return std::log(std::chrono::duration<double>(std::max(time, min_time)).count());
		}

		/// Reduces the weight of old groups if the record counts more groups than \p group_limit.
		void limit_weight(run_time_record& record, double group_limit) noexcept
		{
			if (record.groups <= group_limit)
				return;
			const double kept = group_limit / record.groups;
			record.groups *= kept;
			record.guess_squares *= kept;
			record.products *= kept;
		}
	}

	void learn_run_time(run_times& records, const queue_id& queue, millis guess, millis took,
						const run_time_policy& policy)
	{
		if (guess.count() <= 0)
			return; // the client gave no estimate
		auto& record = records[queue];
		record.groups += 1.0;
		const double guess_deviation = log_seconds(guess) - record.guess_mean;
		const double time_deviation = log_seconds(took) - record.time_mean;
		record.guess_mean += guess_deviation / record.groups;
		record.time_mean += time_deviation / record.groups;
		const double updated_guess_deviation = log_seconds(guess) - record.guess_mean;
		record.guess_squares += guess_deviation * updated_guess_deviation;
		record.products += time_deviation * updated_guess_deviation;
		limit_weight(record, policy.max_groups);
	}

	millis expected_run_time(const run_times& records, const queue_id& queue, millis guess,
							 const run_time_policy& policy)
	{
		const auto found = records.find(queue);
		if (found == records.end() || guess.count() <= 0)
			return guess;
		const auto& record = found->second;
		const double prior = policy.prior_groups * policy.prior_guess_variance;
		const double slope = std::clamp((record.products + prior) / (record.guess_squares + prior), 0.0, 1.0);
		const double record_weight = record.groups / (record.groups + policy.prior_groups);
		const double log_guess = log_seconds(guess);
		const double line = record.time_mean + slope * (log_guess - record.guess_mean);
		const std::chrono::duration<double> out{std::exp(log_guess + record_weight * (line - log_guess))};
		return std::chrono::duration_cast<millis>(out);
	}
}
