// SPDX-License-Identifier: MIT
/// \file
/// \brief Part of control_duty that handles runs: platform status, starts, stops, leases.
#include "control_duty.hpp"

#include <trailjunction/core/event.hpp>
#include <trailjunction/net/coroutines.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace trailjunction
{
	namespace asio = boost::asio;

	namespace
	{
		constexpr auto lease_check_interval = millis{50};
		constexpr auto retry_backoff = millis{150};
		constexpr auto call_timeout = millis{1'000};
	}

	// ------------------------------------------------------------------ platform status

	asio::awaitable<void> control_duty::renew_leases()
	{
		while (true)
		{
			const auto requested_at = boottime_now();
			const auto status = co_await platform_.renew(renewable_runs(table_, requested_at),
														 settings_.times.platform_lease, requested_at + call_timeout);
			if (status.ok())
			{
				last_renewal_ = requested_at;
				apply_status(*status, requested_at);
			}
			co_await pause_for(io_, settings_.times.heartbeat);
		}
	}

	void control_duty::apply_status(const worker_status& status, instant requested_at)
	{
		status_ = status;
		table_.room.foreign_use = status.foreign;
		absl::flat_hash_map<task_id, run_number> listed;
		for (const auto& run : status.runs)
		{
			listed[run.task] = run.run;
			apply_platform_run(run);
		}
		for (auto& [task, run] : table_.runs)
		{
			const bool was_active = run.state == agent_run_state::running || run.state == agent_run_state::paused;
			if (was_active && !listed.contains(task) && run.started_at < requested_at)
				end_run(run, run_end::stopped, "the platform does not know the run any more");
		}
		if (!table_.ready)
			log_event(event::process_ready, {{"runs", active_runs()}});
		table_.ready = true;
		update_leaving();
	}

	void control_duty::apply_platform_run(const platform_run& reported)
	{
		const bool has_ended = reported.state == platform_run_state::finished ||
							   reported.state == platform_run_state::failed ||
							   reported.state == platform_run_state::stopped;
		const auto outcome = reported.state == platform_run_state::finished ? run_end::finished
							 : reported.state == platform_run_state::failed ? run_end::failed
																			: run_end::stopped;
		auto* run = find_run(reported.task, reported.run);
		if (run == nullptr && table_.runs.contains(reported.task))
			return; // an older run of a task that has a newer run on this worker
		if (run == nullptr)
		{
			// The run was started by an earlier process of this agent; it continues only if an owner confirms it.
			agent_run found;
			found.task = reported.task;
			found.run = reported.run;
			found.shard = reported.shard;
			found.kind = reported.kind;
			found.claim = reported.claim;
			found.replica = reported.replica;
			// The throttled share is unknown, so the run counts as paused: the first confirmation restores its full
			// share.
			const bool is_throttled = reported.state == platform_run_state::throttled;
			found.state = is_throttled ? agent_run_state::paused : agent_run_state::running;
			found.unconfirmed = !reported.replica;
			found.lease_end = boottime_now() + settings_.times.platform_lease;
			table_.last_runs[reported.task] = std::max(table_.last_runs[reported.task], reported.run);
			run = &(table_.runs[reported.task] = std::move(found));
			if (!has_ended)
				log_event(event::run_adopted, {{"task", reported.task.str()}, {"run", reported.run.value}});
		}
		if (!reported.checkpoint.empty() && run->state != agent_run_state::ended)
			run->checkpoint = reported.checkpoint;
		if (has_ended && run->state != agent_run_state::ended)
		{
			const bool was_evicted = outcome == run_end::stopped && run->evicting;
			end_run(*run, was_evicted ? run_end::evicted : outcome,
					reported.reason.empty() ? run->reason : reported.reason);
		}
		else if (!has_ended && run->state == agent_run_state::starting)
		{
			run->state = agent_run_state::running;
		}
	}

	// ------------------------------------------------------------------ runs

	agent_run* control_duty::find_run(const task_id& task, run_number run)
	{
		const auto found = table_.runs.find(task);
		return found == table_.runs.end() || found->second.run != run ? nullptr : &found->second;
	}

	void control_duty::end_run(agent_run& run, run_end how, const std::string& reason)
	{
		run.state = agent_run_state::ended;
		run.end_status = how;
		run.reason = reason;
		run.evicting = false;
	}

	asio::awaitable<void> control_duty::start_run(start_order order)
	{
		bool may_have_been_sent = false;
		while (true)
		{
			const auto* pending = find_run(order.task, order.run);
			if (pending == nullptr || pending->state != agent_run_state::starting)
				co_return;
			if (!pending->replica && boottime_now() >= pending->lease_end)
				break;
			const auto result =
				co_await platform_.start(order, settings_.times.platform_lease, boottime_now() + call_timeout);
			auto* run = find_run(order.task, order.run);
			if (run == nullptr || run->state != agent_run_state::starting)
				co_return;
			if (result.delivery == delivery_status::answered && result.response.status == 200)
			{
				run->state = agent_run_state::running;
				run->started_at = boottime_now();
				co_return;
			}
			const bool refused = result.delivery == delivery_status::answered && result.response.status == 409;
			if (refused && !may_have_been_sent)
			{
				end_run(*run, run_end::refused, result.response.body);
				co_return;
			}
			may_have_been_sent = may_have_been_sent || result.delivery != delivery_status::not_sent;
			co_await pause_for(io_, retry_backoff);
		}
		auto* run = find_run(order.task, order.run);
		if (run == nullptr || run->state != agent_run_state::starting)
			co_return;
		if (!may_have_been_sent)
		{
			end_run(*run, run_end::refused, "the platform was not reached");
			co_return;
		}
		run->state = agent_run_state::stopping;
		run->reason = "the start was not answered before its lease was over";
		co_await stop_run(order.task, order.run);
	}

	asio::awaitable<void> control_duty::evict_run(task_id task, run_number number)
	{
		const auto checkpoint = co_await platform_.checkpoint(task, number, boottime_now() + call_timeout);
		auto* run = find_run(task, number);
		if (run == nullptr || run->state != agent_run_state::stopping)
			co_return;
		if (!checkpoint.ok())
		{
			run->state = agent_run_state::running; // the run continues unchanged and the owner repeats the order
			co_return;
		}
		run->checkpoint = *checkpoint;
		run->evicting = true;
		co_await stop_run(task, number);
	}

	asio::awaitable<void> control_duty::stop_run(task_id task, run_number number)
	{
		const auto stop_begun = boottime_now();
		while (true)
		{
			const auto status = co_await platform_.stop(task, number, boottime_now() + call_timeout);
			auto* run = find_run(task, number);
			if (run == nullptr || run->state == agent_run_state::ended)
				co_return;
			// The platform stops a run whose lease has not been renewed for the platform lease time P. A stopping run
			// is still renewed while its own lease is held, so the wait starts at the latest of these times.
			const auto stopped_by_platform_at = std::max({stop_begun, run->lease_end, last_renewal_}) +
												settings_.times.platform_lease + settings_.times.margin;
			if (status.ok() || status.code() == absl::StatusCode::kNotFound || boottime_now() >= stopped_by_platform_at)
			{
				log_event(event::run_stopped, {{"task", task.str()}, {"run", number.value}, {"reason", run->reason}});
				end_run(*run, run->evicting ? run_end::evicted : run_end::stopped, run->reason);
				co_return;
			}
			co_await pause_for(io_, retry_backoff);
		}
	}

	asio::awaitable<void> control_duty::throttle_run(task_id task, run_number run, double share)
	{
		(void)co_await platform_.throttle(std::move(task), run, share, boottime_now() + call_timeout);
	}

	asio::awaitable<void> control_duty::release_run(task_id task, run_number number)
	{
		const auto status = co_await platform_.release(task, number, boottime_now() + call_timeout);
		auto* run = find_run(task, number);
		if (status.ok() && run != nullptr && run->state != agent_run_state::ended)
			end_run(*run, run_end::stopped, "left to the operators' scripts");
	}

	asio::awaitable<void> control_duty::pause_run(task_id task, run_number number)
	{
		while (true)
		{
			const auto status = co_await platform_.throttle(task, number, 0, boottime_now() + call_timeout);
			auto* run = find_run(task, number);
			if (run == nullptr || run->state != agent_run_state::paused)
				co_return;
			run->pause_confirmed = status.ok();
			if (status.ok())
				co_return;
			co_await pause_for(io_, retry_backoff);
		}
	}

	asio::awaitable<void> control_duty::checkpoint_run(task_id task, run_number number)
	{
		const auto checkpoint = co_await platform_.checkpoint(task, number, boottime_now() + call_timeout);
		auto* run = find_run(task, number);
		if (checkpoint.ok() && run != nullptr && run->state == agent_run_state::running)
			run->checkpoint = *checkpoint;
	}

	asio::awaitable<void> control_duty::take_checkpoints()
	{
		while (true)
		{
			co_await pause_for(io_, settings_.checkpoint_every);
			for (const auto& [task, run] : table_.runs)
				if (run.state == agent_run_state::running && !run.replica)
					asio::co_spawn(io_, checkpoint_run(task, run.run), asio::detached);
		}
	}

	asio::awaitable<void> control_duty::watch_leases()
	{
		while (true)
		{
			co_await pause_for(io_, lease_check_interval);
			const auto lapsed = expire_leases(table_, settings_.times, boottime_now());
			for (const auto& task : lapsed.pause)
			{
				paused_.Increment();
				const auto run = table_.runs.at(task).run;
				log_event(event::run_paused, {{"task", task.str()}, {"run", run.value}});
				asio::co_spawn(io_, pause_run(task, run), asio::detached);
			}
			for (const auto& task : lapsed.stop)
				asio::co_spawn(io_, stop_run(task, table_.runs.at(task).run), asio::detached);
		}
	}

	void control_duty::forget_run(const task_id& task, run_number number)
	{
		table_.runs.erase(task);
		ended_tasks_.push_back({boottime_now(), task});
		asio::co_spawn(
			io_,
			[](control_duty& self, task_id ended_task_id, run_number last) -> asio::awaitable<void>
			{
				(void)co_await self.platform_.forget(std::move(ended_task_id), last, boottime_now() + call_timeout);
			}(*this, task, number),
			asio::detached);
	}

	void control_duty::expire_run_numbers(instant now)
	{
		// A start older than the run lease L is ignored because of its age, so the number is not needed after that.
		while (!ended_tasks_.empty() && now - ended_tasks_.front().ended > 2 * settings_.times.run_lease)
		{
			if (!table_.runs.contains(ended_tasks_.front().task))
				table_.last_runs.erase(ended_tasks_.front().task);
			ended_tasks_.pop_front();
		}
	}
}
