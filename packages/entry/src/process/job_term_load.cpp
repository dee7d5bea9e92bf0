// SPDX-License-Identifier: MIT
/// \file
/// \brief The part of job_term that monitors the load of the owner and hands the ownership over if it cannot keep up.
#include "job_term.hpp"

#include <trailjunction/core/event.hpp>
#include <trailjunction/net/coroutines.hpp>

#include <algorithm>

namespace trailjunction
{
	namespace asio = boost::asio;

	namespace
	{
		constexpr auto load_log_interval = millis{2'000};
		constexpr auto lag_probe_interval = millis{100};
		constexpr handover_policy default_handover{};
		/// Maximum age of the knowledge of cancellations at which runs may be started. A run that is ordered now may
		/// begin 1.5 s later, and no run may begin 5 s after its job was cancelled.
		constexpr auto max_cancellations_age = millis{3'000};
		/// Maximum age of the latest commit at which the store counts as answering. The row is renewed more often than
		/// this.
		constexpr auto max_commit_age = millis{1'000};
		/// Maximum time without a report of an agent: a link that has gone silent is closed and dialled again within
		/// it.
		constexpr auto max_agent_silence = millis{4'000};
	}

	bool job_term::has_recent_submissions(millis max_age, instant now) const noexcept
	{
		return now - submissions_known_at_ <= max_age;
	}

	bool job_term::has_stale_input(instant now) const noexcept
	{
		return !has_recent_submissions(max_cancellations_age, now) ||
			   !evacuations_are_current(evacuations_.current(), max_evacuation_age(), now);
	}

	millis job_term::evacuations_age(instant now) const noexcept
	{
		return std::chrono::duration_cast<millis>(now - evacuations_.current().current_at.value_or(began_at_));
	}

	void job_term::log_stale_input(instant now)
	{
		const bool is_stale = has_stale_input(now);
		if (is_stale && !logged_stale_input_)
			log_event(event::owner_behind,
					  {{"feed_age_ms", std::chrono::duration_cast<millis>(now - submissions_known_at_).count()},
					   {"evacuations_age_ms", evacuations_age(now).count()}});
		logged_stale_input_ = is_stale;
	}

	asio::awaitable<void> job_term::monitor_load()
	{
		auto logged_at = boottime_now();
		while (!over_)
		{
			const auto due = boottime_now() + lag_probe_interval;
			co_await pause_for(io_, lag_probe_interval);
			const auto now = boottime_now();
			const std::chrono::nanoseconds lag = now - due;
			meter_.load.longest_lag = std::max(meter_.load.longest_lag, lag);
			hand_over_if_behind(lag, now);
			report_idle_if_due(now);
			if (now - logged_at < load_log_interval)
				continue;
			logged_at = now;
			log_load(now);
		}
	}

	bool job_term::is_cut_off_from_agents(instant now) const noexcept
	{
		std::size_t known = 0;
		std::size_t reporting = 0;
		for (const auto& [name, peer] : peers_)
		{
			const auto heard_at = peer->heard_at();
			known += heard_at ? 1 : 0;
			reporting += heard_at && now - *heard_at <= max_agent_silence ? 1 : 0;
		}
		// An agent that was never heard may be gone for good; if none was heard, this instance may be the one cut off.
		return !peers_.empty() && 2 * reporting < std::max<std::size_t>(known, 1);
	}

	void job_term::hand_over_if_behind(std::chrono::nanoseconds lag, instant now)
	{
		note_lag(loop_lag_, lag, default_handover, now);
		// If the store answers nothing at all, another owner would not receive submissions or requests either.
		const bool store_answers = now - committed_at_ <= max_commit_age;
		note_behind(feed_lag_, store_answers && has_stale_input(now), now);
		// An owner that is cut off from other instances would keep the row while the leases of their workers expire.
		note_behind(agent_lag_, store_answers && is_cut_off_from_agents(now), now);
		const auto last_handover_ms = owned_.row.handed_on_ms;
		const auto since_last_handover =
			last_handover_ms > 0 ? std::optional{millis{store_now_ms(now) - last_handover_ms}} : std::nullopt;
		const auto is_due = [&](const owner_lag& lag_of_input)
		{
			return should_hand_over(lag_of_input, since_last_handover, default_handover, now);
		};
		if (over_ || releasing_ || !(is_due(loop_lag_) || is_due(feed_lag_) || is_due(agent_lag_)))
			return;
		log_event(event::owner_handed_on,
				  {{"epoch", owned_.row.epoch},
				   {"lag_ms", std::chrono::duration_cast<millis>(lag).count()},
				   {"feed_age_ms", std::chrono::duration_cast<millis>(now - submissions_known_at_).count()},
				   {"evacuations_age_ms", evacuations_age(now).count()},
				   {"cut_off", is_cut_off_from_agents(now) ? 1 : 0}});
		owned_.row.handed_on_ms = store_now_ms(now);
		handed_over_ = true;
		release();
	}

	void job_term::log_load(instant now)
	{
		const auto load = meter_.finish_interval(now);
		const auto ms = [](std::chrono::nanoseconds time)
		{
			return std::chrono::duration_cast<millis>(time).count();
		};
		const auto busy = [&](owner_duty duty)
		{
			return ms(load.busy[static_cast<std::size_t>(duty)]);
		};
		log_event(event::owner_load, {{"time_spent_ms", ms(load.interval)},
									  {"busy_percent", static_cast<std::int64_t>(busy_share(load) * 100.0)},
									  {"reports_ms", busy(owner_duty::reports)},
									  {"placing_ms", busy(owner_duty::placing)},
									  {"saving_ms", busy(owner_duty::saving)},
									  {"acting_ms", busy(owner_duty::acting)},
									  {"reading_ms", busy(owner_duty::reading)},
									  {"idle_search_ms", busy(owner_duty::idle_search)},
									  {"longest_lag_ms", ms(load.longest_lag)},
									  {"reports", load.reports},
									  {"ordered", load.ordered},
									  {"ended", load.ended},
									  {"commits", load.commits},
									  {"jobs", table_.jobs.size()},
									  {"tasks_waiting", waiting_count_},
									  {"feed_age_ms", ms(now - submissions_known_at_)},
									  {"evacuated", evacuations_.current().active.size()},
									  {"runs_to_be_left", runs_to_evacuate()}});
	}
}
