// SPDX-License-Identifier: MIT
/// \file
/// \brief The part of command_runner that executes `show`, `why` and `explain drain`.
#include "command_results.hpp"

#include <absl/strings/str_cat.h>

#include <cmath>

namespace trailjunction
{
	namespace asio = boost::asio;

	asio::awaitable<command_result> command_runner::show(command_call call)
	{
		command_result result;
		switch (call.parsed.target)
		{
		case noun::tasks:
			co_return co_await gather_from_entries(std::move(call), task_table());
		case noun::requests:
			co_return co_await gather_from_entries(std::move(call), request_table());
		case noun::shards:
			co_return co_await gather_from_entries(std::move(call), shard_table());
		case noun::workers:
			result.table = worker_table();
			break;
		case noun::services:
			result.table = service_table();
			break;
		case noun::accounts:
			result.table = account_table();
			break;
		case noun::members:
			result.table = members_table();
			break;
		default:
			result.table = {{"version", "document"},
							{{absl::StrCat(config_.current().version.value), config_.document_text()}}};
			break;
		}
		auto selected = select(std::move(result.table), call.parsed);
		if (!selected.ok())
			co_return refuse(selected.status());
		result.table = *std::move(selected);
		co_return result;
	}

	asio::awaitable<command_result> command_runner::why(command_call call)
	{
		if (call.parsed.target == noun::service)
			co_return why_service(call);
		if (call.parsed.target == noun::worker && !call.parsed.negated)
		{
			const auto* worker = workers_.find(worker_id{call.parsed.subject});
			if (worker == nullptr)
				co_return refuse(absl::NotFoundError(absl::StrCat("no worker '", call.parsed.subject, "'")));
			co_return done(absl::StrCat(
				worker->ready ? "ready" : "not ready", workers_.is_leaving(*worker) ? ", leaving" : "",
				", last heartbeat ", std::chrono::duration_cast<millis>(boottime_now() - worker->heartbeat_at).count(),
				" ms ago, configuration ", worker->config.value));
		}
		const task_id id{call.parsed.negated ? *call.parsed.option("for") : call.parsed.subject};
		auto& journal = tasks_.journal_of(id);
		if (journal.ownership() != shard_ownership::owned)
			co_return co_await forward_to_owner(std::move(call), journal.shard());
		const auto found = journal.state().tasks.find(id);
		if (found == journal.state().tasks.end())
			co_return refuse(absl::NotFoundError(absl::StrCat("no task '", id.str(), "'")));
		if (call.parsed.negated)
			co_return why_not_worker(call, found->second);
		co_return done(absl::StrCat("task ", id.str(), " is ", tasks_.explain_task(found->second)));
	}

	command_result command_runner::why_not_worker(const command_call& call, const task_state& task)
	{
		const auto* view = workers_.worker_views().find(worker_id{call.parsed.subject});
		if (view == nullptr)
			return refuse(absl::NotFoundError(absl::StrCat("no worker '", call.parsed.subject, "'")));
		const auto reason = check_worker(*view, task.spec, task.failed_on, boottime_now());
		if (reason != placement_refusal::none)
			return done(absl::StrCat("worker ", view->worker.str(), " is refused: ", std::string{to_string(reason)}));
		placement_decision decision;
		decision.chosen = scored_worker{
			view->worker, score_worker(*view, task.spec, config_.current().placement, workers_.learned_interference())};
		return done(absl::StrCat("worker ", view->worker.str(), " is possible; ", explain(decision)));
	}

	command_result command_runner::why_service(const command_call& call) const
	{
		const service_id service{call.parsed.subject};
		std::string text;
		for (const auto& [pair, learned] : workers_.learned_interference().pairs)
			if (pair.service == service)
				absl::StrAppend(&text, "beside ", pair.kind.str(), ": latency multiplied by ",
								std::exp(learned.slowdown), " (", learned.weight, " measurements)\n");
		const auto table = service_table();
		for (const auto& row : table.rows)
			if (row.front() == service.str())
				absl::StrAppend(&text, "workers ", row[1], ", worst p99 ", row[3], " us, target ", row[4], " ms\n");
		if (text.empty())
			return refuse(absl::NotFoundError(absl::StrCat("no data about service '", service.str(), "'")));
		return done(text);
	}

	command_result command_runner::explain_drain(const command_call& call) const
	{
		const worker_id worker{call.parsed.subject};
		std::size_t run_count = 0;
		for (const auto& journal : tasks_.journals())
			if (const auto assigned = journal->state().tasks_by_worker.find(worker);
				assigned != journal->state().tasks_by_worker.end())
				run_count += assigned->second.size();
		return done(
			absl::StrCat("would move ", run_count, " runs of this entry's shards away from worker ", worker.str()));
	}
}
