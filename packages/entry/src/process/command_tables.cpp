// SPDX-License-Identifier: MIT
/// \file
/// \brief The part of command_runner that builds the tables of `show`.
#include "command_runner.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>

namespace trailjunction
{
	namespace
	{
		std::string yes_no(bool value)
		{
			return value ? "yes" : "no";
		}

		std::string to_text(shard_ownership ownership)
		{
			return ownership == shard_ownership::owned     ? "owned"
				   : ownership == shard_ownership::loading ? "loading"
														   : "other";
		}

		std::int64_t millis_since(instant then)
		{
			return std::chrono::duration_cast<millis>(boottime_now() - then).count();
		}
	}

	result_table command_runner::task_table() const
	{
		result_table table{{"task", "account", "kind", "phase", "worker", "run", "checkpoint", "urgency", "repeatable",
							"failures", "evictions", "reason"},
						   {}};
		for (const auto& journal : tasks_.journals())
		{
			if (journal->ownership() != shard_ownership::owned)
				continue;
			for (const auto& [id, task] : journal->state().tasks)
				table.rows.push_back(
					{id.str(), task.spec.account.str(), task.spec.kind.str(), std::string{to_string(task.phase)},
					 holds_worker(task.phase) ? task.worker.str() : "", absl::StrCat(task.run.value),
					 task.checkpoint.str(), std::string{to_string(task.spec.priority)}, yes_no(task.spec.repeatable),
					 absl::StrCat(task.failures), absl::StrCat(task.evictions), task.reason});
		}
		return table;
	}

	result_table command_runner::worker_table() const
	{
		result_table table{{"worker", "data_centre", "rack", "service", "ready", "leaving", "quarantined", "cpu",
							"cpu_free", "memory", "memory_free", "heard_ms", "config"},
						   {}};
		for (const auto& [name, worker] : workers_.workers())
		{
			const auto* view = workers_.worker_views().find(name);
			const auto capacity = view == nullptr ? resources{} : view->capacity;
			const auto space = view == nullptr ? resources{} : view->available();
			table.rows.push_back({name.str(), worker.place.data_centre.str(), worker.place.rack.str(),
								  worker.service.str(), yes_no(worker.ready), yes_no(workers_.is_leaving(worker)),
								  yes_no(worker.health.quarantined_until > boottime_now()),
								  absl::StrCat(capacity.cpu_milli), absl::StrCat(space.cpu_milli),
								  absl::StrCat(capacity.memory_mib), absl::StrCat(space.memory_mib),
								  absl::StrCat(millis_since(worker.heartbeat_at)), absl::StrCat(worker.config.value)});
		}
		std::sort(table.rows.begin(), table.rows.end());
		return table;
	}

	result_table command_runner::service_table() const
	{
		struct service_line
		{
			std::int64_t workers{};
			std::int64_t requests{};
			std::int64_t worst_us{};
		};
		std::map<service_id, service_line> lines;
		for (const auto& [name, worker] : workers_.workers())
		{
			if (worker.service.empty())
				continue;
			auto& line = lines[worker.service];
			++line.workers;
			line.requests += worker.requests;
			line.worst_us = std::max(line.worst_us, worker.p99_us);
		}
		result_table table{{"service", "workers", "requests", "worst_p99_us", "target_ms"}, {}};
		for (const auto& [service, line] : lines)
		{
			const auto target = config_.current().services.find(service);
			table.rows.push_back(
				{service.str(), absl::StrCat(line.workers), absl::StrCat(line.requests), absl::StrCat(line.worst_us),
				 target == config_.current().services.end() ? "" : absl::StrCat(target->second.target.count())});
		}
		return table;
	}

	result_table command_runner::request_table() const
	{
		result_table table{{"request", "entry", "service", "worker", "outcome", "status", "tries", "took_us", "reason"},
						   {}};
		for (const auto& request : completed_requests_)
			table.rows.push_back({request.id, settings_.member.str(), request.service.str(), request.worker.str(),
								  request.outcome, absl::StrCat(request.status), absl::StrCat(request.tries),
								  absl::StrCat(request.duration_us), request.reason});
		return table;
	}

	result_table command_runner::account_table() const
	{
		result_table table{
			{"account", "cpu", "memory", "accelerators", "cpu_quota", "memory_quota", "accelerator_quota"}, {}};
		std::map<account_id, resources> used;
		for (const auto& [account, amounts] : tasks_.usage())
			used[account] += amounts;
		for (const auto& [account, declared] : config_.current().accounts)
			used.try_emplace(account);
		for (auto& [account, amounts] : used)
		{
			const auto total = amounts + members_.used_elsewhere(account);
			const auto declared = config_.current().accounts.find(account);
			const bool limited = declared != config_.current().accounts.end();
			const auto quota = limited ? declared->second.quota : resources{};
			const auto quota_cell = [&](std::int64_t amount)
			{
				return limited ? absl::StrCat(amount) : std::string{};
			};
			table.rows.push_back({account.str(), absl::StrCat(total.cpu_milli), absl::StrCat(total.memory_mib),
								  absl::StrCat(total.accelerators), quota_cell(quota.cpu_milli),
								  quota_cell(quota.memory_mib), quota_cell(quota.accelerators)});
		}
		return table;
	}

	result_table command_runner::members_table() const
	{
		result_table table{{"member", "address", "live", "unchanged_ms"}, {}};
		const auto live = members_.live(boottime_now());
		for (const auto& [member, observed] : members_.members())
			table.rows.push_back({member.str(), observed.address,
								  yes_no(std::find(live.begin(), live.end(), member) != live.end()),
								  absl::StrCat(millis_since(observed.first_seen_at))});
		std::sort(table.rows.begin(), table.rows.end());
		return table;
	}

	result_table command_runner::shard_table() const
	{
		result_table table{{"shard", "entry", "standing", "epoch", "batches", "tasks", "waiting"}, {}};
		for (const auto& journal : tasks_.journals())
			if (journal->ownership() != shard_ownership::not_owned)
				table.rows.push_back(
					{absl::StrCat(journal->shard().value), settings_.member.str(), to_text(journal->ownership()),
					 absl::StrCat(journal->current_epoch().value), absl::StrCat(journal->state().last_applied.value),
					 absl::StrCat(journal->state().tasks.size()), absl::StrCat(journal->state().waiting.size())});
		return table;
	}
}
