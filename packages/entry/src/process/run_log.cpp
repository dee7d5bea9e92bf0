// SPDX-License-Identifier: MIT
#include "run_log.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace trailjunction
{
	namespace
	{
		/// Limit in bytes. A write is atomic up to PIPE_BUF, 4,096 bytes; this leaves room for the line's other fields
		/// and one more run.
		constexpr std::size_t max_runs_length = 3'500;
	}

	run_log::entry& run_log::find_or_add_entry(const job_id& job, std::string_view outcome)
	{
		// Searches from the back because runs of one job mostly come one after the other.
		const auto found =
			std::find_if(entries_.rbegin(), entries_.rend(),
						 [&](const entry& candidate) { return candidate.job == job && candidate.outcome == outcome; });
		if (found != entries_.rend() && found->runs.size() < max_runs_length)
			return *found;
		entries_.push_back({job, std::string{outcome}, 0, {}});
		return entries_.back();
	}

	void run_log::add(const task_run& run, const worker_incarnation& worker, std::string_view outcome)
	{
		auto& line = find_or_add_entry(run.task.job, outcome);
		++line.count;
		absl::StrAppend(&line.runs, line.runs.empty() ? "" : " ", run.task.occurrence, "/", run.task.group, "/",
						run.task.index, ":", run.run, "@", worker.str());
	}

	void run_log::flush()
	{
		for (const auto& line : entries_)
			if (line.outcome.empty())
				log_event(event_, {{"job", line.job.str()}, {"count", line.count}, {"runs", line.runs}});
			else
				log_event(event_,
						  {{"job", line.job.str()}, {"how", line.outcome}, {"count", line.count}, {"runs", line.runs}});
		entries_.clear();
	}
}
