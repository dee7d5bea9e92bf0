// SPDX-License-Identifier: MIT
#include "job_term.hpp"

#include <trailjunction/core/event.hpp>
#include <trailjunction/wire/job_messages.hpp>

#include <algorithm>
#include <utility>

namespace trailjunction
{
	namespace
	{
		constexpr refusal_policy default_refusal_policy{};
		/// A worker that refuses all starts, or cannot be reached, seldom recovers sooner.
		constexpr refusal_policy unhealthy_policy{.first_pause = millis{1'000}};
		/// Interval between two stop orders of one run. It is twice the report interval; normally the first report
		/// already says that the run has ended.
		constexpr auto stop_repeat_interval = millis{1'000};

		/// Minimum interval between two confirmations of one worker: half of the interval of regular reports.
		constexpr auto min_confirm_interval = millis{250};

		constexpr double full_pace_percent = 100.0;
		constexpr int serving_percent = 100; ///< Progress reported by a long-running task that serves.

		constexpr trust_policy default_trust_policy{};
		constexpr double millicores_per_core = 1'000.0;
		constexpr double pressure_to_milli = 1'000.0;
	}

	namespace
	{
		/// The reason, for the log, why runs_to_stop() lists a run.
		std::string_view reason_to_stop(const job_table& table, const task_run& run_id)
		{
			if (has_ended(find_job(table, run_id.task.job)->status))
				return "job_over";
			const auto move = table.moves.find(run_id);
			return move == table.moves.end() ? "gang_incomplete" : to_string(move->second.reason);
		}
	}

	namespace
	{
		/// Forgets the numbers of ends, all of which a full report lists that are not acknowledged yet. An agent that
		/// has restarted cannot tell an incarnation of its worker from a former one with the same start time.
		void begin_numbering(worker_state& worker) noexcept
		{
			++worker.full_reports;
			worker.last_end_seen = 0;
			worker.last_end_stored = 0;
		}
	}

	agent_peer* job_term::peer_of(const worker_incarnation& worker) const noexcept
	{
		const auto reaches = [&](const agent_peer& peer)
		{
			return peer.worker.current_incarnation == worker && peer.has_reported();
		};
		// The link to a lost agent may stay open while another agent already reports the worker.
		if (const auto location = agent_of_worker_.find(worker); location != agent_of_worker_.end())
			if (const auto named_peer = peers_.find(location->second.agent);
				named_peer != peers_.end() && reaches(*named_peer->second))
				return named_peer->second.get();
		for (const auto& [name, peer] : peers_)
			if (reaches(*peer))
				return peer.get();
		return nullptr;
	}

	bool job_term::is_placed_on(const worker_incarnation& worker, const task_run& run_id) const noexcept
	{
		const auto* task = find_task(table_, run_id.task);
		return task != nullptr && task->run == run_id.run && task->worker == worker;
	}

	void job_term::on_report(agent_peer& peer, wire::job_report&& report)
	{
		if (report.worker.empty())
			return; // the agent does not know its worker yet
		const busy_scope scope{meter_, owner_duty::reports};
		++meter_.load.reports;
		const auto now = boottime_now();
		note_worker(peer, report);
		if (report.full)
			begin_numbering(peer.worker);
		peer.room_outdated = true;
		note_ends(peer, report, now);
		note_refusals(peer, report, now);
		note_unlisted(peer, report, now);
		note_running(peer, report, now);
		note_unplaced(peer, report);
		handle_planned_end(peer, report, now); // the ends in this report were processed before
		learn_pressures(peer, now);
		clear_suspects(peer);
		if (report.full)
			reconcile(peer, report);
		confirm(peer, report, now);
		if (report.full || !report.ended.empty() || !report.refused.empty() || !report.unlisted.empty())
			wake();
	}

	void job_term::begin_incarnation(agent_peer& peer, const worker_incarnation& reported,
									 const wire::job_report& report, instant now)
	{
		auto& worker = peer.worker;
		const auto previous = std::exchange(worker, {});
		worker.current_incarnation = reported;
		worker.first_report = now;
		worker.known_since = agent_of_worker_.contains(reported) ? instant{} : now;
		agent_of_worker_[reported] = {peer.name(), to_string(peer.agent_address())};
		take_over_late_runs(peer, report, now);
		const auto reported_loss = report.__isset.lost ? from_wire(report.lost, now) : lost_worker{};
		handle_earlier_incarnations(peer, previous, reported_loss, now);
		wake();
	}

	void job_term::note_worker(agent_peer& peer, const wire::job_report& report)
	{
		const auto now = boottime_now();
		auto& worker = peer.worker;
		// An agent of an earlier version reports no start time.
		const auto named = worker_of(report);
		if (!may_refer_to(named, worker.current_incarnation))
			begin_incarnation(peer, named, report, now);
		if (report.__isset.unconfirmed_lease_ms)
		{
			const auto longest = longest_lease_end(now, settings_.longest_run_lease);
			const auto most = std::chrono::ceil<millis>(longest - now);
			note_unconfirmed_lease(worker.current_incarnation,
								   now + std::clamp(millis{report.unconfirmed_lease_ms}, millis{0}, most));
		}
		worker.last_response = now - millis{report.unheard_ms};
		worker.last_report = now;
		worker.service = service_id{report.service_name};
		worker.labels = report.labels;
		const resources capacity{report.capacity.cpu_milli, report.capacity.memory_mib, report.capacity.accelerators};
		if (capacity != worker.capacity)
			forget_refused_starts(worker.trust);
		worker.capacity = capacity;
		worker.draining = report.draining;
		worker.responsive = report.responsive;
		worker.filler_pace = report.pace_percent / full_pace_percent;
	}

	void job_term::note_ends(agent_peer& peer, const wire::job_report& report, instant now)
	{
		for (const auto& row : report.ended)
		{
			const auto end = from_wire(row);
			peer.worker.last_end_seen = std::max(peer.worker.last_end_seen, end.number);
			if (!record_end(peer, end, now))
				continue;
			const bool counts_for_trust = end.outcome == run_outcome::done || end.outcome == run_outcome::failed;
			if (counts_for_trust && record_run_end(peer.worker.trust, end.run_id.task.job,
												   end.outcome == run_outcome::failed, default_trust_policy, now))
				log_event(event::worker_avoided, {{"worker", peer.worker.current_incarnation.str()}});
		}
	}

	bool job_term::record_end(const agent_peer& peer, const listed_end& end, instant now)
	{
		const auto& worker = peer.worker.current_incarnation;
		if (!is_placed_on(worker, end.run_id) ||
			end_run(table_, end.run_id, end.outcome, end.checkpoint, now) == end_effect::ignored)
			return false;
		++meter_.load.ended;
		metrics_.counter("job_runs_ended", "Runs by how they ended.", "how", std::string{to_string(end.outcome)})
			.Increment();
		ended_log_.add(end.run_id, worker, to_string(end.outcome));
		return true;
	}

	void job_term::note_refusals(agent_peer& peer, const wire::job_report& report, instant now)
	{
		for (const auto& row : report.refused)
		{
			const auto refusal = from_wire(row);
			if (!is_placed_on(peer.worker.current_incarnation, refusal.run_id))
				continue;
			log_event(event::run_taken_back, {{"task", to_string(refusal.run_id.task)},
											  {"run", refusal.run_id.run},
											  {"why", to_string(refusal.reason)},
											  {"worker", peer.worker.current_incarnation.str()}});
			switch (refusal.reason)
			{
			case start_refusal::invalid:
				end_run(table_, refusal.run_id, run_outcome::failed, "", now);
				continue;
			case start_refusal::superseded:
				end_run(table_, refusal.run_id, run_outcome::lapsed, "", now);
				continue;
			case start_refusal::no_room:
			case start_refusal::never_started:
				record_refused_start(peer.worker.trust, default_refusal_policy, now);
				break;
			case start_refusal::unhealthy:
				record_refused_start(peer.worker.trust, unhealthy_policy, now);
				break;
			case start_refusal::leaving:
				peer.worker.draining = true;
				break;
			}
			release_run(table_, refusal.run_id, now);
		}
	}

	void job_term::note_unlisted(agent_peer& peer, const wire::job_report& report, instant now)
	{
		for (const auto& row : report.unlisted)
			(void)record_end(peer, {0, from_wire(row), run_outcome::lapsed, ""}, now);
	}

	void job_term::note_running(agent_peer& peer, const wire::job_report& report, instant now)
	{
		for (const auto& row : report.started)
		{
			const auto run_id = from_wire(row);
			if (!is_placed_on(peer.worker.current_incarnation, run_id))
			{
				order_stop(peer, run_id, "not_placed");
				continue;
			}
			confirm_run(table_, run_id, now);
			forget_refused_starts(peer.worker.trust);
		}
		for (const auto& row : report.running)
		{
			const auto run = from_wire(row);
			if (!is_placed_on(peer.worker.current_incarnation, run.run_id))
			{
				order_stop(peer, run.run_id, "not_placed");
				continue;
			}
			confirm_run(table_, run.run_id, now);
			record_checkpoint(table_, run.run_id, run.checkpoint);
			find_task(table_, run.run_id.task)->measurement = run.measurement;
			find_task(table_, run.run_id.task)->is_listed = true;
			note_at_work(table_, run.run_id, run.progress_percent >= serving_percent);
		}
	}

	void job_term::note_unplaced(agent_peer& peer, const wire::job_report& report)
	{
		unplaced_run_report changes{report.full, {}, {}};
		for (const auto& row : report.running)
			if (auto run_id = from_wire(row.what); !is_placed_on(peer.worker.current_incarnation, run_id))
				changes.running.push_back(std::move(run_id));
		for (const auto& row : report.ended)
			changes.gone.push_back(from_wire(row.what));
		for (const auto& row : report.refused)
			changes.gone.push_back(from_wire(row.what));
		for (const auto& row : report.unlisted)
			changes.gone.push_back(from_wire(row));
		update_unplaced_runs(peer.worker.unplaced, changes);
	}

	void job_term::learn_pressures(const agent_peer& peer, instant now)
	{
		const auto placed = table_.placed.find(peer.worker.current_incarnation);
		if (placed == table_.placed.end())
			return;
		std::vector<measured_latency> serving;
		std::vector<filler_use> fillers;
		for (const auto& key : placed->second)
		{
			const auto& group = find_job(table_, key.job)->spec.groups[key.group];
			const auto figure = static_cast<double>(find_task(table_, key)->measurement);
			if (group.filler)
				fillers.push_back({group.image, figure / millicores_per_core});
			else if (group.latency_target.count() > 0 && figure > 0.0)
				serving.push_back({key, group.image, figure / static_cast<double>(group.latency_target.count())});
		}
		for (const auto& latency : mean_by_group(std::move(serving)))
			learn_pressure(pressures_, latency, fillers, default_pressure_policy, now);
	}

	void job_term::reconcile(agent_peer& peer, const wire::job_report& report)
	{
		absl::flat_hash_set<task_run> listed;
		for (const auto& row : report.running)
			listed.insert(from_wire(row.what));
		const auto placed = table_.placed.find(peer.worker.current_incarnation);
		if (placed == table_.placed.end())
			return;
		for (const auto& key : placed->second)
		{
			const task_run run_id{key, find_task(table_, key)->run};
			if (pending_starts_.contains(run_id))
				continue; // ordered after its commit
			if (listed.contains(run_id))
				order_start(run_id, order_kind::known_running);
			else if (start_permission_at(peer, boottime_now()) == start_permission::allowed)
				order_start(run_id, order_kind::repeated);
			else // the answer to a stop shows whether the run exists, without starting it
				order_stop(peer, run_id, "evacuated");
		}
	}

	void job_term::confirm(agent_peer& peer, const wire::job_report& report, instant now)
	{
		// An owner that releases the row confirms nothing more, because its successor at the same address does not wait
		// for its lease.
		if (!report.responsive || releasing_ || !may_act(now))
			return;
		// Reports of ends come between the regular reports, which renew leases often enough. Confirming each of them
		// would be half of all messages of an owner of hundreds of agents.
		const auto last = confirmed_at_.find(peer.worker.current_incarnation);
		if (!report.full && !report.lease_ends && last != confirmed_at_.end() &&
			now - last->second < min_confirm_interval)
			return;
		wire::job_confirm answer;
		set_worker(answer, peer.worker.current_incarnation);
		answer.stamp_ms = report.stamp_ms;
		answer.ends_kept = peer.worker.last_end_stored;
		peer.send(to_envelope(std::move(answer)));
		if (report.lease_ends)
			return; // the agent uses this confirmation only to discard acknowledged ends
		const bool had_no_lease = !may_start_on(peer.worker.current_incarnation, now);
		auto& confirmed_at = confirmed_at_[peer.worker.current_incarnation];
		confirmed_at = std::max(confirmed_at, now);
		if (had_no_lease)
			wake(); // tasks may be waiting for this worker
	}

	bool job_term::may_start_on(const worker_incarnation& worker, instant now) const
	{
		const auto confirmed = confirmed_at_.find(worker);
		return confirmed != confirmed_at_.end() && may_start(confirmed->second, run_lease_times_, now);
	}

	void job_term::stop_needless_runs(instant now)
	{
		for (const auto& run_id : runs_to_stop(table_))
		{
			auto& task = *find_task(table_, run_id.task);
			// A stop is repeated, because an order may be lost or overtake a delayed start.
			if (task.stop_ordered_at != instant{} && now - task.stop_ordered_at < stop_repeat_interval)
				continue;
			if (auto* peer = peer_of(task.worker);
				peer != nullptr && order_stop(*peer, run_id, reason_to_stop(table_, run_id)))
				task.stop_ordered_at = now;
		}
	}

	bool job_term::send_order(agent_peer& peer, const wire::envelope& order)
	{
		// Reads the clock again: the process may have been suspended since the order was decided.
		if (may_order(boottime_now()))
		{
			peer.send(order);
			return true;
		}
		metrics_.counter("job_orders_withheld", "Orders that an owner without a lease did not send.").Increment();
		if (withheld_agents_.insert(peer.name()).second)
			log_event(event::orders_withheld, {{"agent", peer.name()},
											   {"worker", peer.worker.current_incarnation.str()},
											   {"epoch", owned_.row.epoch}});
		return false;
	}

	void job_term::review_withheld_orders(instant now)
	{
		if (withheld_agents_.empty() || !may_order(now))
			return;
		for (const auto& name : std::exchange(withheld_agents_, {}))
			if (const auto found = peers_.find(name); found != peers_.end())
				found->second->request_full_report();
	}

	bool job_term::order_stop(agent_peer& peer, const task_run& run_id, std::string_view why)
	{
		wire::job_stop order;
		order.what = to_wire(run_id);
		set_worker(order, peer.worker.current_incarnation);
		if (!send_order(peer, to_envelope(std::move(order))))
			return false;
		log_event(event::stop_ordered, {{"task", to_string(run_id.task)},
										{"run", run_id.run},
										{"worker", peer.worker.current_incarnation.str()},
										{"why", why}});
		return true;
	}

	std::vector<wire::image_pressure> job_term::colocated_pressures(const worker_incarnation& worker,
																	const std::string& filler) const
	{
		absl::flat_hash_set<std::string> images;
		const auto placed = table_.placed.find(worker);
		if (placed == table_.placed.end())
			return {};
		for (const auto& key : placed->second)
			if (const auto& group = find_job(table_, key.job)->spec.groups[key.group]; group.latency_target.count() > 0)
				images.insert(group.image);
		std::vector<wire::image_pressure> out;
		for (const auto& image : images)
		{
			wire::image_pressure pressure;
			pressure.image = image;
			pressure.milli = static_cast<std::int32_t>(pressure_of(pressures_, image, filler, default_pressure_policy) *
													   pressure_to_milli);
			out.push_back(std::move(pressure));
		}
		return out;
	}

	void job_term::order_start(const task_run& run_id, order_kind kind)
	{
		const auto* job = find_job(table_, run_id.task.job);
		auto* task = find_task(table_, run_id.task);
		if (job == nullptr || task->run != run_id.run || task->worker.empty())
			return;
		auto* peer = peer_of(task->worker);
		if (peer == nullptr)
			return; // repeated after the full report over the agent's next link
		if (has_ended(job->status))
		{
			order_stop(*peer, run_id, "job_over");
			return;
		}
		const auto& group = job->spec.groups[run_id.task.group];
		wire::job_start order;
		order.what = to_wire(run_id);
		set_worker(order, task->worker);
		if (kind != order_kind::known_running)
		{
			order.payload = job->spec.payload;
			order.checkpoint = task->checkpoint;
		}
		order.latency_target_ms = group.latency_target.count();
		order.filler = group.filler;
		const auto claim = counted_claim(group);
		order.claim.cpu_milli = claim.cpu_milli;
		order.claim.memory_mib = claim.memory_mib;
		order.claim.accelerators = claim.accelerators;
		order.movable = group.filler && group.checkpointing && !group.gang;
		order.known_running = kind == order_kind::known_running;
		order.repeated = kind == order_kind::repeated;
		order.image = group.image;
		if (group.filler)
			order.pressures = colocated_pressures(task->worker, group.image);
		const bool sent = send_order(*peer, to_envelope(std::move(order)));
		if (sent && kind != order_kind::known_running)
			note_start_order(*task, boottime_now());
		if (sent && kind == order_kind::repeated)
			log_event(event::start_repeated,
					  {{"task", to_string(run_id.task)}, {"run", run_id.run}, {"worker", task->worker.str()}});
	}
}
