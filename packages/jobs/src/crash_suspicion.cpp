// SPDX-License-Identifier: MIT
#include <trailjunction/jobs/crash_suspicion.hpp>

#include <algorithm>

namespace trailjunction
{
	suspicion suspicion_of(const crash_record& record) noexcept
	{
		if (record.workers.empty())
			return suspicion::none;
		return record.workers.size() == 1 ? suspicion::suspected : suspicion::likely;
	}

	std::optional<millis> age_at_crash(instant ordered, const lost_worker& worker, const crash_policy& policy) noexcept
	{
		if (!worker.heard || ordered == instant{})
			return millis{0};
		if (ordered > *worker.heard + policy.alive_unheard)
			return std::nullopt;
		const auto age = std::max(millis{0}, std::chrono::duration_cast<millis>(*worker.heard - ordered));
		return age > policy.longest_age ? std::nullopt : std::optional{age};
	}

	void note_crash(crash_record& record, const worker_life& worker, millis age)
	{
		if (std::find(record.workers.begin(), record.workers.end(), worker) != record.workers.end())
			return;
		record.workers.push_back(worker);
		record.longest_age = std::max(record.longest_age, age);
	}

	bool clears(const crash_record& record, millis running, const crash_policy& policy) noexcept
	{
		const auto needed = std::max(policy.clear_after, policy.clear_factor * record.longest_age);
		return running >= std::min(needed, policy.longest_age);
	}

	bool is_given_up(const crash_record& record, const crash_policy& policy) noexcept
	{
		const bool prompt = record.longest_age <= policy.prompt;
		return record.workers.size() >= (prompt ? policy.most_prompt_crashes : policy.most_crashes);
	}
}
