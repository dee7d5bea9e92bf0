// SPDX-License-Identifier: MIT
#include <trailjunction/decide/process/run_table.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace trailjunction
{
	namespace
	{
		bool is_active(const agent_run& run)
		{
			return run.state != agent_run_state::ended;
		}

		/// Time between the expiry of the lease and the stop. A run whose pause is not confirmed is stopped after P/2,
		/// so that the stop completes before P expires.
		millis stop_delay(const agent_run& run, const protocol_times& times)
		{
			return run.pause_confirmed ? times.paused_hold : times.platform_lease / 2;
		}
	}

	resources worker_room::usable() const noexcept
	{
		const resources taken{std::max(reserved.cpu_milli, foreign_use.cpu_milli),
							  std::max(reserved.memory_mib, foreign_use.memory_mib),
							  std::max(reserved.accelerators, foreign_use.accelerators)};
		return capacity - taken;
	}

	resources claimed(const run_table& table) noexcept
	{
		resources sum;
		for (const auto& [task, run] : table.runs)
			if (is_active(run))
				sum += run.claim;
		return sum;
	}

	bool accept_epoch(run_table& table, shard_id shard, epoch owner_epoch)
	{
		auto& highest = table.epochs[shard];
		if (owner_epoch < highest)
			return false;
		highest = owner_epoch;
		return true;
	}

	start_decision accept_start(run_table& table, const start_order& order, const protocol_times& times, instant now)
	{
		if (!table.ready)
			return {start_result::ignored, "the agent does not know yet what runs on the worker"};
		if (order.agent_incarnation != table.agent_incarnation)
			return {start_result::ignored, "the start is for another life of the agent"};
		if (now - order.stamp >= times.run_lease)
			return {start_result::ignored, "the start is too old"};
		if (!accept_epoch(table, order.shard, order.owner_epoch))
			return {start_result::ignored, "the start is from an earlier owner"};
		const auto found = table.runs.find(order.task);
		if (found != table.runs.end() && found->second.run == order.run)
			return {start_result::duplicate, ""};
		if (found != table.runs.end() && is_active(found->second))
			return {start_result::ignored,
					absl::StrCat("run ", found->second.run.value, " of the task is on the worker")};
		if (auto& last = table.last_runs[order.task]; order.run <= last)
			return {start_result::ignored, absl::StrCat("run ", last.value, " of the task was seen before")};
		agent_run run;
		run.task = order.task;
		run.run = order.run;
		run.shard = order.shard;
		run.kind = order.kind;
		run.claim = order.claim;
		run.replica = order.replica;
		run.checkpoint = order.checkpoint;
		run.lease_end = order.stamp + times.run_lease;
		if (table.leaving)
			run.reason = "the worker is leaving";
		else if (!order.adopt && !order.claim.fits_in(table.room.usable() - claimed(table)))
			run.reason = "the claim does not fit";
		start_decision decision{start_result::accepted, run.reason};
		if (!run.reason.empty())
		{
			run.state = agent_run_state::ended;
			run.end_status = run_end::refused;
			decision.result = start_result::refused;
		}
		table.last_runs[order.task] = order.run;
		table.runs[order.task] = std::move(run);
		return decision;
	}

	grant_result apply_grant(run_table& table, const run_grant& grant, const protocol_times& times, instant now)
	{
		if (grant.agent_incarnation != table.agent_incarnation)
			return grant_result::other_incarnation;
		if (!accept_epoch(table, grant.shard, grant.owner_epoch))
			return grant_result::stale_epoch;
		const auto found = table.runs.find(grant.task);
		if (found == table.runs.end() || found->second.run != grant.run || !is_active(found->second))
			return grant_result::unknown_run;
		auto& run = found->second;
		const auto lease_end = grant.stamp + times.run_lease;
		if (lease_end <= now)
			return grant_result::expired;
		run.lease_end = std::max(run.lease_end, lease_end);
		run.unconfirmed = false;
		if (run.state != agent_run_state::paused)
			return grant_result::renewed;
		run.state = agent_run_state::running;
		run.pause_confirmed = false;
		return grant_result::resumed;
	}

	bool accept_acknowledgement(run_table& table, const run_grant& acknowledged)
	{
		if (acknowledged.agent_incarnation != table.agent_incarnation ||
			!accept_epoch(table, acknowledged.shard, acknowledged.owner_epoch))
			return false;
		const auto found = table.runs.find(acknowledged.task);
		return found != table.runs.end() && found->second.run == acknowledged.run && !is_active(found->second);
	}

	expired_leases expire_leases(run_table& table, const protocol_times& times, instant now)
	{
		expired_leases due;
		for (auto& [task, run] : table.runs)
		{
			if (run.replica || !is_active(run) || now < run.lease_end)
				continue;
			if (run.state == agent_run_state::running)
			{
				run.state = agent_run_state::paused;
				run.paused_at = now;
				run.pause_confirmed = false;
				due.pause.push_back(task);
			}
			if (run.state != agent_run_state::stopping && now >= run.lease_end + stop_delay(run, times))
			{
				run.state = agent_run_state::stopping;
				run.reason = "no owner confirmed the run";
				due.stop.push_back(task);
			}
		}
		return due;
	}

	std::vector<task_id> renewable_runs(const run_table& table, instant now)
	{
		std::vector<task_id> tasks;
		for (const auto& [task, run] : table.runs)
		{
			const bool paused = run.state == agent_run_state::paused && run.pause_confirmed;
			const bool renewable = run.replica || paused || (now < run.lease_end && !run.unconfirmed);
			if (renewable && is_active(run))
				tasks.push_back(task);
		}
		return tasks;
	}
}
