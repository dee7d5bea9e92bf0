// SPDX-License-Identifier: MIT
#include <trailjunction/jobs/job_merit.hpp>

#include <algorithm>
#include <cmath>
#include <numbers>

namespace trailjunction
{
	namespace
	{
		/// Number of jobs over which a queue's mean is taken, since clients' workloads change.
		constexpr double max_jobs_in_mean = 200.0;
		/// Lower bounds of a job's work and slack, so that the merit of a nearly finished job stays bounded.
		constexpr double min_core_seconds = 0.1;
		constexpr double min_slack_seconds = 0.01;

		double seconds(millis time) noexcept
		{
			return std::chrono::duration<double>(time).count();
		}
	}

	millis objective_of(const job_progress& job) noexcept
	{
		return std::chrono::duration_cast<millis>(job.critical_path * job.stretch) + job.latency_target;
	}

	void note_work(mean_work& work, double core_seconds) noexcept
	{
		work.jobs = std::min(work.jobs + 1.0, max_jobs_in_mean);
		work.core_seconds += (core_seconds - work.core_seconds) / work.jobs;
	}

	double chance_in_time(const job_progress& job, const merit_policy& policy) noexcept
	{
		// If the job's tasks take s times as long as expected, so does its objective except for the constant latency
		// target. The job is in time if age + s x remaining path <= s x critical path x stretch + target, which
		// holds from a certain s on.
		const auto slack = std::max(min_slack_seconds, seconds(job.critical_path) * job.stretch -
														   policy.delay_factor * seconds(job.remaining_path));
		const auto needed_factor = seconds(job.age - job.latency_target) / slack;
		if (needed_factor <= 0.0)
			return 1.0;
		return std::erfc(std::log(needed_factor) / (policy.time_spread * std::numbers::sqrt2)) / 2;
	}

	double merit_of(const job_progress& job, double whole, double left, const mean_work& queue_mean,
					const merit_policy& policy) noexcept
	{
		const auto mean = std::max(min_core_seconds, queue_mean.core_seconds);
		const auto value = policy.fixed_share + (1.0 - policy.fixed_share) * whole / mean;
		const auto chance = chance_in_time(job, policy);
		return value * (chance + policy.late_value * (1.0 - chance)) / std::max(min_core_seconds, left);
	}
}
