// SPDX-License-Identifier: MIT
#include "crash_placement.hpp"
#include "job_tasks.hpp"

#include <trailjunction/jobs/held_tasks.hpp>
#include <trailjunction/jobs/idle_long_running.hpp>
#include <trailjunction/jobs/job_crashes.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace trailjunction
{
	namespace
	{
		millis elapsed(instant from, instant to)
		{
			return std::max(millis{0}, std::chrono::duration_cast<millis>(to - from));
		}

		/// The properties of a waiting task on which its eligible workers depend.
		using request_kind = std::tuple<std::string, std::int64_t, std::int64_t, std::int64_t, std::string, suspicion>;

		bool has_room_for(const worker_room& worker, const task_group& group)
		{
			const auto& label = group.required_label;
			return counted_claim(group).fits_in(worker.capacity - worker.claimed) &&
				   (label.empty() ||
					std::find(worker.labels.begin(), worker.labels.end(), label) != worker.labels.end());
		}

		/// When a group of a job became due, as far as this process knows; requires that it is due.
		instant due_since(const job_state& job, std::uint32_t occurrence, std::uint32_t group, decision_time at)
		{
			auto out = job.accepted_at;
			if (job.spec.repeated)
				out = std::max(out, at.now - millis{at.unix_ms - due_ms(job.spec, occurrence)});
			for (const auto earlier : job.spec.groups[group].after)
				for (const auto& task : siblings_of(job, {job.id, occurrence, earlier, 0}))
					out = std::max(out, task.phase_since);
			return out;
		}

		/// Whether no waiting task could be placed, whatever the workers are.
		std::optional<idle_reason> reason_to_place_nothing(const idle_context& context) noexcept
		{
			if (!context.may_act)
				return idle_reason::owner_may_not_act;
			if (context.has_stale_input)
				return idle_reason::stale_input;
			return std::nullopt;
		}

		/// One search for idle tasks.
		class idle_search
		{
		public:
			idle_search(const job_table& table, const idle_context& context, const idle_policy& policy,
						decision_time at)
				: table_{table},
				  context_{context},
				  policy_{policy},
				  at_{at}
			{
			}

			std::vector<idle_task> run()
			{
				for (const auto& [id, job] : table_.jobs)
					if (job->status == job_status::failed || !has_ended(job->status))
						search_job(*job);
				search_silent_workers();
				return std::move(found_);
			}

		private:
			void search_job(const job_state& job)
			{
				auto task = job.tasks.begin();
				for (std::uint32_t occurrence = 0; occurrence < job.spec.occurrences; ++occurrence)
					for (std::uint32_t group = 0; group < job.spec.groups.size(); ++group)
					{
						const auto end = task + job.spec.groups[group].count;
						if (job.spec.groups[group].long_running)
							search_group(job, {task, end}, {job.id, occurrence, group, 0});
						task = end;
					}
			}

			void search_group(const job_state& job, std::span<const job_task> tasks, const task_key& first)
			{
				std::optional<instant> since; // for a due group; the same for all its tasks
				auto key = first;
				for (const auto& task : tasks)
				{
					const auto position = key;
					++key.index;
					const auto idle_for = elapsed(std::max(task.idle_since, job.accepted_at), at_.now);
					if (job.status == job_status::failed)
						found_.push_back({position, idle_reason::given_up, idle_for, task.worker});
					else if (task.phase != task_stage::running && idle_for > policy_.report_after)
						add_idle(job, task, position, since);
				}
			}

			void add_idle(const job_state& job, const job_task& task, const task_key& key,
						  std::optional<instant>& since)
			{
				if (!is_placed(task) && !is_due(job, key.occurrence, key.group, at_.unix_ms))
				{
					const auto idle_for = elapsed(std::max(task.idle_since, job.accepted_at), at_.now);
					found_.push_back({key, idle_reason::not_due, idle_for, {}});
					return;
				}
				if (!since)
					since = due_since(job, key.occurrence, key.group, at_);
				const auto idle_for = elapsed(std::max(task.idle_since, *since), at_.now);
				if (idle_for > policy_.report_after)
					found_.push_back({key, reason_of(job, task, key), idle_for, task.worker});
			}

			/// Adds the confirmed runs on workers that no longer respond.
			void search_silent_workers()
			{
				for (const auto& [worker, keys] : table_.placed)
				{
					const auto silent_for = silence_of(worker);
					if (silent_for <= policy_.report_after)
						continue;
					for (const auto& key : keys)
					{
						const auto& job = *find_job(table_, key.job);
						if (has_ended(job.status) || !group_of(job, key).long_running ||
							find_task(table_, key)->phase != task_stage::running)
							continue;
						found_.push_back({key, idle_reason::worker_silent, silent_for, worker});
					}
				}
			}

			[[nodiscard]] millis silence_of(const worker_incarnation& worker) const
			{
				const auto response = context_.last_responses.find(worker);
				return elapsed(response == context_.last_responses.end() ? context_.listening_since : response->second,
							   at_.now);
			}

			[[nodiscard]] idle_reason reason_of(const job_state& job, const job_task& task, const task_key& key)
			{
				if (!is_placed(task))
					return reason_to_wait(job, key);
				if (context_.pending_starts != nullptr && context_.pending_starts->contains({key, task.run}))
					return idle_reason::not_ordered_yet;
				return silence_of(task.worker) > policy_.report_after ? idle_reason::worker_silent
																	  : idle_reason::ordered_not_confirmed;
			}

			[[nodiscard]] idle_reason reason_to_wait(const job_state& job, const task_key& key)
			{
				if (const auto reason = reason_to_place_nothing(context_))
					return *reason;
				if (is_held_back(*find_task(table_, key), at_.now))
					return idle_reason::held_back;
				const auto& group = group_of(job, key);
				const auto level = group.gang ? suspicion::none : effective_suspicion(job, key, at_.now);
				const auto claim = counted_claim(group);
				const auto [known, is_new] =
					reasons_.try_emplace(request_kind{job.queue.service.str(), claim.cpu_milli, claim.memory_mib,
													  claim.accelerators, group.required_label, level});
				if (is_new)
					known->second = reason_of_workers(job.queue.service, group, level);
				return known->second;
			}

			[[nodiscard]] idle_reason reason_of_workers(const service_id& service, const task_group& group,
														suspicion level) const
			{
				auto reason = idle_reason::no_worker;
				for (const auto& worker : context_.rooms)
				{
					if (worker.service != service)
						continue;
					if (!worker.accepts)
						reason = std::max(reason, idle_reason::workers_refuse);
					else if (!has_room_for(worker, group))
						reason = std::max(reason, idle_reason::no_room);
					else if (!may_colocate(worker, level))
						reason = std::max(reason, level == suspicion::none ? idle_reason::workers_reserved
																		   : idle_reason::suspected);
					else if (level == suspicion::likely && !may_reserve(context_.rooms, service, placement_policy{}))
						reason = std::max(reason, idle_reason::suspected);
					else
						return idle_reason::not_chosen;
				}
				return reason;
			}

			const job_table& table_;
			const idle_context& context_;
			const idle_policy& policy_;
			decision_time at_;
			std::vector<idle_task> found_;
			absl::flat_hash_map<request_kind, idle_reason> reasons_;
		};
	}

	std::string_view to_string(idle_reason reason) noexcept
	{
		switch (reason)
		{
		case idle_reason::given_up:
			return "given_up";
		case idle_reason::not_due:
			return "not_due";
		case idle_reason::owner_may_not_act:
			return "owner_may_not_act";
		case idle_reason::stale_input:
			return "stale_input";
		case idle_reason::held_back:
			return "held_back";
		case idle_reason::no_worker:
			return "no_worker";
		case idle_reason::workers_refuse:
			return "workers_refuse";
		case idle_reason::no_room:
			return "no_room";
		case idle_reason::suspected:
			return "suspected";
		case idle_reason::workers_reserved:
			return "workers_reserved";
		case idle_reason::not_chosen:
			return "not_chosen";
		case idle_reason::not_ordered_yet:
			return "not_ordered_yet";
		case idle_reason::ordered_not_confirmed:
			return "ordered_not_confirmed";
		case idle_reason::worker_silent:
			return "worker_silent";
		}
		return "unnamed";
	}

	std::vector<idle_task> find_idle_long_running(const job_table& table, const idle_context& context,
												  const idle_policy& policy, decision_time at)
	{
		return idle_search{table, context, policy, at}.run();
	}

	std::array<std::size_t, idle_reason_count> count_by_reason(std::span<const idle_task> idle) noexcept
	{
		std::array<std::size_t, idle_reason_count> out{};
		for (const auto& task : idle)
			++out[static_cast<std::size_t>(task.reason)];
		return out;
	}

	idle_changes update_reports(idle_reports& reports, std::span<const idle_task> idle)
	{
		idle_changes out;
		auto previous = std::exchange(reports.reported, {});
		for (const auto& task : idle)
		{
			if (task.reason == idle_reason::not_due || task.reason == idle_reason::given_up)
				continue;
			if (previous.erase(task.task) == 0)
				out.begun.push_back(task);
			reports.reported.insert_or_assign(task.task, task);
		}
		for (auto& [key, task] : previous)
			out.ended.push_back(std::move(task));
		return out;
	}
}
