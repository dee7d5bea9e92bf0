// SPDX-License-Identifier: MIT
#include <trailjunction/decide/process/worker_health.hpp>

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace trailjunction
{
	namespace
	{
		constexpr std::size_t runs_kept = 64;
		constexpr auto first_retry = millis{250};
		constexpr int most_doublings = 7;

		void forget_old(worker_health& health, const health_policy& policy, instant now)
		{
			while (!health.lately.empty() &&
				   (now - health.lately.front().at > policy.window || health.lately.size() > runs_kept))
				health.lately.pop_front();
		}

		int distinct_failed(const worker_health& health)
		{
			absl::flat_hash_set<task_id> tasks;
			for (const auto& run : health.lately)
				if (run.failed)
					tasks.insert(run.task);
			return static_cast<int>(tasks.size());
		}

		double share_failed(const worker_health& health)
		{
			if (health.lately.empty())
				return 0;
			const auto failed = std::count_if(health.lately.begin(), health.lately.end(),
											  [](const ended_run& run) { return run.failed; });
			return static_cast<double>(failed) / static_cast<double>(health.lately.size());
		}
	}

	bool note_end(worker_health& health, const task_id& task, bool failed, bool task_failed_elsewhere,
				  const health_policy& policy, instant now)
	{
		forget_old(health, policy, now);
		if (failed && task_failed_elsewhere)
			return false;
		health.lately.push_back({now, task, failed});
		if (!failed)
		{
			health.quarantines = 0;
			return false;
		}
		if (now < health.quarantined_until || distinct_failed(health) < policy.distinct_tasks ||
			share_failed(health) < policy.failed_share)
			return false;
		const auto length = std::min(policy.first_quarantine * (1 << std::min(health.quarantines, most_doublings)),
									 policy.longest_quarantine);
		health.quarantined_until = now + length;
		++health.quarantines;
		health.lately.clear();
		return true;
	}

	double failure_score(const worker_health& health, const health_policy& policy, instant now)
	{
		double failed = 0;
		for (const auto& run : health.lately)
			if (run.failed && now - run.at <= policy.window)
				failed += 1;
		return failed / static_cast<double>(std::max<std::size_t>(health.lately.size(), 4));
	}

	millis retry_pause(int failures) noexcept
	{
		return first_retry * (1 << std::clamp(failures - 1, 0, most_doublings));
	}
}
