// SPDX-License-Identifier: MIT
#include <trailjunction/jobs/placement_order.hpp>

#include <algorithm>
#include <tuple>

namespace trailjunction
{
	namespace
	{
		constexpr double cpu_milli = 1'000.0;
		/// Times its objective, a job is late and still worth something; from the users' rules.
		constexpr int late_factor = 3;

		double core_seconds_of(const task_group& group)
		{
			const std::chrono::duration<double> estimate = group.estimate;
			return static_cast<double>(group.claim.cpu_milli) / cpu_milli * estimate.count();
		}

		double work_left_in(const job_state& job, std::uint32_t occurrence)
		{
			double out = 0.0;
			auto place = place_of(job, {job.id, occurrence, 0, 0});
			for (const auto& group : job.spec.groups)
			{
				const auto begin = job.tasks.begin() + static_cast<std::ptrdiff_t>(place);
				const auto open =
					std::count_if(begin, begin + group.count,
								  [](const job_task& task)
								  { return task.phase != task_stage::done && task.phase != task_stage::failed; });
				if (!group.long_running)
					out += static_cast<double>(open) * core_seconds_of(group);
				place += group.count;
			}
			return out;
		}

		/// Since its client handed it in, or since its time came.
		millis age_of(const job_state& job, std::uint32_t occurrence, decision_time at)
		{
			if (job.spec.repeated)
				return millis{at.unix_ms - due_ms(job.spec, occurrence)};
			return std::chrono::duration_cast<millis>(at.now - job.accepted);
		}

		/// A job that has waited for so long with nothing running gets a place where it harms least. Users bear three
		/// seconds; an order takes up to one on a slow store.
		constexpr auto starves_after = millis{2'000};

		bool is_starving(const job_state& job, std::uint32_t occurrence, instant now)
		{
			const auto begin =
				job.tasks.begin() + static_cast<std::ptrdiff_t>(place_of(job, {job.id, occurrence, 0, 0}));
			const auto end = begin + static_cast<std::ptrdiff_t>(job.occurrence_size);
			auto changed = job.accepted;
			for (auto task = begin; task != end; ++task)
			{
				if (task->phase == task_stage::ordered || task->phase == task_stage::running)
					return false;
				changed = std::max(changed, task->since);
			}
			return now - changed >= starves_after;
		}

		job_outlook outlook_of(const job_state& job, const task_key& key, decision_time at)
		{
			const auto whole = chain_from(job.spec, 0);
			const auto objective =
				std::chrono::duration_cast<millis>(whole * job.queue.stretch) + job.queue.latency_target;
			const auto age = age_of(job, key.occurrence, at);
			const auto rest = chain_from(job.spec, key.group);
			if (age + rest > late_factor * objective)
				return job_outlook::hopeless;
			// Estimates are off by as much as the rest itself.
			return age > objective ? job_outlook::late : job_outlook::in_time;
		}

		auto turn_of(const placement_wish& what)
		{
			return std::make_tuple(what.job->queue.priority, !what.group->long_running,
								   what.outlook == job_outlook::hopeless, what.work_left, what.key);
		}
	}

	std::vector<placement_wish> order_wishes(const job_table& table, std::vector<task_key> waiting, decision_time at)
	{
		std::vector<placement_wish> out;
		out.reserve(waiting.size());
		for (auto& key : waiting)
		{
			placement_wish what;
			what.job = find_job(table, key.job);
			what.group = &what.job->spec.groups[key.group];
			what.task = find_task(table, key);
			what.outlook = outlook_of(*what.job, key, at);
			const bool known = !out.empty() && same_occurrence(out.back().key, key);
			what.starving = known ? out.back().starving : is_starving(*what.job, key.occurrence, at.now);
			if (!what.group->long_running)
				what.work_left = known && !out.back().group->long_running ? out.back().work_left
																		  : work_left_in(*what.job, key.occurrence);
			what.key = std::move(key);
			out.push_back(std::move(what));
		}
		std::sort(out.begin(), out.end(),
				  [](const placement_wish& left, const placement_wish& right)
				  { return turn_of(left) < turn_of(right); });
		return out;
	}
}
