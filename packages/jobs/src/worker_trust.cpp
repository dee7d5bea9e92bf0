// SPDX-License-Identifier: MIT
#include <trailjunction/jobs/worker_trust.hpp>

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace trailjunction
{
	void record_refused_start(worker_trust& trust, const refusal_policy& policy, instant now) noexcept
	{
		if (now < trust.avoided_until)
			return; // ordered together with a start whose refusal has been counted
		auto pause = policy.first_pause;
		for (int i = 0; i < trust.refusals_in_a_row && pause < policy.longest_pause; ++i)
			pause *= 2;
		++trust.refusals_in_a_row;
		trust.avoided_until = now + std::min(pause, policy.longest_pause);
	}

	void forget_refused_starts(worker_trust& trust) noexcept
	{
		trust.refusals_in_a_row = 0;
	}

	bool record_run_end(worker_trust& trust, const job_id& job, bool failed, const trust_policy& policy, instant now)
	{
		// What fails now was there before the probation and would prolong it for as long as such runs last.
		if (now < trust.probation_until)
			return false;
		auto& recent = trust.recent_runs;
		recent.push_back({now, job, failed});
		while (now - recent.front().ended_at > policy.window)
			recent.pop_front();
		if (!failed)
			return false;
		absl::flat_hash_set<job_id> failed_jobs;
		std::size_t failures = 0;
		for (const auto& ended : recent)
		{
			if (!ended.failed)
				continue;
			++failures;
			failed_jobs.insert(ended.job);
		}
		if (failed_jobs.size() < static_cast<std::size_t>(policy.distinct_jobs) ||
			static_cast<double>(failures) < policy.failed_share * static_cast<double>(recent.size()))
			return false;
		recent.clear(); // after the probation, only new failures count
		trust.probation_until = now + policy.probation;
		trust.avoided_until = std::max(trust.avoided_until, trust.probation_until);
		return true;
	}
}
