// SPDX-License-Identifier: MIT
#include "job_tasks.hpp"

#include <trailjunction/jobs/held_tasks.hpp>

#include <algorithm>

namespace trailjunction
{
	namespace
	{
		/// Whether a task of which this many crashes count would be held back if its next crash were certainly its own.
		bool is_exonerated(const crash_record& record, const crash_policy& policy) noexcept
		{
			constexpr bool alone = true;
			return !is_given_up(record, alone, policy);
		}
	}

	millis hold_time(const crash_record& record, const crash_policy& policy) noexcept
	{
		const auto count = count_consistent(record, policy);
		auto out = policy.first_hold;
		for (auto crashes = policy.max_prompt_crashes; crashes < count && out < policy.max_hold; ++crashes)
			out *= policy.hold_growth;
		return std::min(out, policy.max_hold);
	}

	bool is_held_back(const job_task& task, instant now) noexcept
	{
		return task.phase == task_stage::waiting && now < task.held_until;
	}

	void hold_back(job_table& table, const task_key& key, const crash_policy& policy, instant now)
	{
		auto& job = *find_job(table, key.job);
		auto member = key;
		const bool gang = group_of(job, key).gang;
		const auto first = gang ? 0 : key.index;
		const auto last = gang ? group_of(job, key).count : key.index + 1;
		for (member.index = first; member.index < last; ++member.index)
		{
			auto& task = *find_task(table, member);
			task.held_until = now + hold_time(task.crashes, policy);
			task.held_until_ms = 0;
			table.held_back.insert(member);
		}
		table.unsaved.insert(key.job);
	}

	std::string_view to_string(release_reason reason) noexcept
	{
		switch (reason)
		{
		case release_reason::time_over:
			return "tried again alone";
		case release_reason::exonerated:
			return "its crashes had another cause";
		}
		return "unnamed";
	}

	std::vector<released_task> release_held_back(job_table& table, const crash_policy& policy, instant now)
	{
		std::vector<released_task> out;
		absl::erase_if(table.held_back,
					   [&](const task_key& key)
					   {
						   auto* task = find_task(table, key);
						   if (task == nullptr || has_ended(find_job(table, key.job)->status))
							   return true;
						   if (is_exonerated(task->crashes, policy))
						   {
							   task->held_until = instant{};
							   task->held_until_ms = 0;
							   table.unsaved.insert(key.job);
							   out.push_back({key, release_reason::exonerated});
							   return true;
						   }
						   if (now < task->held_until)
							   return false;
						   out.push_back({key, release_reason::time_over});
						   return true;
					   });
		return out;
	}

	void remove_held_back(const job_table& table, std::vector<task_key>& waiting, instant now)
	{
		if (table.held_back.empty())
			return;
		std::erase_if(waiting, [&](const task_key& key) { return is_held_back(*find_task(table, key), now); });
	}
}
