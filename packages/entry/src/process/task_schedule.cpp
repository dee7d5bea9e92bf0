// SPDX-License-Identifier: MIT
/// \file
/// \brief The periodic part of task_owner: fencing, placement, protection of services from interference.
#include "task_owner.hpp"

#include <trailjunction/core/event.hpp>
#include <trailjunction/net/coroutines.hpp>

#include <absl/strings/str_cat.h>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace trailjunction
{
	namespace asio = boost::asio;

	namespace
	{
		constexpr auto schedule_interval = millis{20};
		constexpr auto response_interval = millis{500};
		constexpr auto no_room_retry_delay = millis{300};
		constexpr auto quota_retry_delay = millis{500};
		constexpr auto make_room_interval = millis{1'000};
		/// Minimum time of ownership before a task that fits nowhere is parked. Before that, the entry may not know all
		/// workers yet.
		constexpr auto park_delay = millis{5'000};
		constexpr auto prune_interval = std::chrono::seconds{30};
		constexpr auto eviction_window = std::chrono::minutes{1};
		/// Placement attempts for one shard in one iteration.
		constexpr std::size_t max_placements_per_iteration = 400;
		/// Waiting tasks examined for one shard in one iteration.
		constexpr std::size_t max_examined_per_iteration = 20'000;
		constexpr std::size_t max_queued_records = 6'000; ///< Queued journal records above which nothing is placed.
		/// Declared duration from which a task is long-running.
		constexpr std::int64_t long_running_ms = 24LL * 3600 * 1000;

		journal_record make_record(record_kind kind, const task_state& task, std::string reason)
		{
			journal_record record;
			record.kind = kind;
			record.task = task.spec.id;
			record.run = task.run;
			record.worker = task.worker;
			record.reason = std::move(reason);
			return record;
		}
	}

	asio::awaitable<void> task_owner::schedule()
	{
		auto responded_at = boottime_now();
		auto pruned_at = boottime_now();
		while (true)
		{
			asio::steady_timer timer{io_, schedule_interval};
			(void)co_await timer.async_wait(as_result);
			const auto now = boottime_now();
			if (!members_.may_own(now))
				continue;
			const bool respond = now - responded_at >= response_interval;
			usage_ = usage();
			std::size_t waiting = 0;
			for (const auto& journal : journals_)
			{
				if (journal->ownership() != shard_ownership::owned)
					continue;
				fence_lost_workers(*journal, now);
				release_fences(*journal, now);
				place_waiting(*journal, now);
				if (respond)
					protect_services(*journal, now);
				waiting += journal->state().waiting.size();
			}
			waiting_gauge_.Set(static_cast<double>(waiting));
			if (respond)
				responded_at = now;
			if (now - pruned_at >= prune_interval)
			{
				prune_transient_state();
				pruned_at = now;
			}
		}
	}

	// ------------------------------------------------------------------ lost workers and fences

	void task_owner::fence_lost_workers(shard_journal& journal, instant now)
	{
		std::vector<task_id> lost;
		for (const auto& [name, tasks] : journal.state().tasks_by_worker)
		{
			const auto* worker = workers_.find(name);
			const auto last_contact =
				std::max(worker == nullptr ? instant{} : worker->heartbeat_at, journal.owned_since());
			if (now - last_contact > settings_.times.lost_after)
				lost.insert(lost.end(), tasks.begin(), tasks.end());
		}
		for (const auto& id : lost)
		{
			const auto& task = journal.state().tasks.at(id);
			if (task.phase == task_phase::running && !journal.has_pending_record(id))
				fence_run(journal, task, "its worker is out of sight");
		}
	}

	void task_owner::fence_run(shard_journal& journal, const task_state& task, const std::string& reason)
	{
		const auto id = task.spec.id;
		if (task.spec.replica)
		{
			// Replicas need no fence: a lost replica is replaced by a new one at once.
			auto record = make_record(record_kind::ended, task, reason);
			record.end_status = run_end::lost;
			(void)journal.append(std::move(record));
			return;
		}
		const auto run = task.run;
		const auto worker = task.worker;
		auto& transient = transient_[id];
		transient.fence_durable = false;
		const auto status = journal.append(make_record(record_kind::fenced, task, reason),
										   [this, id](append_outcome outcome)
										   {
											   if (outcome != append_outcome::durable)
												   return;
											   auto& fence = transient_[id];
											   fence.fence_durable = true;
											   fence.fence_until = boottime_now() + settings_.times.fence_wait();
										   });
		if (!status.ok())
			return;
		fences_counter_.Increment();
		log_event(event::run_fenced,
				  {{"task", id.str()}, {"run", run.value}, {"worker", worker.str()}, {"reason", reason}});
	}

	void task_owner::release_fences(shard_journal& journal, instant now)
	{
		std::vector<task_id> expired;
		for (const auto& [name, tasks] : journal.state().tasks_by_worker)
			for (const auto& id : tasks)
			{
				if (journal.state().tasks.at(id).phase != task_phase::fenced || journal.has_pending_record(id))
					continue;
				const auto& transient = transient_[id];
				if (transient.fence_durable && now >= transient.fence_until)
					expired.push_back(id);
			}
		for (const auto& id : expired)
		{
			const auto& task = journal.state().tasks.at(id);
			log_event(event::run_released, {{"task", id.str()}, {"run", task.run.value}});
			(void)journal.append(make_record(record_kind::released, task, "nothing of its last run can be left"));
		}
	}

	// ------------------------------------------------------------------ placement

	bool task_owner::quota_allows(const task_state& task) const
	{
		const auto usable = members_.usable_quota(task.spec.account);
		if (!usable)
			return true;
		auto used = task.spec.claim;
		if (const auto account_use = usage_.find(task.spec.account); account_use != usage_.end())
			used += account_use->second;
		return used.fits_in(*usable);
	}

	void task_owner::place_waiting(shard_journal& journal, instant now)
	{
		if (journal.pending_count() > max_queued_records)
			return;
		std::vector<task_id> chosen;
		std::size_t examined = 0;
		for (const auto& place : journal.state().waiting)
		{
			if (chosen.size() >= max_placements_per_iteration || ++examined > max_examined_per_iteration)
				break;
			const auto transient = transient_.find(place.task);
			if (transient == transient_.end() || transient->second.hold_until <= now)
				chosen.push_back(place.task);
		}
		for (const auto& id : chosen)
			(void)try_place(journal, journal.state().tasks.at(id), now);
	}

	bool task_owner::try_place(shard_journal& journal, const task_state& task, instant now)
	{
		const auto id = task.spec.id;
		if (park_if_poison(journal, task))
			return false;
		if (!quota_allows(task))
		{
			hold(id, quota_retry_delay, absl::StrCat("the quota of account ", task.spec.account.str(), " is exhausted"),
				 now);
			return false;
		}
		auto wanted = task.requested_worker;
		if (wanted.empty() && task.run.value == 0)
			wanted = task.spec.adopted_on;
		placement_decision decision;
		if (!wanted.empty())
		{
			const auto* view = workers_.worker_views().find(wanted);
			const auto refusal_reason =
				view == nullptr ? placement_refusal::unreachable : check_worker(*view, task.spec, {}, now);
			const bool adopting = !task.spec.adopted_on.empty() && refusal_reason == placement_refusal::no_capacity;
			if (refusal_reason != placement_refusal::none && !adopting)
			{
				hold(id, no_room_retry_delay,
					 absl::StrCat("an operator chose ", wanted.str(),
								  ", which cannot take the task now: ", std::string{to_string(refusal_reason)}),
					 now);
				return false;
			}
			decision.chosen = scored_worker{
				wanted, score_worker(*view, task.spec, config_.placement, workers_.learned_interference())};
		}
		else
		{
			decision = place(workers_.worker_views(), task.spec, task.failed_on, config_.placement,
							 workers_.learned_interference(), now, random_);
		}
		transient_[id].last_placement = explain(decision);
		if (!decision.chosen)
		{
			park_or_hold(journal, task, decision, now);
			return false;
		}
		const auto* worker = workers_.find(decision.chosen->worker);
		if (worker == nullptr)
			return false;
		// The transient state keeps the runners-up; the journal needs only what a successor needs.
		decision.runners_up.clear();
		auto record = make_record(record_kind::started, task, explain(decision));
		record.run = task.run.next();
		record.worker = decision.chosen->worker;
		record.worker_incarnation = worker->agent_incarnation;
		const auto placed_spec = task.spec;
		const auto status = journal.append(std::move(record),
										   [this, &journal, id](append_outcome outcome)
										   {
											   if (outcome == append_outcome::durable)
												   send_start(journal, id);
										   });
		if (!status.ok())
			return false;
		transient_[id].start_sent_at = now;
		usage_[placed_spec.account] += placed_spec.claim;
		workers_.worker_views().claim(decision.chosen->worker, placed_spec, true);
		starts_counter_.Increment();
		return true;
	}

	void task_owner::park(shard_journal& journal, const task_state& task, const std::string& reason)
	{
		log_event(event::task_parked, {{"task", task.spec.id.str()}, {"reason", reason}});
		(void)journal.append(make_record(record_kind::parked, task, reason));
	}

	bool task_owner::park_if_poison(shard_journal& journal, const task_state& task)
	{
		const auto workers = static_cast<int>(workers_.worker_views().workers().size());
		const auto needed = std::min(health_policy{}.distinct_workers, workers);
		const auto failed_on = static_cast<int>(task.failed_on.size());
		if (failed_on == 0 || failed_on < needed)
			return false;
		park(journal, task, absl::StrCat("failed on ", failed_on, " distinct workers: ", task.reason));
		return true;
	}

	/// Removes the transient state of tasks that are over, and of shards that this entry does not own.
	void task_owner::prune_transient_state()
	{
		absl::erase_if(transient_,
					   [this](const auto& item)
					   {
						   const auto& journal = journal_of(item.first);
						   const auto found = journal.state().tasks.find(item.first);
						   return journal.ownership() != shard_ownership::owned ||
								  found == journal.state().tasks.end() || is_terminal(found->second.phase);
					   });
	}

	void task_owner::park_or_hold(shard_journal& journal, const task_state& task, const placement_decision& decision,
								  instant now)
	{
		const auto all_workers = workers_.worker_views().workers();
		const bool fleet_is_known = !all_workers.empty() && now - journal.owned_since() > park_delay;
		const bool fits_nowhere = std::none_of(all_workers.begin(), all_workers.end(),
											   [&](const worker_view& worker)
											   {
												   const bool data_centre = task.spec.data_centre.empty() ||
																			task.spec.data_centre == worker.data_centre;
												   return data_centre && task.spec.claim.fits_in(worker.capacity);
											   });
		if (fleet_is_known && fits_nowhere)
		{
			park(journal, task, "can never run: no worker is large enough for its claim");
			return;
		}
		const auto id = task.spec.id;
		if (task.spec.priority == urgency::urgent)
			evict_for_urgent(journal, task, now);
		hold(id, no_room_retry_delay, absl::StrCat("no worker can take the task now: ", explain(decision)), now);
	}

	/// Evicts background runs for an urgent task: from the one worker where this makes enough room with the fewest
	/// evictions.
	void task_owner::evict_for_urgent(shard_journal& journal, const task_state& urgent, instant now)
	{
		if (now - last_urgent_eviction_ < make_room_interval)
			return;
		std::vector<task_id> best;
		for (const auto& view : workers_.worker_views().workers())
		{
			auto space = view.available();
			const auto assigned = journal.state().tasks_by_worker.find(view.worker);
			if (!view.reachable || view.leaving || assigned == journal.state().tasks_by_worker.end())
				continue;
			std::vector<task_id> victims;
			for (const auto& id : assigned->second)
			{
				const auto& other = journal.state().tasks.at(id);
				if (urgent.spec.claim.fits_in(space))
					break;
				if (other.spec.priority != urgency::background || other.phase != task_phase::running)
					continue;
				space += other.spec.claim;
				victims.push_back(id);
			}
			if (urgent.spec.claim.fits_in(space) && !victims.empty() && (best.empty() || victims.size() < best.size()))
				best = std::move(victims);
		}
		for (const auto& id : best)
			send_order(journal, journal.state().tasks.at(id), wire::run_order::evict,
					   absl::StrCat("room for urgent task ", urgent.spec.id.str()));
		if (!best.empty())
			last_urgent_eviction_ = now;
	}

	// ------------------------------------------------------------------ protection of services

	void task_owner::protect_services(shard_journal& journal, instant now)
	{
		std::erase_if(service_evictions_, [now](instant evicted_at) { return now - evicted_at > eviction_window; });
		std::vector<worker_id> names;
		for (const auto& [name, tasks] : journal.state().tasks_by_worker)
			names.push_back(name);
		for (const auto& name : names)
		{
			auto* worker = workers_.find(name);
			if (worker == nullptr)
				continue;
			std::vector<harm_candidate> suspects;
			for (const auto& id : journal.state().tasks_by_worker.at(name))
			{
				const auto& task = journal.state().tasks.at(id);
				if (task.phase != task_phase::running || task.spec.replica || task.cancel_requested)
					continue;
				const auto& transient = transient_[id];
				const auto since = std::max(transient.checkpoint_at, transient.start_sent_at);
				suspects.push_back({id, task.spec.kind, transient.throttled, task.spec.expected_ms >= long_running_ms,
									std::chrono::duration_cast<millis>(now - since)});
			}
			const bool may_evict =
				static_cast<std::int64_t>(service_evictions_.size()) < config_.placement.evictions_per_minute;
			const auto step = respond_to_harm(worker->harm, suspects, worker->service, workers_.learned_interference(),
											  config_.placement, may_evict, now);
			if (step.action == harm_action::none)
				continue;
			const auto& task = journal.state().tasks.at(suspects[step.index].task);
			const auto reason = absl::StrCat("service ", worker->service.str(), " is at ", worker->harm.latency_ratio,
											 " of its target");
			if (step.action == harm_action::evict)
			{
				service_evictions_.push_back(now);
				send_order(journal, task, wire::run_order::evict, reason);
			}
			else
			{
				send_order(journal, task,
						   step.action == harm_action::throttle ? wire::run_order::throttle
																: wire::run_order::unthrottle,
						   reason);
			}
		}
	}
}
