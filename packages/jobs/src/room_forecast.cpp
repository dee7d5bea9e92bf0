// SPDX-License-Identifier: MIT
#include "waiting_groups.hpp"

#include <trailjunction/jobs/job_placement.hpp>
#include <trailjunction/jobs/job_table.hpp>
#include <trailjunction/jobs/room_forecast.hpp>

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cmath>

namespace trailjunction
{
	namespace
	{
		constexpr double cpu_milli = 1'000.0;
		/// Minimum remaining time of a run, in seconds: ends are reported several times a second.
		constexpr double min_remaining = 0.1;

		/// Waiting tasks of one group that is not long-running.
		struct group_backlog
		{
			const job_state* job{};
			bool filler{};
			bool hopeless{};
			double merit{};
			double core_seconds{};
		};

		double seconds(std::chrono::nanoseconds time) noexcept
		{
			return std::chrono::duration<double>(time).count();
		}

		double cores_of(const task_group& group) noexcept
		{
			return static_cast<double>(group.claim.cpu_milli) / cpu_milli;
		}

		resources max_of_each(const resources& left, const resources& right) noexcept
		{
			return {std::max(left.cpu_milli, right.cpu_milli), std::max(left.memory_mib, right.memory_mib),
					std::max(left.accelerators, right.accelerators)};
		}

		service_room& room_of(std::vector<service_room>& rooms, const service_id& service)
		{
			const auto found = std::find_if(rooms.begin(), rooms.end(),
											[&](const service_room& room) { return room.service == service; });
			if (found != rooms.end())
				return *found;
			rooms.emplace_back().service = service;
			return rooms.back();
		}

		void add_worker(service_room& room, const worker_room& worker)
		{
			// No free room if the capacity has shrunk below the claims.
			const auto available = max_of_each(worker.capacity - worker.claimed, {});
			room.capacity += worker.capacity;
			room.free += available;
			room.max_free_on_one_worker = max_of_each(room.max_free_on_one_worker, available);
		}

		/// Adds a job's running tasks to the room of its service: the processors in use and the rate at which they
		/// become free.
		void add_runs(service_room& room, const job_state& job, std::span<const millis> times, instant now)
		{
			auto task = job.tasks.begin();
			for (std::uint32_t occurrence = 0; occurrence < job.spec.occurrences; ++occurrence)
				for (std::size_t i = 0; i < job.spec.groups.size(); ++i)
				{
					const auto& group = job.spec.groups[i];
					for (const auto end = task + group.count; task != end; ++task)
					{
						if (group.long_running ||
							(task->phase != task_stage::ordered && task->phase != task_stage::running))
							continue;
						const auto remaining = seconds(times[i]) - seconds(now - task->phase_since);
						room.cores_per_second += cores_of(group) / std::max(min_remaining, remaining);
						(group.filler ? room.filler_cores_at_work : room.cores_at_work) += cores_of(group);
					}
				}
		}

		std::vector<group_backlog> backlog_of(const job_table& table, decision_time at)
		{
			std::vector<group_backlog> out;
			for (const auto& [first, tasks] : waiting_groups(table, at))
			{
				if (first.group->long_running)
					continue;
				const auto task_core_seconds =
					task_work(*first.group, expected_times(table, *first.job)[first.key.group]);
				out.push_back({first.job, first.group->filler, first.outlook == job_outlook::hopeless, first.merit,
							   task_core_seconds * static_cast<double>(tasks)});
			}
			return out;
		}

		/// Merit of a job of the queue's mean size on submission; see merit_of().
		double merit_when_new(const mean_work& queue_mean)
		{
			const job_progress fresh{};
			return merit_of(fresh, queue_mean.core_seconds, queue_mean.core_seconds, queue_mean);
		}

		bool precedes_new_job(const group_backlog& waiting, const queue_policy& queue, double merit_of_new) noexcept
		{
			if (waiting.job->queue.priority != queue.priority)
				return waiting.job->queue.priority < queue.priority;
			return !waiting.hopeless && waiting.merit >= merit_of_new;
		}

		/// Whether most of the queue's waiting work consists of fillers.
		bool is_mostly_fillers(const std::vector<group_backlog>& backlog, const queue_id& queue)
		{
			double fillers = 0.0;
			for (const auto& waiting : backlog)
				if (waiting.job->queue.queue == queue)
					fillers += waiting.filler ? waiting.core_seconds : -waiting.core_seconds;
			return fillers > 0.0;
		}

		/// \returns Empty if no capacity is known that could do the queue's work.
		std::optional<queue_outlook> outlook_of(const queue_policy& queue, const std::vector<group_backlog>& backlog,
												const service_room& room, const job_table& table,
												const forecast_policy& policy)
		{
			queue_outlook out{queue.queue, queue.service, is_mostly_fillers(backlog, queue.queue), 0, {}, {}, {}};
			// Fillers and other tasks do not use each other's claims.
			const auto rate = out.filler ? room.filler_cores_at_work
										 : room.cores_at_work + static_cast<double>(room.free.cpu_milli) / cpu_milli;
			if (rate <= 0.0)
				return std::nullopt;
			const auto merit = merit_when_new(table.queue_mean_work.at(queue.queue));
			double variance = 0.0; // in core-seconds squared
			for (const auto& waiting : backlog)
			{
				if (waiting.filler != out.filler || waiting.job->queue.service != queue.service ||
					!precedes_new_job(waiting, queue, merit))
					continue;
				out.backlog_core_seconds += waiting.core_seconds;
				variance += std::pow(policy.work_spread * waiting.core_seconds, 2);
			}
			variance += std::pow(policy.rate_spread * out.backlog_core_seconds, 2);
			const auto time = [&](double core_seconds)
			{
				return std::chrono::duration_cast<millis>(std::chrono::duration<double>{core_seconds / rate});
			};
			out.wait = time(out.backlog_core_seconds);
			out.wait_spread = time(std::sqrt(variance));
			if (const auto record = table.run_time_model.find(queue.queue); record != table.run_time_model.end())
				out.learnt = record->second;
			return out;
		}

		void add_queues(room_forecast& out, const job_table& table, decision_time at, const forecast_policy& policy)
		{
			const auto backlog = backlog_of(table, at);
			absl::flat_hash_map<queue_id, const queue_policy*> queues;
			for (const auto& waiting : backlog)
				queues.try_emplace(waiting.job->queue.queue, &waiting.job->queue);
			for (const auto& [id, queue] : queues)
				if (auto outlook = outlook_of(*queue, backlog, room_of(out.services, queue->service), table, policy))
					out.queues.push_back(*std::move(outlook));
			std::sort(out.queues.begin(), out.queues.end(),
					  [](const queue_outlook& left, const queue_outlook& right)
					  { return left.wait != right.wait ? left.wait > right.wait : left.queue < right.queue; });
			out.queues.resize(std::min(out.queues.size(), policy.max_queues));
		}
	}

	room_forecast forecast_room(const job_table& table, std::span<const worker_room> workers, const decision_time& at,
								const forecast_policy& policy)
	{
		room_forecast out;
		out.made_at = at.now;
		for (const auto& worker : workers)
			if (worker.accepts)
				add_worker(room_of(out.services, worker.service), worker);
		for (const auto& [id, job] : table.jobs)
			if (job->status == job_status::running)
				add_runs(room_of(out.services, job->queue.service), *job, expected_times(table, *job), at.now);
		add_queues(out, table, at, policy);
		return out;
	}

	stored::forecast forecast_row(const room_forecast& forecast, std::int64_t made_ms)
	{
		stored::forecast out;
		out.made_ms = made_ms;
		for (const auto& room : forecast.services)
		{
			auto& to = out.services.emplace_back();
			to.name = room.service.str();
			to.free_cores = static_cast<double>(room.free.cpu_milli) / cpu_milli;
			to.widest_cpu_milli = room.max_free_on_one_worker.cpu_milli;
			to.widest_memory_mib = room.max_free_on_one_worker.memory_mib;
			to.widest_accelerators = room.max_free_on_one_worker.accelerators;
			to.cores_at_work = room.cores_at_work;
			to.filler_cores_at_work = room.filler_cores_at_work;
			to.cores_per_second = room.cores_per_second;
		}
		for (const auto& queue : forecast.queues)
		{
			auto& to = out.queues.emplace_back();
			to.name = queue.queue.str();
			to.service_name = queue.service.str();
			to.filler = queue.filler;
			to.backlog_core_seconds = queue.backlog_core_seconds;
			to.wait_ms = queue.wait.count();
			to.wait_spread_ms = queue.wait_spread.count();
			to.groups = queue.learnt.groups;
			to.guess_mean = queue.learnt.guess_mean;
			to.time_mean = queue.learnt.time_mean;
			to.guess_squares = queue.learnt.guess_squares;
			to.products = queue.learnt.products;
		}
		return out;
	}

	room_forecast forecast_from(const stored::forecast& row, std::int64_t store_ms, instant read_at)
	{
		room_forecast out;
		if (row.made_ms == 0)
			return out;
		out.made_at = read_at - millis{std::max<std::int64_t>(0, store_ms - row.made_ms)};
		for (const auto& from : row.services)
		{
			auto& room = out.services.emplace_back();
			room.service = service_id{from.name};
			room.free.cpu_milli = static_cast<std::int64_t>(from.free_cores * cpu_milli);
			room.max_free_on_one_worker = {from.widest_cpu_milli, from.widest_memory_mib, from.widest_accelerators};
			room.cores_at_work = from.cores_at_work;
			room.filler_cores_at_work = from.filler_cores_at_work;
			room.cores_per_second = from.cores_per_second;
		}
		for (const auto& from : row.queues)
			out.queues.push_back(
				{queue_id{from.name}, service_id{from.service_name}, from.filler, from.backlog_core_seconds,
				 millis{from.wait_ms}, millis{from.wait_spread_ms},
				 run_time_record{from.groups, from.guess_mean, from.time_mean, from.guess_squares, from.products}});
		return out;
	}
}
