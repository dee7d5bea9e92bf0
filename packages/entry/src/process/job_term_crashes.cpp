// SPDX-License-Identifier: MIT
/// \file
/// \brief The part of job_term that handles lost workers and determines which tasks crash them.
/// \details A worker counts as crashed if its agent reports another incarnation, or gets no answer from it until the
/// lease has expired. If the agent does not report either, the instance may be cut off from the network, and the tasks
/// that ran there are not suspected. They are not suspected either if the worker had announced that it leaves. See
/// crash_suspicion.hpp for the consequences of a suspicion.
#include "job_term.hpp"

#include "../upkeep/upkeep_controller.hpp"

#include <trailjunction/core/event.hpp>
#include <trailjunction/jobs/held_tasks.hpp>
#include <trailjunction/jobs/mass_losses.hpp>
#include <trailjunction/wire/job_messages.hpp>

#include <absl/strings/str_join.h>

#include <algorithm>

namespace trailjunction
{
	namespace
	{
		constexpr crash_policy default_crash_policy{};

		/// A live worker answers its agent every 0.4 s, and the agent reports every 0.5 s. A worker without a known
		/// answer for longer than this is silent.
		constexpr auto silent_after = millis{1'200};
		/// Maximum age of a report that still describes the present state of its worker. If it is older, the agent
		/// itself may be cut off.
		constexpr auto max_report_age = millis{1'000};

		/// For the log: the lease that a run held which no listing had shown.
		constexpr std::string_view unlisted_lease_expired = "unlisted run's lease expired";

		std::string names_of(const crash_record& record)
		{
			return absl::StrJoin(record.workers, " ",
								 [](std::string* out, const worker_incarnation& worker) { out->append(worker.str()); });
		}
	}

	std::vector<worker_incarnation> job_term::find_silent_workers(instant last_response,
																  const worker_incarnation& except, instant now) const
	{
		std::vector<worker_incarnation> out;
		for (const auto& [name, peer] : peers_)
		{
			const auto& worker = peer->worker;
			if (worker.current_incarnation.empty() || worker.current_incarnation == except || worker.draining ||
				!worker.last_response)
				continue;
			const bool has_fresh_report = peer->has_reported() && now - worker.last_report <= max_report_age;
			if (has_fresh_report && now - *worker.last_response >= silent_after &&
				in_correlation_window(*worker.last_response, last_response, default_crash_policy))
				out.push_back(worker.current_incarnation);
		}
		return out;
	}

	void job_term::record_crash(lost_worker& worker, instant now)
	{
		auto recorded = worker;
		if (worker.last_response)
			worker.silent_workers = find_silent_workers(*worker.last_response, worker.incarnation, now);
		else
			recorded.last_response = began_at_; // neither its agent nor this owner was there: it was before this term
		for (const auto& key : record_worker_crash(table_, recorded, default_crash_policy))
			log_event(event::task_cleared, {{"task", to_string(key)}, {"why", "worker crashed together with others"}});
	}

	void job_term::clear_mass_losses()
	{
		if (!table_.crashes.changed)
			return;
		std::vector<worker_sighting> sightings;
		for (const auto& [name, peer] : peers_)
			if (!peer->worker.current_incarnation.empty() && peer->worker.last_response)
				sightings.push_back({peer->worker.known_since, *peer->worker.last_response, peer->data_centre()});
		const auto cleared = trailjunction::clear_mass_losses(table_, sightings, default_crash_policy);
		if (!cleared.empty())
			log_event(event::tasks_cleared, {{"tasks", cleared.size()}, {"workers_up", sightings.size()}});
	}

	std::vector<lost_run> job_term::take_lost_runs(const lost_worker& worker, bool crashed)
	{
		auto postponed = postponed_losses_.extract(worker.incarnation);
		if (postponed.empty())
			return collect_lost_runs(table_, worker, crashed, default_crash_policy);
		auto lost = std::move(postponed.mapped());
		std::erase_if(lost, [&](const lost_run& run) { return !is_placed_on(worker.incarnation, run.run_id); });
		return lost;
	}

	void job_term::postpone_unlisted(const worker_incarnation& worker, std::vector<lost_run>& lost)
	{
		const auto is_over = [this](const lost_run& run)
		{
			return find_task(table_, run.run_id.task)->is_listed || pending_starts_.contains(run.run_id);
		};
		const auto first_postponed = std::stable_partition(lost.begin(), lost.end(), is_over);
		if (first_postponed == lost.end())
			return;
		postponed_losses_[worker].assign(std::make_move_iterator(first_postponed), std::make_move_iterator(lost.end()));
		lost.erase(first_postponed, lost.end());
	}

	void job_term::handle_lost_worker(lost_worker worker, bool crashed, std::string_view why, instant now,
									  lost_scope scope)
	{
		// A worker that may have gone down for the upkeep of its instance does not count as crashed.
		crashed = crashed && (!upkeep_ || !upkeep_->may_have_gone_down(without_start_time(worker.incarnation)));
		if (crashed)
			record_crash(worker, now);
		// If neither its agent nor this owner was there, as after a power loss, the time of the crash is unknown. It
		// cannot be compared with crashes of other workers then, so it is held against no task.
		const bool witnessed = worker.last_response.has_value();
		auto lost = take_lost_runs(worker, crashed && witnessed);
		if (scope == lost_scope::listed)
			postpone_unlisted(worker.incarnation, lost);
		if (lost.empty())
			return;
		log_event(event::worker_lapsed, {{"worker", worker.incarnation.str()},
										 {"why", why},
										 {"crashed", crashed ? 1 : 0},
										 {"runs", lost.size()},
										 {"silent_beside", worker.silent_workers.size()}});
		const auto confirmed = confirmed_at_.find(worker.incarnation);
		const auto last_heard =
			worker.last_response.value_or(confirmed == confirmed_at_.end() ? now : confirmed->second);
		for (auto& run : lost)
		{
			if (pending_starts_.contains(run.run_id))
				run.age.reset(); // it was never ordered
			handle_lost_run(run, worker.incarnation, now);
			note_idle_since(table_, run.run_id.task, last_heard);
		}
	}

	void job_term::handle_lost_run(const lost_run& lost, const worker_incarnation& worker, instant now)
	{
		const auto effect = record_lost_run(table_, lost, worker, default_crash_policy, now);
		if (effect == end_effect::ignored)
			return;
		ended_log_.add(lost.run_id, worker, to_string(run_outcome::lapsed));
		if (!lost.age)
			return;
		const auto& key = lost.run_id.task;
		const auto& crashes = find_task(table_, key)->crashes;
		suspects_[worker].insert(key);
		log_event(event::task_suspected, {{"task", to_string(key)},
										  {"run", lost.run_id.run},
										  {"worker", worker.str()},
										  {"age_ms", lost.age->count()},
										  {"survived_ms", lost.age_bounds.lower_bound.count()},
										  {"crashes", crashes.workers.size()},
										  {"shared", crashes.correlated.size()},
										  {"counted", counts_against(table_, key, worker) ? 1 : 0},
										  {"share_percent", to_percent(lost.blame)},
										  {"blame_percent", to_percent(crashes.blame)},
										  {"next_start", to_string(suspicion_of(crashes))}});
		metrics_.counter("tasks_suspected", "Times that a task was suspected of having crashed its worker.")
			.Increment();
		if (effect == end_effect::held_back)
			log_held_back(key, now);
		if (effect != end_effect::job_over)
			return;
		log_event(event::task_given_up, {{"task", to_string(key)}, {"workers", names_of(crashes)}});
		metrics_.counter("tasks_given_up", "Tasks that are not started again since they crash their workers.")
			.Increment();
	}

	void job_term::log_held_back(const task_key& key, instant now)
	{
		const auto& task = *find_task(table_, key);
		log_event(event::task_held_back,
				  {{"task", to_string(key)},
				   {"workers", names_of(task.crashes)},
				   {"hold_ms", std::chrono::duration_cast<millis>(task.held_until - now).count()}});
		metrics_
			.counter("tasks_held_back", "Times that a long-running task was held back since workers crashed under it.")
			.Increment();
	}

	void job_term::release_held_tasks(instant now)
	{
		for (const auto& released : release_held_back(table_, default_crash_policy, now))
			log_event(event::task_released, {{"task", to_string(released.task)}, {"why", to_string(released.reason)}});
		for (const auto& key : table_.held_back)
			if (auto& task = *find_task(table_, key); task.held_until_ms == 0)
			{
				task.held_until_ms = store_now_ms(task.held_until);
				table_.unsaved.insert(key.job);
			}
	}

	void job_term::restore_held_tasks(job_state& job, instant now) const
	{
		for (auto& task : job.tasks)
			if (task.held_until_ms != 0)
			{
				const auto held_until = owned_.renewal_sent + millis{task.held_until_ms - owned_.store_ms};
				// not longer than the whole time, should the store's clock have been set back
				task.held_until = std::clamp(held_until, now, task.held_until);
			}
	}

	std::vector<worker_incarnation> job_term::earlier_incarnations(const agent_peer& peer) const
	{
		// An agent reports an incarnation only after it has answered, and an agent has only one worker. So the earlier
		// incarnations have ended, and all runs in them. An agent of the same name at another address is on another
		// instance; the worker on the previous instance may still run until its lease expires.
		std::vector<worker_incarnation> out;
		for (const auto& [worker, location] : agent_of_worker_)
			if (location.agent == peer.name() && worker != peer.worker.current_incarnation &&
				location.address == to_string(peer.agent_address()))
				out.push_back(worker);
		// The runs of an incarnation may be stored before its row is, and rows of earlier versions name the id alone.
		for (const auto& [worker, keys] : table_.placed)
			if (worker.id() == peer.worker.current_incarnation.id() && worker != peer.worker.current_incarnation &&
				!agent_of_worker_.contains(worker))
				out.push_back(worker);
		return out;
	}

	void job_term::take_over_late_runs(agent_peer& peer, const wire::job_report& report, instant now)
	{
		const auto& current = peer.worker.current_incarnation;
		std::vector<task_run> listed;
		for (const auto& row : report.running)
			listed.push_back(from_wire(row.what));
		for (const auto& row : report.ended)
			listed.push_back(from_wire(row.what));
		for (const auto& earlier : earlier_incarnations(peer))
		{
			if (earlier.id() != current.id())
				continue;
			// The worker may hold the lease of a call to the earlier incarnation for as long as the platform allows.
			note_unconfirmed_lease(current, longest_lease_end(now, settings_.longest_run_lease));
			for (const auto& run_id : runs_on(table_, earlier))
				if (std::find(listed.begin(), listed.end(), run_id) != listed.end() || may_refer_to(earlier, current))
					transfer_run(table_, run_id, current);
		}
	}

	void job_term::handle_earlier_incarnations(agent_peer& peer, const worker_state& before,
											   const lost_worker& reported_loss, instant now)
	{
		for (const auto& worker : earlier_incarnations(peer))
		{
			agent_of_worker_.erase(worker);
			const bool is_previous = worker == before.current_incarnation;
			// Without a start time it may be the present incarnation, named by an earlier version.
			const bool crashed =
				!may_refer_to(worker, peer.worker.current_incarnation) && (!is_previous || !before.draining);
			if (crashed && table_.placed.contains(worker))
				peer.worker.predecessor_crash = now;
			lost_worker lost{worker, is_previous ? before.last_response : std::nullopt, {}, {}};
			if (reported_loss.incarnation == worker)
				lost = reported_loss;
			lost.data_centre = peer.data_centre();
			handle_lost_worker(std::move(lost), crashed, "restarted", now);
		}
	}

	void job_term::handle_planned_end(agent_peer& peer, const wire::job_report& report, instant now)
	{
		if (!report.__isset.lost || worker_of(report.lost) != worker_of(report))
			return;
		handle_lost_worker({peer.worker.current_incarnation, peer.worker.last_response, {}, {}}, false, "ended", now);
		peer.worker.unplaced.clear();
		wake();
	}

	void job_term::note_unconfirmed_lease(const worker_incarnation& worker, instant end)
	{
		auto& known_end = unconfirmed_lease_ends_[worker];
		known_end = std::max(known_end, end);
	}

	instant job_term::unconfirmed_lease_end(const worker_incarnation& worker) const
	{
		const auto found = unconfirmed_lease_ends_.find(worker);
		return found == unconfirmed_lease_ends_.end() ? instant{} : found->second;
	}

	void job_term::restore_unconfirmed_lease(const stored::worker& row, instant now)
	{
		if (!row.__isset.unconfirmed_lease_end_ms)
			return;
		// The store's clock was read before the answer arrived, so this is no earlier than the actual end. It is no
		// later than that of a lease granted now, should the store's clock have been set back.
		const auto longest = longest_lease_end(now, settings_.longest_run_lease) - committed_at_;
		const millis remaining{row.unconfirmed_lease_end_ms - owned_.store_ms};
		note_unconfirmed_lease(incarnation_of(row),
							   committed_at_ + std::clamp(remaining, millis{0}, std::chrono::ceil<millis>(longest)));
	}

	job_term::counted_lease job_term::lease_of(const worker_incarnation& worker) const
	{
		const counted_lease owned{own_lease_end(worker), confirmed_at_.contains(worker)
															 ? "confirmed lease expired"
															 : "predecessor's lease expired"};
		const auto unconfirmed_end = unconfirmed_lease_end(worker);
		return unconfirmed_end > owned.end ? counted_lease{unconfirmed_end, "unconfirmed lease expired"} : owned;
	}

	void job_term::note_start_order(job_task& task, instant now)
	{
		// The agent makes no call once its worker's lease is over, however often the order is repeated.
		if (now >= own_lease_end(task.worker))
			return;
		start_ordered_at_[task.worker] = now;
		task.is_listed = false;
	}

	instant job_term::last_confirmed(const worker_incarnation& worker) const
	{
		const auto confirmed = confirmed_at_.find(worker);
		return confirmed == confirmed_at_.end() ? began_at_ : confirmed->second;
	}

	instant job_term::own_lease_end(const worker_incarnation& worker) const
	{
		return lease_end(last_confirmed(worker), run_lease_times_);
	}

	instant job_term::unlisted_lease_end(const worker_incarnation& worker) const
	{
		auto granted_by = last_confirmed(worker);
		if (const auto ordered = start_ordered_at_.find(worker); ordered != start_ordered_at_.end())
			granted_by = std::max(granted_by, ordered->second);
		return std::max(lease_of(worker).end, longest_lease_end(granted_by, settings_.longest_run_lease));
	}

	void job_term::handle_expired_leases(instant now)
	{
		struct lapsed_worker
		{
			worker_incarnation worker;
			std::string_view why;
			lost_scope scope;
		};
		std::vector<lapsed_worker> lapsed;
		for (const auto& [worker, keys] : table_.placed)
		{
			const auto lease = lease_of(worker);
			if (now < lease.end)
				postponed_losses_.erase(worker); // it has been confirmed again
			else if (now >= unlisted_lease_end(worker))
				lapsed.push_back({worker,
								  postponed_losses_.contains(worker) ? unlisted_lease_expired : lease.why_expired,
								  lost_scope::all});
			else if (!postponed_losses_.contains(worker))
				lapsed.push_back({worker, lease.why_expired, lost_scope::listed});
		}
		absl::erase_if(postponed_losses_, [this](const auto& entry) { return !table_.placed.contains(entry.first); });
		for (const auto& [worker, why, scope] : lapsed)
		{
			const auto* peer = peer_of(worker);
			const bool crashed = peer != nullptr && !peer->worker.responsive && !peer->worker.draining;
			handle_lost_worker({worker, crashed ? peer->worker.last_response : std::nullopt, {}, {}}, crashed, why, now,
							   scope);
		}
	}

	void job_term::restore_suspects(const job_state& job)
	{
		for (std::size_t i = 0; i < job.tasks.size(); ++i)
			for (const auto& worker : job.tasks[i].crashes.workers)
				suspects_[worker].insert(task_key_at(job, i));
	}

	void job_term::drop_cleared_suspects()
	{
		for (auto& [worker, keys] : suspects_)
			absl::erase_if(keys, [this, &crashed_worker = worker](const task_key& key)
						   { return !counts_against(table_, key, crashed_worker); });
		absl::erase_if(suspects_, [](const auto& entry) { return entry.second.empty(); });
	}

	void job_term::clear_suspects(const agent_peer& peer)
	{
		const auto& worker = peer.worker;
		if (!worker.responsive || !worker.last_response)
			return;
		const auto log_cleared = [](const task_key& key, std::string_view why)
		{
			log_event(event::task_cleared, {{"task", to_string(key)}, {"why", why}});
		};
		if (const auto suspected = suspects_.extract(worker.current_incarnation); !suspected.empty())
			for (const auto& key : suspected.mapped())
				if (retract_crash(table_, key, worker.current_incarnation))
					log_cleared(key, "worker responds");
		const auto placed = table_.placed.find(worker.current_incarnation);
		if (placed == table_.placed.end())
			return;
		for (const auto& key : placed->second)
			if (clear_crashes(table_, {key, find_task(table_, key)->run}, default_crash_policy, *worker.last_response))
				log_cleared(key, "run has lasted long enough");
			else if (lift_blame(table_, {key, find_task(table_, key)->run}, default_crash_policy,
								*worker.last_response))
				log_event(event::blame_lifted,
						  {{"task", to_string(key)}, {"worker", worker.current_incarnation.str()}});
	}
}
