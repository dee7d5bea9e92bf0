// SPDX-License-Identifier: MIT
#include "crash_placement.hpp"
#include "filler_fit.hpp"

#include <trailjunction/jobs/job_crashes.hpp>

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

namespace trailjunction
{
	namespace
	{
		/// Number of a group's tasks on each worker.
		using group_counts = absl::flat_hash_map<worker_incarnation, std::uint32_t>;

		bool has_label(const worker_room& worker, const std::string& label)
		{
			return std::find(worker.labels.begin(), worker.labels.end(), label) != worker.labels.end();
		}

		/// The second label is the rack; the first is the worker's kind.
		std::string rack_of(const worker_room& worker)
		{
			return worker.labels.size() > 1 ? worker.labels[1] : std::string{};
		}

		void charge(worker_room& worker, const task_group& group, filler_pressure_cache& cache)
		{
			worker.claimed += counted_claim(group);
			if (group.filler)
			{
				worker.filler_cpu_milli += group.claim.cpu_milli;
				for (auto& serving : worker.serving)
					serving.log_ratio += cache.pressure_on(serving.image);
			}
			else if (group.latency_target.count() > 0)
				worker.serving_cpu_milli += group.claim.cpu_milli;
		}

		/// Must be called before the worker's fillers are charged, since these add to the serving tasks' latency
		/// ratios.
		void note_serving(worker_room& worker, const task_key& key, const job_state& job,
						  const placement_context& context)
		{
			const auto& group = job.spec.groups[key.group];
			if (group.latency_target.count() == 0)
				return;
			const auto alone = base_of(context.pressures, key, context.policy.pressure);
			expected_latency out{group.image, alone, alone};
			if (context.policy.forecasts_load)
				out.load_forecast = forecast_bases(context.pressures, key, context.policy.pressure);
			else
				out.load_forecast.fill(alone);
			worker.serving.push_back(std::move(out));
		}

		bool may_run(const worker_room& worker, const placement_request& request, const group_counts& counts)
		{
			const auto& group = *request.group;
			if (!worker.accepts || worker.service != request.job->queue.service ||
				!may_colocate(worker, request.crash_suspicion))
				return false;
			if (!counted_claim(group).fits_in(worker.capacity - worker.claimed))
				return false;
			if (!group.required_label.empty() && !has_label(worker, group.required_label))
				return false;
			if (group.per_worker_limit == 0)
				return true;
			const auto count = counts.find(worker.incarnation);
			return count == counts.end() || count->second < group.per_worker_limit;
		}

		/// Packs serving tasks, so that other workers have none that fillers could slow down, and groups them by image.
		double serving_cost(const worker_room& worker, const task_group& group, const placement_policy& policy)
		{
			const auto capacity = std::max(1.0, static_cast<double>(worker.capacity.cpu_milli));
			double out = -static_cast<double>(worker.serving_cpu_milli) / capacity;
			for (const auto& serving : worker.serving)
				out += serving.image == group.image ? -policy.same_image_gain : policy.other_image_cost;
			return out;
		}

		/// Added to a worker's cost for a task whose latest failure was on that worker.
		constexpr double previous_failure_cost = 5.0;

		/// Cost of a worker that cannot run the task.
		constexpr double infeasible = std::numeric_limits<double>::infinity();

		/// Cost of a worker for any task of a group; the worker with the lowest cost is chosen.
		double cost(const worker_room& worker, const placement_request& request, const placement_policy& policy,
					filler_pressure_cache& cache)
		{
			const auto& group = *request.group;
			const auto capacity = std::max(1.0, static_cast<double>(worker.capacity.cpu_milli));
			double out = worker.recent_failure_share * 10.0;
			if (!group.preferred_rack.empty() && !has_label(worker, group.preferred_rack))
				out += 2.0;
			std::optional<filler_fit> fit;
			if (group.filler)
			{
				fit = fit_filler(worker, request, policy, cache);
				if (!fit)
					return infeasible;
			}
			if (request.crash_suspicion != suspicion::none)
				return out + crash_cost(worker, request.crash_suspicion, policy);
			if (worker.suspect_runs > 0)
				out += policy.suspect_neighbour_cost;
			if (group.filler)
				return out - fit->speed - spare_cpu_milli(worker, policy) / capacity / 2 + policy.harm_cost * fit->harm;
			if (group.latency_target.count() > 0)
				return out + serving_cost(worker, group, policy);
			// Batch tasks go to the worker with the fewest claims, so that they do not compete with each other.
			return out + static_cast<double>(worker.claimed.cpu_milli) / capacity;
		}

		group_counts count_group(const job_state& job, std::uint32_t occurrence, std::uint32_t group)
		{
			group_counts out;
			for (std::uint32_t index = 0; index < job.spec.groups[group].count; ++index)
			{
				const auto& task = job.tasks[task_index(job, {job.id, occurrence, group, index})];
				if (task.phase == task_stage::ordered || task.phase == task_stage::running)
					++out[task.worker];
			}
			return out;
		}

		/// Costs of all workers for the tasks of one group.
		/// \details A placement changes one worker, so only that worker's cost is recomputed for the next task of the
		/// group (40 in the benchmark). Together with pressure lookups that avoid copies, this reduced a round of 240
		/// workers from 15.4 to 3.8 ms (tools/bench rounds).
		class group_costs
		{
		public:
			group_costs(std::span<worker_room> workers, const placement_request& first,
						const placement_context& context)
				: workers_{workers},
				  policy_{context.policy},
				  cache_{*first.group, context},
				  counts_{count_group(*first.job, first.key.occurrence, first.key.group)},
				  costs_(workers.size())
			{
				update_all(first);
			}

			void update_all(const placement_request& request)
			{
				for (std::size_t i = 0; i < workers_.size(); ++i)
					update(i, request);
			}

			/// Adds one more task of the group to a worker.
			void place_on(std::size_t worker, const placement_request& request)
			{
				charge(workers_[worker], *request.group, cache_);
				++counts_[workers_[worker].incarnation];
				update(worker, request);
			}

			/// The worker with the lowest cost; empty if none can run the task.
			[[nodiscard]] std::optional<std::size_t> best_for(const placement_request& request) const
			{
				std::optional<std::size_t> best;
				double best_cost = infeasible;
				for (std::size_t i = 0; i < costs_.size(); ++i)
				{
					if (costs_[i] >= best_cost || is_avoided(workers_[i], request))
						continue;
					const bool failed_here =
						!request.task->failed_on.empty() && workers_[i].incarnation == request.task->failed_on;
					const auto here = costs_[i] + (failed_here ? previous_failure_cost : 0.0) +
									  repeated_crash_cost(workers_[i], request, policy_);
					if (here >= best_cost)
						continue;
					best = i;
					best_cost = here;
				}
				return best;
			}

		private:
			void update(std::size_t i, const placement_request& request)
			{
				costs_[i] =
					may_run(workers_[i], request, counts_) ? cost(workers_[i], request, policy_, cache_) : infeasible;
			}

			std::span<worker_room> workers_;
			const placement_policy& policy_;
			filler_pressure_cache cache_;
			group_counts counts_;
			std::vector<double> costs_;
		};

		/// Places consecutive requests of one group of one occurrence, as many as there is room for.
		/// \returns The first request that could not be placed; null if all were placed.
		const placement_request* place_each(std::span<worker_room> workers, std::span<const placement_request> requests,
											const placement_context& context, std::vector<placement>& out)
		{
			auto common = requests.front(); // the requests of a group have the same requirements
			group_costs costs{workers, common, context};
			bool any_starving_placed = false;
			for (const auto& next : requests)
			{
				// Only one task of a starving job is placed regardless of the harm.
				const bool starving = next.starving && (next.group->long_running || !any_starving_placed);
				if (next.crash_suspicion != common.crash_suspicion || starving != common.starving)
				{
					common.crash_suspicion = next.crash_suspicion;
					common.starving = starving;
					costs.update_all(common);
				}
				if (next.crash_suspicion == suspicion::likely &&
					!may_reserve(workers, next.job->queue.service, context.policy))
					return &next;
				const auto found = costs.best_for(next);
				if (!found && next.avoids_workers)
					continue; // another task may take the room that this one avoids
				if (!found)
					return &next;
				any_starving_placed = any_starving_placed || starving;
				note_serving(workers[*found], next.key, *next.job, context);
				add_suspect(workers[*found], next.crash_suspicion);
				costs.place_on(*found, common);
				out.push_back({next.key, *found});
			}
			return nullptr;
		}

		/// Places all requests or none; only on workers of \p rack unless it is empty.
		bool place_all(std::span<worker_room> workers, std::span<const placement_request> requests,
					   const placement_context& context, const std::string& rack, std::vector<placement>& out)
		{
			std::vector<worker_room> trial(workers.begin(), workers.end());
			for (auto& worker : trial)
				worker.accepts = worker.accepts && (rack.empty() || has_label(worker, rack));
			std::vector<placement> placed;
			if (place_each(trial, requests, context, placed) != nullptr)
				return false;
			for (std::size_t i = 0; i < workers.size(); ++i)
			{
				trial[i].accepts = workers[i].accepts;
				workers[i] = std::move(trial[i]);
			}
			out.insert(out.end(), placed.begin(), placed.end());
			return true;
		}

		/// Members of a gang start together, so the gang is not placed while a run of one of its members is still
		/// ending.
		void place_gang(std::span<worker_room> workers, std::span<const placement_request> requests,
						const placement_context& context, std::vector<placement>& out)
		{
			const auto& group = *requests.front().group;
			if (requests.size() < group.count)
				return;
			std::set<std::string> racks;
			if (group.same_rack)
				for (const auto& worker : workers)
					racks.insert(rack_of(worker));
			const bool together =
				std::any_of(racks.begin(), racks.end(),
							[&](const std::string& rack)
							{ return !rack.empty() && place_all(workers, requests, context, rack, out); });
			if (!together)
				(void)place_all(workers, requests, context, "", out);
		}

		/// \returns The first request that could not be placed; null for a gang, which is tried again each time.
		const placement_request* place_group(std::span<worker_room> workers,
											 std::span<const placement_request> requests,
											 const placement_context& context, std::vector<placement>& out)
		{
			if (!requests.front().group->gang)
				return place_each(workers, requests, context, out);
			place_gang(workers, requests, context, out);
			return nullptr;
		}

		/// Whether every worker that could run the right group's tasks could also run the left group's.
		bool is_no_stricter(const placement_request& left, const placement_request& right,
							const placement_policy& policy)
		{
			const auto& left_group = *left.group;
			const auto& right_group = *right.group;
			return left_group.per_worker_limit == 0 && right_group.per_worker_limit == 0 && !right_group.gang &&
				   left.starving == right.starving && left.crash_suspicion == right.crash_suspicion &&
				   left_group.filler == right_group.filler &&
				   allowed_harm(left, policy) >= allowed_harm(right, policy) && left_group.claim == right_group.claim &&
				   left_group.image == right_group.image && left_group.required_label == right_group.required_label &&
				   left.job->queue.service == right.job->queue.service;
		}

		/// Whether so little of a service's capacity is claimed that a starving job gets a place regardless of the
		/// harm.
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
				return static_cast<double>(used) < policy.spare_room_claimed_share * static_cast<double>(all);
			};
			return below(claimed.cpu_milli, capacity.cpu_milli) && below(claimed.memory_mib, capacity.memory_mib);
		}
	}

	void charge_workers(std::span<worker_room> workers, const job_table& table, const pressure_model& pressures,
						const placement_policy& policy)
	{
		const placement_context context{pressures, policy};
		for (auto& worker : workers)
		{
			const auto found = table.placed.find(worker.incarnation);
			if (found == table.placed.end())
				continue;
			for (const auto& key : found->second)
			{
				const auto& job = *find_job(table, key.job);
				note_serving(worker, key, job, context);
				add_suspect(worker, run_suspicion(job, key));
			}
			for (const auto& key : found->second)
			{
				const auto& group = find_job(table, key.job)->spec.groups[key.group];
				filler_pressure_cache cache{group, context};
				charge(worker, group, cache);
			}
		}
	}

	std::vector<placement> place_tasks(std::span<worker_room> workers, const job_table& table,
									   std::vector<task_key> waiting, const pressure_model& pressures,
									   const placement_policy& policy, decision_time at)
	{
		const placement_context context{pressures, policy};
		auto requests = order_requests(table, std::move(waiting), at);
		std::vector<const placement_request*> unplaced;
		for (auto& request : requests)
			request.starving = request.starving && (request.group->long_running ||
													has_room_to_spare(workers, request.job->queue.service, policy));
		std::vector<placement> out;
		for (std::size_t i = 0; i < requests.size();)
		{
			std::size_t end = i + 1;
			while (end < requests.size() && same_group(requests[i].key, requests[end].key))
				++end;
			const auto group = std::span{requests}.subspan(i, end - i);
			i = end;
			// Workers only gain load within a round, so a request that no worker could take is not tried again for
			// equal or stricter requirements. In a burst of 40 jobs that wait for the same room this saves 39 scans of
			// all workers.
			const auto also_blocks = [&](const placement_request* before)
			{
				return is_no_stricter(*before, group.front(), policy);
			};
			if (std::any_of(unplaced.begin(), unplaced.end(), also_blocks))
				continue;
			const auto placed_before = out.size();
			const auto* first_unplaced = place_group(workers, group, context, out);
			// A starving job has received its one place regardless of the harm; the next starving job gets its own.
			const bool got_starving_place = group.front().starving && out.size() > placed_before;
			if (first_unplaced != nullptr && !got_starving_place)
				unplaced.push_back(first_unplaced);
		}
		return out;
	}
}
