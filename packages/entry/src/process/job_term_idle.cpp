// SPDX-License-Identifier: MIT
/// \file
/// \brief The part of job_term that reports long-running tasks without a run; see idle_long_running.hpp.
#include "job_term.hpp"

#include <trailjunction/core/event.hpp>

#include <algorithm>
#include <chrono>
#include <span>

namespace trailjunction
{
	namespace
	{
		constexpr idle_policy default_idle_policy{};

		/// The first changes of a search, as many as are logged.
		std::span<const idle_task> logged_part(const std::vector<idle_task>& changes)
		{
			return std::span{changes}.first(std::min(changes.size(), default_idle_policy.max_changes_logged));
		}

		std::size_t count_long_running(const job_spec& spec)
		{
			std::size_t out = 0;
			for (const auto& group : spec.groups)
				if (group.long_running)
					out += std::size_t{group.count} * spec.occurrences;
			return out;
		}
	}

	idle_context job_term::make_idle_context(instant now)
	{
		refresh_rooms(now);
		idle_context out;
		out.rooms = rooms_;
		out.pending_starts = &pending_starts_;
		out.listening_since = began_at_;
		out.may_act = may_act(now) && !releasing_;
		out.has_stale_input = has_stale_input(now);
		for (const auto& [name, peer] : peers_)
		{
			const auto& worker = peer->worker;
			if (worker.current_incarnation.empty() || !worker.last_response)
				continue;
			auto& latest = out.last_responses[worker.current_incarnation];
			latest = std::max(latest, *worker.last_response);
		}
		return out;
	}

	void job_term::report_idle_if_due(instant now)
	{
		if (over_ || now - idle_searched_at_ < default_idle_policy.check_interval)
			return;
		idle_searched_at_ = now;
		const busy_scope scope{meter_, owner_duty::idle_search};
		const auto wall_clock = std::chrono::system_clock::now().time_since_epoch();
		const decision_time at{now, std::chrono::duration_cast<millis>(wall_clock).count()};
		const auto idle = find_idle_long_running(table_, make_idle_context(now), default_idle_policy, at);
		idle_meter_.publish(idle, table_);
		log_idle_changes(update_reports(idle_reports_, idle));
	}

	void job_term::log_idle_changes(const idle_changes& changes) const
	{
		const auto more = [](const std::vector<idle_task>& all, const idle_task& task)
		{
			const auto logged = logged_part(all);
			return &task == &logged.back() ? all.size() - logged.size() : 0;
		};
		for (const auto& idle : logged_part(changes.begun))
			log_event(event::long_running_idle, {{"task", to_string(idle.task)},
												 {"why", to_string(idle.reason)},
												 {"idle_ms", idle.idle_for.count()},
												 {"worker", idle.worker.str()},
												 {"more", more(changes.begun, idle)}});
		for (const auto& idle : logged_part(changes.ended))
		{
			const auto* job = find_job(table_, idle.task.job);
			log_event(event::idle_ended, {{"task", to_string(idle.task)},
										  {"now", job == nullptr || has_ended(job->status) ? "over" : "running"},
										  {"why", to_string(idle.reason)},
										  {"idle_ms", idle.idle_for.count()},
										  {"more", more(changes.ended, idle)}});
		}
	}

	void job_term::note_failed_long_running(const job_state& job)
	{
		const auto tasks = count_long_running(job.spec);
		if (job.status != job_status::failed || tasks == 0)
			return;
		idle_meter_.note_failed(job.id, tasks);
		const auto group = std::find_if(job.spec.groups.begin(), job.spec.groups.end(),
										[](const task_group& each) { return each.long_running; });
		const task_key first{job.id, 0, static_cast<std::uint32_t>(group - job.spec.groups.begin()), 0};
		log_event(event::long_running_idle,
				  {{"task", to_string(first)}, {"why", to_string(idle_reason::given_up)}, {"tasks", tasks}});
	}
}
