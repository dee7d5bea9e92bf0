// SPDX-License-Identifier: MIT
#include "task_owner.hpp"

#include "task_messages.hpp"

#include <trailjunction/core/event.hpp>
#include <trailjunction/core/random.hpp>
#include <trailjunction/net/coroutines.hpp>

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace trailjunction
{
	namespace asio = boost::asio;

	namespace
	{
		constexpr auto shard_interval = millis{150};
		constexpr std::size_t max_tasks_for_needs = 5'000; ///< Waiting tasks counted for each shard.
		constexpr auto resend_timeout = millis{1'000};

		/// A coroutine that waits for a record to become durable.
		struct commit_waiter
		{
			explicit commit_waiter(asio::io_context& io) : timer{io} {}
			asio::steady_timer timer;
			std::optional<append_outcome> outcome;
		};

		asio::awaitable<absl::Status> wait_until_done(std::shared_ptr<commit_waiter> waiter, instant deadline)
		{
			if (!waiter->outcome)
			{
				waiter->timer.expires_at(to_steady_time(deadline));
				(void)co_await waiter->timer.async_wait(as_result);
			}
			if (waiter->outcome == append_outcome::durable)
				co_return absl::OkStatus();
			co_return absl::UnknownError("outcome unknown: it may or may not be accepted; retry with the same id");
		}

		shard_journal::completion complete_waiter(const std::shared_ptr<commit_waiter>& waiter)
		{
			return [waiter](append_outcome outcome)
			{
				waiter->outcome = outcome;
				waiter->timer.cancel();
			};
		}
	}

	task_owner::task_owner(asio::io_context& io, const entry_settings& settings, platform_client& platform,
						   member_keeper& members, worker_directory& workers, process_metrics& metrics)
		: io_{io},
		  settings_{settings},
		  platform_{platform},
		  members_{members},
		  workers_{workers},
		  random_{random_u64()},
		  started_at_{boottime_now()},
		  starts_counter_{metrics.counter("starts", "Runs given to workers")},
		  ends_counter_{metrics.counter("run_ends", "Runs that have ended")},
		  fences_counter_{metrics.counter("fences", "Runs fenced since their worker was out of sight")},
		  evictions_counter_{metrics.counter("evictions", "Runs moved")},
		  waiting_gauge_{metrics.gauge("tasks_waiting", "Tasks that wait")},
		  owned_gauge_{metrics.gauge("shards_owned", "Shards that this entry owns")}
	{
		budget_.per_second = static_cast<double>(settings.writes_per_second);
		for (std::int64_t i = 0; i < settings.shards; ++i)
			journals_.push_back(std::make_unique<shard_journal>(io, settings, platform, budget_,
																shard_id{static_cast<std::uint64_t>(i)}));
	}

	void task_owner::start()
	{
		members_.on_lapse([this] { step_down(); });
		asio::co_spawn(io_, maintain_shards(), asio::detached);
		asio::co_spawn(io_, schedule(), asio::detached);
	}

	shard_journal& task_owner::journal_of(const task_id& task)
	{
		return *journals_[shard_of(task, journals_.size()).value];
	}

	std::size_t task_owner::owned_shards() const noexcept
	{
		return static_cast<std::size_t>(std::count_if(journals_.begin(), journals_.end(),
													  [](const auto& journal)
													  { return journal->ownership() == shard_ownership::owned; }));
	}

	account_needs task_owner::needs() const
	{
		account_needs needs;
		for (const auto& [account, used] : usage())
			needs[account] = {used, used, {}};
		for (const auto& journal : journals_)
		{
			if (journal->ownership() != shard_ownership::owned)
				continue;
			std::size_t examined = 0;
			for (const auto& place : journal->state().waiting)
			{
				if (++examined > max_tasks_for_needs)
					break;
				const auto& spec = journal->state().tasks.at(place.task).spec;
				auto& need = needs[spec.account];
				need.demand += spec.claim;
				if (need.smallest_claim == resources{} || spec.claim.fits_in(need.smallest_claim))
					need.smallest_claim = spec.claim;
			}
		}
		return needs;
	}

	account_amounts task_owner::usage() const
	{
		account_amounts total;
		for (const auto& journal : journals_)
			if (journal->ownership() == shard_ownership::owned)
				for (const auto& [account, used] : journal->state().account_usage)
					total[account] += used;
		return total;
	}

	// ------------------------------------------------------------------ shards

	asio::awaitable<void> task_owner::maintain_shards()
	{
		while (true)
		{
			const auto now = boottime_now();
			const auto live = members_.live(now);
			for (const auto& journal : journals_)
			{
				const auto preferred = preferred_owner(journal->shard(), live);
				const bool is_preferred = preferred == settings_.member && members_.may_own(now) && !stopping_;
				if (is_preferred && journal->ownership() == shard_ownership::not_owned)
					asio::co_spawn(io_, take_over_shard(*journal), asio::detached);
				else if (!is_preferred && preferred != settings_.member && !preferred.empty() &&
						 journal->ownership() == shard_ownership::owned)
					asio::co_spawn(io_, journal->hand_over(), asio::detached);
			}
			owned_gauge_.Set(static_cast<double>(owned_shards()));
			co_await pause_for(io_, shard_interval);
		}
	}

	asio::awaitable<void> task_owner::take_over_shard(shard_journal& journal)
	{
		const auto may_take = [this](const member_id& owner)
		{
			const auto now = boottime_now();
			if (owner.empty())
				return true;
			const auto max_lease = settings_.times.member_lease + settings_.times.margin;
			// Leases that an earlier incarnation of this entry granted may still be valid, so their expiry is awaited
			// as for any other owner.
			if (owner == settings_.member)
				return now - started_at_ > max_lease;
			const auto owner_row = members_.members().find(owner);
			if (owner_row == members_.members().end())
				return now - started_at_ > max_lease;
			// This includes a member that is leaving: until it has handed the shard over, leases that it granted may
			// still be in transit.
			return lease_expired(owner_row->second, settings_.times, now);
		};
		const auto lapses = members_.lapses();
		const bool taken = co_await journal.take_over(may_take);
		if (!taken)
			co_return;
		if (lapses == members_.lapses() && members_.may_own(boottime_now()))
			after_takeover(journal);
		else
			journal.abandon("the member lease lapsed during the takeover");
	}

	/// Gives up all shards after the member lease has lapsed, because another entry may own them by now. They are
	/// acquired again under a new epoch.
	void task_owner::step_down()
	{
		for (const auto& journal : journals_)
			journal->abandon("the member lease had lapsed");
	}

	void task_owner::after_takeover(shard_journal& journal)
	{
		// The wait of a fence that the previous owner set starts again at the takeover.
		for (const auto& [id, task] : journal.state().tasks)
		{
			auto& transient = transient_[id];
			transient = {};
			transient.start_sent_at = journal.owned_since();
			if (task.phase != task_phase::fenced)
				continue;
			transient.fence_durable = true;
			transient.fence_until = journal.owned_since() + settings_.times.fence_wait();
		}
		log_event(event::shard_recovered, {{"shard", journal.shard().value}, {"tasks", journal.state().tasks.size()}});
	}

	asio::awaitable<void> task_owner::hand_over()
	{
		stopping_ = true;
		for (const auto& journal : journals_)
			co_await journal->hand_over();
	}

	asio::awaitable<absl::Status> task_owner::commit(journal_record record, instant deadline)
	{
		auto& journal = journal_of(record.task);
		if (journal.is_store_unavailable(boottime_now()))
			co_return absl::UnavailableError("not accepted: the store is unavailable");
		const auto waiter = std::make_shared<commit_waiter>(io_);
		const auto status = journal.append(std::move(record), complete_waiter(waiter));
		if (!status.ok())
			co_return status;
		co_return co_await wait_until_done(waiter, deadline);
	}

	asio::awaitable<absl::Status> task_owner::wait_until_durable(task_id task, instant deadline)
	{
		const auto waiter = std::make_shared<commit_waiter>(io_);
		journal_of(task).when_durable(complete_waiter(waiter));
		co_return co_await wait_until_done(waiter, deadline);
	}

	// ------------------------------------------------------------------ heartbeats

	void task_owner::handle_heartbeat(known_worker& worker, const wire::heartbeat& beat)
	{
		// The check has to be after the receipt of the heartbeat's stamp and before the lease is sent; see
		// docs/design/tasks.md.
		const bool may_confirm = members_.may_own(boottime_now());
		wire::envelope message;
		message.__isset.lease = true;
		message.lease.stamp_ms = beat.stamp_ms;
		message.lease.incarnation = beat.incarnation;
		message.lease.config_version = static_cast<std::int64_t>(config_.version.value);
		for (const auto& report : beat.runs)
			answer_report(worker, report, message.lease);
		if (!may_confirm)
		{
			message.lease.runs.clear();
			message.lease.acknowledged.clear();
		}
		if (!message.lease.runs.empty() || !message.lease.acknowledged.empty())
			(void)workers_.send(worker.place.worker, message);
		if (beat.ready && may_confirm)
			handle_missing_runs(worker, beat);
		workers_.refresh_view(worker, unreported_claims(worker, beat));
	}

	void task_owner::answer_report(known_worker& worker, const wire::run_report& report, wire::grant& grant)
	{
		const auto reported = to_reported_run(report);
		auto& journal = journal_of(reported.task);
		if (journal.ownership() != shard_ownership::owned || journal.has_pending_record(reported.task))
			return;
		const auto found = journal.state().tasks.find(reported.task);
		const auto* task = found == journal.state().tasks.end() ? nullptr : &found->second;
		const auto decision = decide_run_report(task, reported, worker.place.worker, worker.agent_incarnation);
		switch (decision.action)
		{
		case run_report_action::confirm:
			grant.runs.push_back(confirmed(reported, journal));
			if (decision.record && decision.record->checkpoint != task->checkpoint)
				transient_[reported.task].checkpoint_at = boottime_now();
			transient_[reported.task].throttled = reported.throttled;
			send_wanted_order(worker, journal, *task);
			if (decision.record)
				(void)journal.append(*decision.record);
			break;
		case run_report_action::write:
			append_report_record(journal, worker, *decision.record);
			break;
		case run_report_action::stop:
			(void)workers_.send(worker.place.worker, stop_message(reported, journal));
			break;
		case run_report_action::acknowledge:
			grant.acknowledged.push_back(confirmed(reported, journal));
			break;
		case run_report_action::ignore:
			break;
		}
	}

	void task_owner::append_report_record(shard_journal& journal, known_worker& worker, journal_record record)
	{
		const auto task = journal.state().tasks.at(record.task);
		const auto kind = record.kind;
		const auto run_result = record.end_status;
		if (!journal.append(std::move(record)).ok())
			return;
		if (kind == record_kind::confirmed)
		{
			transient_[task.spec.id].fence_durable = false;
			return;
		}
		handle_run_end(worker, task, run_result);
	}

	void task_owner::handle_run_end(known_worker& worker, const task_state& task, run_end run_result)
	{
		ends_counter_.Increment();
		const auto now = boottime_now();
		auto& transient = transient_[task.spec.id];
		transient.order_sent_at = {};
		transient.throttled = false;
		const bool failed = run_result == run_end::failed;
		if (failed)
			hold(task.spec.id, retry_backoff(task.failures + 1), "backoff after a failure", now);
		if (run_result == run_end::refused)
			hold(task.spec.id, resend_timeout / 4, "the worker refused the run", now);
		if (run_result == run_end::evicted)
			evictions_counter_.Increment();
		if (!failed && run_result != run_end::finished)
			return;
		const bool failed_elsewhere = std::any_of(task.failed_on.begin(), task.failed_on.end(),
												  [&](const worker_id& other) { return other != worker.place.worker; });
		if (record_run_end(worker.health, task.spec.id, failed, failed_elsewhere, health_policy{}, now))
			log_event(event::worker_quarantined, {{"worker", worker.place.worker.str()}});
	}

	void task_owner::send_wanted_order(const known_worker& worker, const shard_journal& journal, const task_state& task)
	{
		if (task.hand_over_requested)
			send_order(journal, task, wire::run_order::release, "left to the operators' scripts");
		else if (task.cancel_requested)
			send_order(journal, task, wire::run_order::stop, "cancelled");
		else if (workers_.is_leaving(worker))
			send_order(journal, task, wire::run_order::evict, "the worker is leaving");
	}

	void task_owner::handle_missing_runs(known_worker& worker, const wire::heartbeat& beat)
	{
		absl::flat_hash_set<task_id> reported;
		for (const auto& report : beat.runs)
			reported.insert(task_id{report.task});
		const auto now = boottime_now();
		for (const auto& journal : journals_)
		{
			if (journal->ownership() != shard_ownership::owned)
				continue;
			const auto assigned = journal->state().tasks_by_worker.find(worker.place.worker);
			if (assigned == journal->state().tasks_by_worker.end())
				continue;
			const std::vector<task_id> tasks{assigned->second.begin(), assigned->second.end()};
			for (const auto& id : tasks)
			{
				const auto& task = journal->state().tasks.at(id);
				if (reported.contains(id) || task.phase != task_phase::running || journal->has_pending_record(id))
					continue;
				const auto action = decide_missing_run(task, worker.agent_incarnation, transient_[id].start_sent_at,
													   resend_timeout, now);
				if (action == missing_run_action::resend_start)
					send_start(*journal, id);
				else if (action == missing_run_action::fence)
					fence_run(*journal, task, "its agent was restarted and does not have it");
			}
		}
	}

	resources task_owner::unreported_claims(const known_worker& worker, const wire::heartbeat& beat)
	{
		absl::flat_hash_set<task_id> reported;
		for (const auto& report : beat.runs)
			reported.insert(task_id{report.task});
		resources total;
		for (const auto& journal : journals_)
		{
			if (journal->ownership() != shard_ownership::owned)
				continue;
			const auto assigned = journal->state().tasks_by_worker.find(worker.place.worker);
			if (assigned == journal->state().tasks_by_worker.end())
				continue;
			for (const auto& id : assigned->second)
				if (!reported.contains(id))
					total += journal->state().tasks.at(id).spec.claim;
		}
		return total;
	}

	// ------------------------------------------------------------------ messages to agents

	void task_owner::send_start(const shard_journal& journal, const task_id& id)
	{
		const auto found = journal.state().tasks.find(id);
		if (journal.ownership() != shard_ownership::owned || found == journal.state().tasks.end() ||
			found->second.phase != task_phase::running || !members_.may_own(boottime_now()))
			return;
		const auto* worker = workers_.find(found->second.worker);
		transient_[id].start_sent_at = boottime_now();
		// The stamp was made by the agent's clock, so it is valid only for the incarnation that the run was given to.
		if (worker == nullptr || worker->agent_incarnation != found->second.worker_incarnation)
			return;
		(void)workers_.send(found->second.worker, start_message(found->second, journal, worker->stamp_ms));
	}

	void task_owner::send_order(const shard_journal& journal, const task_state& task, wire::run_order order_kind,
								const std::string& reason)
	{
		transient_[task.spec.id].order_sent_at = boottime_now();
		(void)workers_.send(task.worker, order_message(task, journal, order_kind, reason));
	}

	void task_owner::hold(const task_id& task, millis time, std::string reason, instant now)
	{
		auto& transient = transient_[task];
		transient.hold_until = now + time;
		transient.hold_reason = std::move(reason);
	}

	std::string task_owner::explain_task(const task_state& task) const
	{
		std::string text = absl::StrCat(std::string{to_string(task.phase)});
		if (holds_worker(task.phase))
			absl::StrAppend(&text, " on ", task.worker.str(), " as run ", task.run.value);
		if (!task.reason.empty())
			absl::StrAppend(&text, "; ", task.reason);
		const auto found = transient_.find(task.spec.id);
		if (found == transient_.end())
			return text;
		const auto& transient = found->second;
		if (task.phase == task_phase::waiting && !transient.hold_reason.empty())
			absl::StrAppend(&text, "; held: ", transient.hold_reason);
		if (!transient.last_placement.empty())
			absl::StrAppend(&text, "; last placement: ", transient.last_placement);
		return text;
	}
}
