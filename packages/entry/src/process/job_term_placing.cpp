// SPDX-License-Identifier: MIT
/// \file
/// \brief The part of job_term that places waiting tasks on workers.
#include "job_term.hpp"

#include "../upkeep/upkeep_controller.hpp"

#include <trailjunction/core/event.hpp>
#include <trailjunction/jobs/held_tasks.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace trailjunction
{
	namespace
	{
		constexpr placement_policy default_placement{};

		/// Maximum number of rooms per agent before rooms of earlier incarnations are dropped.
		constexpr std::size_t max_rooms_per_agent = 4;

		/// Maximum number of jobs whose predicted wait is kept until they start. More jobs wait only if most of them
		/// wait very long.
		constexpr std::size_t max_predicted_waits = 2'000;

		/// Time after the crash of a worker in which suspected tasks are preferably started on other workers.
		constexpr auto recent_crash_window = millis{10'000};

		/// The room of a worker before any run is charged to it; accepts no starts yet.
		worker_room room_of(const worker_state& worker)
		{
			worker_room out;
			out.incarnation = worker.current_incarnation;
			out.service = worker.service;
			out.labels = worker.labels;
			out.capacity = worker.capacity;
			out.pace = worker.filler_pace;
			return out;
		}

		/// Logs the start of a suspected task: how it is started and how long it has waited.
		void log_suspect_start(const job_table& table, const task_run& run_id, const worker_incarnation& worker,
							   millis waited)
		{
			const auto& task = *find_task(table, run_id.task);
			if (task.suspicion_at_start == suspicion::none)
				return;
			log_event(event::suspect_started, {{"task", to_string(run_id.task)},
											   {"run", run_id.run},
											   {"worker", worker.str()},
											   {"how", to_string(task.suspicion_at_start)},
											   {"held", to_string(suspicion_of(task.crashes))},
											   {"waited_ms", waited.count()},
											   {"blame_percent", to_percent(task.crashes.blame)}});
		}

		std::int64_t unix_now_ms()
		{
			return std::chrono::duration_cast<millis>(std::chrono::system_clock::now().time_since_epoch()).count();
		}
	}

	void job_term::refresh_rooms(instant now)
	{
		if (rooms_.size() > max_rooms_per_agent * peers_.size())
		{
			rooms_.clear(); // most belong to earlier incarnations
			room_indexes_.clear();
		}
		for (auto& room : rooms_)
			room.accepts = false;
		for (const auto& [name, peer] : peers_)
		{
			const auto& worker = peer->worker;
			if (worker.current_incarnation.empty())
				continue;
			const auto [position, is_new] = room_indexes_.try_emplace(worker.current_incarnation, rooms_.size());
			if (is_new)
				rooms_.emplace_back();
			auto& room = rooms_[position->second];
			const bool already_accepts = room.accepts; // set by another agent that reports the same worker
			if (is_new || std::exchange(peer->room_outdated, false) ||
				table_.changed_workers.contains(worker.current_incarnation))
			{
				room = room_of(worker);
				charge_workers({&room, 1}, table_, pressures_, default_placement);
			}
			room.crashed_recently = worker.predecessor_crash && now - *worker.predecessor_crash < recent_crash_window;
			room.accepts = already_accepts ||
						   (peer->has_reported() && may_start_on(worker.current_incarnation, now) &&
							worker.responsive && !worker.draining && now >= worker.trust.avoided_until &&
							start_permission_at(*peer, now) == start_permission::allowed &&
							!(upkeep_ && upkeep_->is_going_down(without_start_time(worker.current_incarnation))));
		}
		table_.changed_workers.clear();
	}

	absl::flat_hash_set<task_key> job_term::tasks_with_unplaced_runs(instant now) const
	{
		absl::flat_hash_set<task_key> out;
		for (const auto& [name, peer] : peers_)
		{
			const auto& worker = peer->worker;
			if (worker.unplaced.empty())
				continue;
			// Another agent may report the worker by now; what this one has reported is no longer updated then.
			const auto location = agent_of_worker_.find(worker.current_incarnation);
			const bool is_current = location != agent_of_worker_.end() && location->second.agent == name;
			const auto first_lease_end = lease_end(worker.first_report, run_lease_times_);
			if (is_current && now < std::max(first_lease_end, lease_of(worker.current_incarnation).end))
				for (const auto& run_id : worker.unplaced)
					out.insert(run_id.task);
		}
		return out;
	}

	void job_term::place_waiting(instant now)
	{
		const busy_scope scope{meter_, owner_duty::placing};
		const decision_time decided_at{now, unix_now_ms()};
		auto waiting = waiting_tasks(table_, decided_at.unix_ms);
		remove_held_back(table_, waiting, now); // they must not delay the upkeep of instances
		if (const auto held = tasks_with_unplaced_runs(now); !held.empty())
			std::erase_if(waiting, [&](const task_key& key) { return held.contains(key); });
		waiting_count_ = waiting.size();
		if (waiting.empty())
			return;
		refresh_rooms(now);
		for (const auto& placement :
			 place_tasks(rooms_, table_, std::move(waiting), pressures_, default_placement, decided_at))
		{
			const auto& worker = rooms_[placement.worker].incarnation;
			const auto waited =
				std::chrono::duration_cast<millis>(now - find_task(table_, placement.task)->phase_since);
			const auto run_id = assign(table_, placement.task, worker, now);
			log_suspect_start(table_, run_id, worker, waited);
			pending_starts_.insert(run_id);
			ordered_log_.add(run_id, worker);
			observe_forecast_error(run_id.task.job, now);
		}
		ordered_log_.flush();
	}

	void job_term::record_predicted_wait(const job_state& job)
	{
		const auto& queues = forecast_.queues;
		const auto found = std::find_if(queues.begin(), queues.end(),
										[&](const queue_outlook& outlook) { return outlook.queue == job.queue.queue; });
		if (found == queues.end() || job.status != job_status::queued)
			return;
		if (predicted_waits_.size() >= max_predicted_waits)
			predicted_waits_.clear(); // most were cancelled before they started
		predicted_waits_[job.id] = found->wait;
	}

	void job_term::observe_forecast_error(const job_id& id, instant now)
	{
		const auto found = predicted_waits_.find(id);
		if (found == predicted_waits_.end())
			return;
		const std::chrono::duration<double> error = now - find_job(table_, id)->accepted_at - found->second;
		metrics_
			.histogram(error.count() < 0.0 ? "job_forecast_too_long" : "job_forecast_too_short",
					   "How far the forecast of a job's wait was off.")
			.Observe(std::abs(error.count()));
		predicted_waits_.erase(found);
	}

	room_forecast job_term::make_forecast(instant now)
	{
		refresh_rooms(now);
		return forecast_room(table_, rooms_, {now, unix_now_ms()});
	}
}
