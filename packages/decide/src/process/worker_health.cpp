// SPDX-License-Identifier: MIT
#include <trailjunction/decide/process/worker_health.hpp>

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace trailjunction
{
	namespace
	{
		constexpr std::size_t max_recent_runs = 64;
		constexpr auto initial_backoff = millis{250};
		constexpr int max_doublings = 7;

		void drop_old_runs(worker_health& health, const health_policy& policy, instant now)
		{
			while (!health.recent_runs.empty() && (now - health.recent_runs.front().ended_at > policy.window ||
												   health.recent_runs.size() > max_recent_runs))
				health.recent_runs.pop_front();
		}

		int distinct_failed_tasks(const worker_health& health)
		{
			absl::flat_hash_set<task_id> tasks;
			for (const auto& run : health.recent_runs)
				if (run.failed)
					tasks.insert(run.task);
			return static_cast<int>(tasks.size());
		}

		double failure_share_of(const worker_health& health)
		{
			if (health.recent_runs.empty())
				return 0;
			const auto failed = std::count_if(health.recent_runs.begin(), health.recent_runs.end(),
											  [](const ended_run& run) { return run.failed; });
			return static_cast<double>(failed) / static_cast<double>(health.recent_runs.size());
		}
	}

	bool record_run_end(worker_health& health, const task_id& task, bool failed, bool task_failed_elsewhere,
						const health_policy& policy, instant now)
	{
		drop_old_runs(health, policy, now);
		if (failed && task_failed_elsewhere)
			return false;
		health.recent_runs.push_back({now, task, failed});
		if (!failed)
		{
			health.consecutive_quarantines = 0;
			return false;
		}
		if (now < health.quarantined_until || distinct_failed_tasks(health) < policy.distinct_tasks ||
			failure_share_of(health) < policy.failure_share)
			return false;
		const auto length =
			std::min(policy.first_quarantine * (1 << std::min(health.consecutive_quarantines, max_doublings)),
					 policy.longest_quarantine);
		health.quarantined_until = now + length;
		++health.consecutive_quarantines;
		health.recent_runs.clear();
		return true;
	}

	double failure_score(const worker_health& health, const health_policy& policy, instant now)
	{
		double failed = 0;
		for (const auto& run : health.recent_runs)
			if (run.failed && now - run.ended_at <= policy.window)
				failed += 1;
		return failed / static_cast<double>(std::max<std::size_t>(health.recent_runs.size(), 4));
	}

	millis retry_backoff(int failures) noexcept
	{
		return initial_backoff * (1 << std::clamp(failures - 1, 0, max_doublings));
	}
}
