// SPDX-License-Identifier: MIT
#include <trailjunction/jobs/placement_order.hpp>
#include <trailjunction/jobs/preemption.hpp>

#include <algorithm>
#include <limits>
#include <optional>

namespace trailjunction
{
	namespace
	{
		constexpr double cpu_milli = 1'000.0;

		/// A run that may give way.
		struct victim
		{
			task_run what;
			int priority{};
			resources claim;
			double lost{}; ///< Core-seconds thrown away with it.
		};

		/// A worker with what may be freed there.
		struct contested_worker
		{
			const worker_room* room{};
			resources soon_free; ///< What is free, with the runs that were told to stop.
			std::vector<victim> victims;
			std::vector<task_key> present; ///< All that is there or is to come, as far as limits for each worker go.
		};

		/// What has to be stopped at one worker for one task.
		struct sacrifice
		{
			contested_worker* where{};
			std::vector<victim> victims;
			double lost{};
		};

		double unsaved_work(const task_group& group, const job_task& task, instant now)
		{
			if (group.checkpointing)
				return 0.0;
			const std::chrono::duration<double> age = now - task.since;
			return static_cast<double>(group.claim.cpu_milli) / cpu_milli * age.count();
		}

		bool may_give_way(const task_group& group, const job_task& task, const preemption_policy& policy, instant now)
		{
			const bool batch = !group.long_running && !group.filler && !group.gang;
			return batch && task.phase == task_stage::running &&
				   (group.checkpointing || now - task.since >= policy.least_age);
		}

		bool cannot_wait(const placement_wish& what, const preemption_policy& policy, instant now)
		{
			if (what.group->filler || what.group->gang)
				return false;
			if (what.group->long_running)
				return now - std::max(what.task->since, what.job->accepted) >= policy.serving_patience;
			return what.outlook == job_outlook::in_time && what.slack <= policy.most_slack;
		}

		contested_worker contest(const worker_room& room, const job_table& table, const preemption_policy& policy,
								 instant now)
		{
			contested_worker out{&room, room.capacity - room.claimed, {}, {}};
			const auto placed = table.placed.find(room.life);
			if (placed == table.placed.end())
				return out;
			for (const auto& key : placed->second)
			{
				const auto& job = *find_job(table, key.job);
				const auto& group = job.spec.groups[key.group];
				const auto& task = *find_task(table, key);
				out.present.push_back(key);
				if (task.stop_ordered)
					out.soon_free += counted_claim(group);
				else if (may_give_way(group, task, policy, now))
					out.victims.push_back(
						{{key, task.run}, job.queue.priority, group.claim, unsaved_work(group, task, now)});
			}
			// The least important first, of those the one that loses the least.
			std::sort(out.victims.begin(), out.victims.end(),
					  [](const victim& left, const victim& right)
					  {
						  if (left.priority != right.priority)
							  return left.priority > right.priority;
						  return left.lost != right.lost ? left.lost < right.lost : left.what.task < right.what.task;
					  });
			return out;
		}

		bool is_at_limit(const contested_worker& where, const placement_wish& what)
		{
			const auto limit = what.group->per_worker_limit;
			const auto same = std::count_if(where.present.begin(), where.present.end(),
											[&](const task_key& key) {
												return key.job == what.key.job &&
													   key.occurrence == what.key.occurrence &&
													   key.group == what.key.group;
											});
			return limit > 0 && same >= static_cast<std::ptrdiff_t>(limit);
		}

		std::optional<sacrifice> sacrifice_at(contested_worker& where, const resources& claim, int priority)
		{
			sacrifice out{&where, {}, 0.0};
			auto free = where.soon_free;
			for (const auto& one : where.victims)
			{
				if (claim.fits(free))
					break;
				if (one.priority <= priority)
					return std::nullopt;
				free += one.claim;
				out.lost += one.lost;
				out.victims.push_back(one);
			}
			return claim.fits(free) ? std::optional{out} : std::nullopt;
		}

		std::optional<sacrifice> cheapest(std::vector<contested_worker>& workers, const placement_wish& what)
		{
			std::optional<sacrifice> best;
			for (auto& worker : workers)
			{
				if (!may_take(*worker.room, *what.job, *what.group) || is_at_limit(worker, what))
					continue;
				auto here = sacrifice_at(worker, counted_claim(*what.group), what.job->queue.priority);
				if (here && (!best || here->lost < best->lost ||
							 (here->lost == best->lost && here->victims.size() < best->victims.size())))
					best = std::move(here);
			}
			return best;
		}

		void reserve(const sacrifice& chosen, const task_key& key, const resources& claim)
		{
			auto& where = *chosen.where;
			for (const auto& one : chosen.victims)
				where.soon_free += one.claim;
			where.soon_free -= claim;
			where.present.push_back(key);
			where.victims.erase(where.victims.begin(),
								where.victims.begin() + static_cast<std::ptrdiff_t>(chosen.victims.size()));
		}
	}

	std::vector<task_run> choose_preemptions(std::span<const worker_room> workers, const job_table& table,
											 const std::vector<task_key>& waiting, const preemption_policy& policy,
											 instant now)
	{
		std::vector<contested_worker> contested;
		for (const auto& room : workers)
			contested.push_back(contest(room, table, policy, now));
		std::vector<task_run> out;
		if (std::all_of(contested.begin(), contested.end(),
						[](const contested_worker& one) { return one.victims.empty(); }))
			return out;
		for (const auto& what : order_wishes(table, waiting, now))
		{
			if (!cannot_wait(what, policy, now))
				continue;
			const auto chosen = cheapest(contested, what);
			if (!chosen)
				continue;
			reserve(*chosen, what.key, counted_claim(*what.group));
			for (const auto& one : chosen->victims)
				out.push_back(one.what);
		}
		return out;
	}
}
