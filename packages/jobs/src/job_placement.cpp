// SPDX-License-Identifier: MIT
#include <trailjunction/jobs/job_placement.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <numbers>
#include <set>

namespace trailjunction
{
	namespace
	{
		constexpr double cpu_milli = 1'000.0;

		/// How many tasks of a group each worker carries.
		using group_counts = absl::flat_hash_map<worker_life, std::uint32_t>;

		bool has_label(const worker_room& worker, const std::string& label)
		{
			return std::find(worker.labels.begin(), worker.labels.end(), label) != worker.labels.end();
		}

		/// Workers name their kind first and their rack second.
		std::string rack_of(const worker_room& worker)
		{
			return worker.labels.size() > 1 ? worker.labels[1] : std::string{};
		}

		resources counted_claim(const task_group& group) noexcept
		{
			auto claim = group.claim;
			if (group.filler)
				claim.cpu_milli = 0;
			return claim;
		}

		/// What a choice may look at besides the workers.
		struct placement_rules
		{
			const pressure_model& pressures;
			const placement_policy& policy;
		};

		double pressure_at_full_pace(const std::string& serving, const task_group& filler, const placement_rules& rules)
		{
			return pressure_of(rules.pressures, serving, filler.image, rules.policy.pressing) *
				   static_cast<double>(filler.claim.cpu_milli) / cpu_milli;
		}

		void charge(worker_room& worker, const task_group& group, const placement_rules& rules)
		{
			worker.claimed += counted_claim(group);
			if (group.filler)
			{
				worker.filler_cpu_milli += group.claim.cpu_milli;
				for (auto& serving : worker.serving)
					serving.log_strain += pressure_at_full_pace(serving.image, group, rules);
			}
			else if (group.latency_target.count() > 0)
				worker.serving_cpu_milli += group.claim.cpu_milli;
		}

		/// Has to come before the fillers of the worker are charged.
		void note_serving(worker_room& worker, const task_key& key, const job_state& job, const placement_rules& rules)
		{
			const auto& group = job.spec.groups[key.group];
			if (group.latency_target.count() > 0)
				worker.serving.push_back({group.image, base_of(rules.pressures, key, rules.policy.pressing)});
		}

		/// Processor time that the claims there are expected to leave unused, less what fillers have been given.
		double left_over(const worker_room& worker, const placement_policy& policy) noexcept
		{
			const auto serving = static_cast<double>(worker.serving_cpu_milli);
			const auto batch = static_cast<double>(worker.claimed.cpu_milli) - serving;
			return static_cast<double>(worker.capacity.cpu_milli) - batch - serving * policy.serving_use -
				   static_cast<double>(worker.filler_cpu_milli);
		}

		/// The share of its full speed at which a filler is expected to work.
		double filler_speed(const worker_room& worker, const task_group& group, const placement_policy& policy) noexcept
		{
			const auto claim = std::max(1.0, static_cast<double>(group.claim.cpu_milli));
			return std::clamp(left_over(worker, policy) / claim, 0.0, 1.0) * worker.pace;
		}

		/// The share of time for which a serving task is expected to be over its target.
		double share_over(double log_strain, const placement_policy& policy) noexcept
		{
			return std::erfc(-log_strain / (policy.strain_spread * std::numbers::sqrt2)) / 2;
		}

		/// How many serving tasks a filler is expected to put over their targets there, as shares of time.
		double harm_by(const worker_room& worker, const task_group& filler, const placement_rules& rules)
		{
			double out = 0.0;
			for (const auto& serving : worker.serving)
			{
				const auto with = serving.log_strain + pressure_at_full_pace(serving.image, filler, rules);
				out += share_over(with, rules.policy) - share_over(serving.log_strain, rules.policy);
			}
			return out;
		}

		bool has_filler_room(const worker_room& worker, const placement_wish& what, const placement_rules& rules)
		{
			const auto& group = *what.group;
			if (what.starving)
				return true;
			const double share = what.outlook == job_outlook::in_time ? 1.0 : rules.policy.late_share;
			return harm_by(worker, group, rules) <= share * rules.policy.most_harm &&
				   filler_speed(worker, group, rules.policy) >= rules.policy.least_speed;
		}

		bool may_run(const worker_room& worker, const placement_wish& what, const group_counts& counts,
					 const placement_rules& rules)
		{
			const auto& group = *what.group;
			if (!worker.accepts || worker.service != what.job->queue.service)
				return false;
			if (!counted_claim(group).fits(worker.capacity - worker.claimed))
				return false;
			if (!group.required_label.empty() && !has_label(worker, group.required_label))
				return false;
			const auto count = counts.find(worker.life);
			if (group.per_worker_limit > 0 && count != counts.end() && count->second >= group.per_worker_limit)
				return false;
			return !group.filler || has_filler_room(worker, what, rules);
		}

		/// Serving tasks are packed, so that other workers have none that fillers could slow down, and those of one
		/// image together.
		double serving_cost(const worker_room& worker, const task_group& group, const placement_policy& policy)
		{
			const auto capacity = std::max(1.0, static_cast<double>(worker.capacity.cpu_milli));
			double out = -static_cast<double>(worker.serving_cpu_milli) / capacity;
			for (const auto& serving : worker.serving)
				out += serving.image == group.image ? -policy.same_image_gain : policy.other_image_cost;
			return out;
		}

		/// The cost of a worker; the lowest is taken.
		double cost(const worker_room& worker, const placement_wish& what, const placement_rules& rules)
		{
			const auto& group = *what.group;
			const auto capacity = std::max(1.0, static_cast<double>(worker.capacity.cpu_milli));
			double out = worker.distrust * 10.0;
			if (worker.life == what.task->failed_on)
				out += 5.0;
			if (!group.preferred_rack.empty() && !has_label(worker, group.preferred_rack))
				out += 2.0;
			if (group.filler)
				return out - filler_speed(worker, group, rules.policy) -
					   left_over(worker, rules.policy) / capacity / 2 +
					   rules.policy.harm_cost * harm_by(worker, group, rules);
			if (group.latency_target.count() > 0)
				return out + serving_cost(worker, group, rules.policy);
			// Batch tasks go where the least is claimed, so that they do not wait for each other.
			return out + static_cast<double>(worker.claimed.cpu_milli) / capacity;
		}

		std::optional<std::size_t> choose(std::span<const worker_room> workers, const placement_wish& what,
										  const group_counts& counts, const placement_rules& rules)
		{
			std::optional<std::size_t> best;
			double best_cost = std::numeric_limits<double>::max();
			for (std::size_t i = 0; i < workers.size(); ++i)
			{
				if (!may_run(workers[i], what, counts, rules))
					continue;
				const auto here = cost(workers[i], what, rules);
				if (here >= best_cost)
					continue;
				best = i;
				best_cost = here;
			}
			return best;
		}

		group_counts count_group(const job_state& job, std::uint32_t occurrence, std::uint32_t group)
		{
			group_counts out;
			for (std::uint32_t index = 0; index < job.spec.groups[group].count; ++index)
			{
				const auto& task = job.tasks[place_of(job, {job.id, occurrence, group, index})];
				if (task.phase == task_stage::ordered || task.phase == task_stage::running)
					++out[task.worker];
			}
			return out;
		}

		/// Places consecutive wishes of one group of one occurrence, as many as there is room for.
		/// \returns Whether all were placed.
		bool place_each(std::span<worker_room> workers, std::span<const placement_wish> wishes,
						const placement_rules& rules, std::vector<placement>& out)
		{
			const auto& first = wishes.front();
			auto counts = count_group(*first.job, first.key.occurrence, first.key.group);
			const auto placed_before = out.size();
			for (auto what : wishes)
			{
				what.starving = what.starving && out.size() == placed_before; // one place is enough
				const auto found = choose(workers, what, counts, rules);
				if (!found)
					return false;
				note_serving(workers[*found], what.key, *what.job, rules);
				charge(workers[*found], *what.group, rules);
				++counts[workers[*found].life];
				out.push_back({what.key, *found});
			}
			return true;
		}

		/// Places all wishes or none, on the workers of one rack where a rack is named.
		bool place_all(std::span<worker_room> workers, std::span<const placement_wish> wishes,
					   const placement_rules& rules, const std::string& rack, std::vector<placement>& out)
		{
			std::vector<worker_room> tried(workers.begin(), workers.end());
			for (auto& worker : tried)
				worker.accepts = worker.accepts && (rack.empty() || has_label(worker, rack));
			std::vector<placement> placed;
			if (!place_each(tried, wishes, rules, placed))
				return false;
			for (std::size_t i = 0; i < workers.size(); ++i)
			{
				tried[i].accepts = workers[i].accepts;
				workers[i] = std::move(tried[i]);
			}
			out.insert(out.end(), placed.begin(), placed.end());
			return true;
		}

		/// Members of a gang start together, so those of a run that still ends somewhere are waited for.
		void place_gang(std::span<worker_room> workers, std::span<const placement_wish> wishes,
						const placement_rules& rules, std::vector<placement>& out)
		{
			const auto& group = *wishes.front().group;
			if (wishes.size() < group.count)
				return;
			std::set<std::string> racks;
			if (group.same_rack)
				for (const auto& worker : workers)
					racks.insert(rack_of(worker));
			const bool together = std::any_of(
				racks.begin(), racks.end(),
				[&](const std::string& rack) { return !rack.empty() && place_all(workers, wishes, rules, rack, out); });
			if (!together)
				(void)place_all(workers, wishes, rules, "", out);
		}

		void place_group(std::span<worker_room> workers, std::span<const placement_wish> wishes,
						 const placement_rules& rules, std::vector<placement>& out)
		{
			if (wishes.front().group->gang)
				place_gang(workers, wishes, rules, out);
			else
				(void)place_each(workers, wishes, rules, out);
		}

		/// Whether so little of a service's workers is claimed that no job may be kept waiting.
		bool has_room_to_spare(std::span<const worker_room> workers, const service_id& service,
							   const placement_policy& policy)
		{
			resources claimed;
			resources capacity;
			for (const auto& worker : workers)
			{
				if (!worker.accepts || worker.service != service)
					continue;
				claimed += worker.claimed;
				capacity += worker.capacity;
			}
			const auto below = [&](std::int64_t used, std::int64_t all)
			{
				return static_cast<double>(used) < policy.spare_below * static_cast<double>(all);
			};
			return below(claimed.cpu_milli, capacity.cpu_milli) && below(claimed.memory_mib, capacity.memory_mib);
		}
	}

	void charge_workers(std::span<worker_room> workers, const job_table& table, const pressure_model& pressures,
						const placement_policy& policy)
	{
		const placement_rules rules{pressures, policy};
		for (auto& worker : workers)
		{
			const auto found = table.placed.find(worker.life);
			if (found == table.placed.end())
				continue;
			for (const auto& key : found->second)
				note_serving(worker, key, *find_job(table, key.job), rules);
			for (const auto& key : found->second)
				charge(worker, find_job(table, key.job)->spec.groups[key.group], rules);
		}
	}

	std::vector<placement> place_tasks(std::span<worker_room> workers, const job_table& table,
									   std::vector<task_key> waiting, const pressure_model& pressures,
									   const placement_policy& policy, decision_time at)
	{
		const placement_rules rules{pressures, policy};
		auto wishes = order_wishes(table, std::move(waiting), at);
		for (auto& what : wishes)
			what.starving = what.starving && has_room_to_spare(workers, what.job->queue.service, policy);
		std::vector<placement> out;
		for (std::size_t i = 0; i < wishes.size();)
		{
			std::size_t end = i + 1;
			while (end < wishes.size() && same_group(wishes[i].key, wishes[end].key))
				++end;
			place_group(workers, std::span{wishes}.subspan(i, end - i), rules, out);
			i = end;
		}
		return out;
	}
}
