// SPDX-License-Identifier: MIT
/// \file
/// \brief The part of job_term that keeps the lease when the store rejects a transaction for good.
#include "job_term.hpp"

#include "../upkeep/upkeep_controller.hpp"

#include <trailjunction/core/event.hpp>
#include <trailjunction/jobs/job_tables.hpp>

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

namespace trailjunction
{
	void job_term::isolate_rejected(batch& rejected, std::string_view reason)
	{
		const auto changes = rejected.changes();
		if (!rejected.is_reduced) // the owner row alone is repeated until the store accepts it
			log_event(event::row_rejected,
					  {{"reason", reason},
					   {"changes", changes},
					   {"bytes", encoded_size(rejected.change)},
					   {"within_limits", check_limits(rejected.change, settings_.store_limits).ToString()}});
		metrics_.counter("job_commits_rejected", "Transactions of the owner that the store rejected for good.")
			.Increment();
		if (rejected.suspect)
			restore_changes(*rejected.suspect); // the store also rejects the owner row without the change
		else if (changes > 1 || rejected.has_statistics)
			restore_changes(rejected);
		max_changes_ = std::max<std::size_t>(1, changes / 2);
		const bool is_isolated = changes == 1 && !rejected.has_statistics;
		auto reduced = make_reduced_batch();
		reduced.sent = rejected.sent;
		reduced.suspect = is_isolated ? std::make_shared<const batch>(std::move(rejected)) : nullptr;
		rejected = std::move(reduced);
	}

	job_term::batch job_term::make_reduced_batch()
	{
		owned_.row.loaded = false;
		owned_.row.depths.clear();
		owned_.row.room = {};
		batch out;
		out.change.partition = job_partition;
		out.change.conditions.push_back({{owner_table, owner_key}, owned_.version});
		out.change.put.push_back({{owner_table, owner_key}, encode_ownership(owned_.row)});
		out.is_reduced = true;
		return out;
	}

	void job_term::restore_changes(const batch& rejected)
	{
		for (const auto& job : rejected.saved)
		{
			table_.unsaved.insert(job.id);
			first_jobs_.insert(job.id);
		}
		for (const auto& peer : rejected.workers)
			peer->stored_incarnation = {};
		removed_submissions_.insert(removed_submissions_.end(), rejected.removed.begin(), rejected.removed.end());
		if (upkeep_)
			upkeep_->record_not_saved();
	}

	void job_term::discard_change(const batch& rejected, instant now)
	{
		for (const auto& job : rejected.saved)
			discard_progress(job.id, "the store rejects its progress", now);
		for (const auto& peer : rejected.workers)
			log_event(event::row_rejected,
					  {{"worker", peer->worker.current_incarnation.str()}, {"left_out", "worker"}});
		for (const auto& id : rejected.removed)
			log_event(event::row_rejected, {{"job", id.str()}, {"left_out", "removal"}});
		if (rejected.waves > 0)
			log_event(event::row_rejected, {{"left_out", "wave"}});
	}

	std::vector<task_run> job_term::pending_starts_of(const job_id& id) const
	{
		std::vector<task_run> out;
		std::copy_if(pending_starts_.begin(), pending_starts_.end(), std::back_inserter(out),
					 [&](const task_run& run_id) { return run_id.task.job == id; });
		return out;
	}

	void job_term::discard_progress(const job_id& id, std::string_view reason, instant now)
	{
		// The row of a failed job only holds the tasks that may run, and its pending starts are not ordered any more.
		for (const auto& run_id : pending_starts_of(id))
		{
			pending_starts_.erase(run_id);
			release_run(table_, run_id, now);
		}
		const bool failed = fail_job(table_, id);
		if (!failed)
			table_.unsaved.erase(id);
		log_event(event::row_rejected,
				  {{"job", id.str()}, {"reason", reason}, {"left_out", failed ? "the job, which fails" : "its end"}});
	}
}
