// SPDX-License-Identifier: MIT
/// \file
/// \brief The clients of a storm and the checked invariants.
#include "job_storm.hpp"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_replace.h>

#include <algorithm>
#include <map>
#include <set>
#include <thread>
#include <tuple>

namespace trailjunction::testkit
{
	namespace
	{
		constexpr auto retry_interval = millis{100};
		/// Timeout for the remaining work at the end of a storm, which takes far less.
		constexpr auto settle_timeout = millis{90'000};
		/// A task is given up if this many workers in a row are lost soon after its start on them.
		constexpr int min_lost_runs_of_given_up_task = 3;

		/// Makes half of the jobs consist of few tasks that outlast every lease.
		void lengthen_some(storm_job& job, seeded_random& random)
		{
			if (random.one_in(2))
				return;
			job.tasks = random.between(1, 2);
			job.work = random.duration(8'000, 15'000);
		}

		storm_job generate_job(seeded_random& random, const storm_options& options, int client, int number)
		{
			storm_job out;
			out.id = absl::StrFormat("%08x%08x", client + 1, number);
			out.tasks = random.between(1, 5);
			out.work = random.duration(200, 1'500);
			out.to_cancel = random.one_in(8);
			if (random.one_in(10))
			{
				const auto fifth = static_cast<int>(options.fault_period.count() / 5);
				out.work = random.duration(fifth, 2 * fifth);
			}
			if (random.one_in(15))
			{
				out.work = millis{600'000};
				out.tasks = 1;
				out.to_cancel = true;
			}
			if (options.cuts)
				lengthen_some(out, random);
			return out;
		}

		/// Tries to submit a job. \returns Whether the outcome is final, so that no further attempt is needed.
		bool try_submit(job_cluster& system, int entry, storm_job& job)
		{
			const int status = system.submit(entry, job.id, job.tasks, job.work);
			job.accepted = status == 200;
			const bool refused = status == 429 || status == 503;
			job.in_doubt = job.in_doubt || !refused;
			return job.accepted || (refused && !job.in_doubt);
		}

		/// \returns Whether the cancellation was acknowledged.
		bool cancel(job_cluster& system, int entry, const storm_job& job)
		{
			const int status = system.cancel(entry, job.id);
			return status == 200 || status == 410;
		}

		std::string time_or_dash(const std::optional<instant>& when)
		{
			return when ? absl::StrCat(log_time(*when)) : "-";
		}

		/// The runs of a task that go on and began at \p after or later.
		std::int64_t active_run_count(const std::vector<worker_standin::started_run>& runs, const std::string& task,
									  instant after)
		{
			return std::count_if(runs.begin(), runs.end(),
								 [&](const worker_standin::started_run& run)
								 { return run.task == task && !run.ended_at && run.started_at >= after; });
		}

		/// The number of runs of a task that were lost with their worker: they died, or their end was not acknowledged.
		int lost_run_count(const std::vector<worker_standin::started_run>& runs, const std::string& task)
		{
			const auto is_lost = [&](const worker_standin::started_run& run)
			{
				return run.task == task &&
					   (run.end_state == "died" || (run.end_state == "done" && !run.acknowledged_at));
			};
			return static_cast<int>(std::count_if(runs.begin(), runs.end(), is_lost));
		}

		/// Whether a task of the job may have been given up, because workers were lost under several of its runs.
		bool may_be_given_up(job_cluster& system, const storm_job& job)
		{
			const auto runs = system.all_started_runs();
			for (int i = 0; i < job.tasks; ++i)
				if (lost_run_count(runs, task_name(job, i)) >= min_lost_runs_of_given_up_task)
					return true;
			return false;
		}

		/// The task of a failed job that was given up, otherwise its first task.
		std::string failed_task(const job_cluster& system, const storm_job& job)
		{
			const auto lines = system.log_lines_with("task_given_up");
			for (int i = 0; i < job.tasks; ++i)
			{
				const auto name = absl::StrReplaceAll(task_name(job, i), {{".", "/"}});
				const auto names_task = [&](const std::string& line)
				{
					return absl::StrContains(line, name);
				};
				if (std::any_of(lines.begin(), lines.end(), names_task))
					return task_name(job, i);
			}
			return task_name(job, 0);
		}

		std::string describe_early_acknowledgement(const worker_standin::started_run& run)
		{
			if (!run.acknowledged_early)
				return "";
			const auto& call = *run.acknowledged_early;
			return absl::StrCat(" in advance at ", log_time(call.executed_at), " by a ", call.late ? "late " : "",
								"call that reached ", call.received_by, ", for ends up to ", call.last_seen, " after ",
								call.end_count);
		}

		std::string describe_run(const worker_standin::started_run& run)
		{
			return absl::StrCat(log_time(run.started_at), " ", run.task, " run ", run.run, " on ", run.incarnation,
								run.late ? " late" : "", " stop ", time_or_dash(run.stop_requested_at), " end ",
								time_or_dash(run.ended_at), " ", run.end_state, " noted ",
								time_or_dash(run.acknowledged_at), describe_early_acknowledgement(run));
		}

		/// The class of a start after an acknowledged end: how the end of \p run came to be acknowledged.
		const char* acknowledgement_class(const worker_standin::started_run& run)
		{
			if (run.in_namesake)
				return "the worker had started again under its id in the same millisecond";
			if (!run.acknowledged_early)
				return "the end was listed";
			return run.acknowledged_early->received_by == run.incarnation
					   ? "the end was acknowledged in advance, by a call to the same incarnation"
					   : "the end was acknowledged in advance, by a call to a former incarnation";
		}
	}

	std::string task_name(const storm_job& job, int index)
	{
		return absl::StrCat(job.id, ".0.0.", index);
	}

	std::int64_t log_time(instant time)
	{
		const auto behind = boottime_now() - time;
		const auto at = std::chrono::system_clock::now() - behind;
		return std::chrono::duration_cast<millis>(at.time_since_epoch()).count();
	}

	std::vector<storm_job> submit_jobs(job_cluster& system, const storm_options& options, int client,
									   const std::function<bool()>& is_over)
	{
		constexpr std::uint64_t clients = 16;
		seeded_random random{options.seed * clients + static_cast<std::uint64_t>(client)};
		const auto any_entry = [&]
		{
			return random.between(0, options.entries - 1);
		};
		std::vector<storm_job> jobs;
		while (!is_over())
		{
			jobs.push_back(generate_job(random, options, client, static_cast<int>(jobs.size())));
			while (!try_submit(system, any_entry(), jobs.back()) && !is_over())
				std::this_thread::sleep_for(retry_interval);
			std::this_thread::sleep_for(random.duration(100, 900));
			auto& earlier = jobs[static_cast<std::size_t>(random.between(0, static_cast<int>(jobs.size()) - 1))];
			if (earlier.to_cancel && earlier.accepted && !earlier.cancelled)
				earlier.cancelled = cancel(system, any_entry(), earlier);
		}
		for (auto& job : jobs)
		{
			(void)job_cluster::wait_until(
				[&] { return job.accepted || !job.in_doubt || try_submit(system, any_entry(), job); }, settle_timeout);
			if (job.accepted && job.to_cancel && !job.cancelled)
				job.cancelled =
					job_cluster::wait_until([&] { return cancel(system, any_entry(), job); }, settle_timeout);
		}
		std::erase_if(jobs, [](const storm_job& job) { return !job.accepted; });
		return jobs;
	}

	std::vector<storm_job> submit_long_running_jobs(job_cluster& system)
	{
		constexpr const char* ids[] = {"f000000000000001", "f000000000000002"};
		std::vector<storm_job> jobs;
		for (const char* id : ids)
		{
			storm_job job;
			job.id = id;
			job.tasks = static_cast<int>(jobs.size()) + 1;
			job.accepted = job_cluster::wait_until(
				[&] { return system.submit_long_running(0, job.id, job.tasks) == 200; }, settle_timeout);
			job.submitted_at = boottime_now();
			jobs.push_back(std::move(job));
		}
		return jobs;
	}

	std::optional<violation> find_idle_long_running(job_cluster& system, const std::vector<storm_job>& jobs,
													instant after)
	{
		for (const auto& job : jobs)
			for (int i = 0; i < job.tasks; ++i)
			{
				const auto task = task_name(job, i);
				const bool runs_once = job_cluster::wait_until(
					[&] { return active_run_count(system.all_started_runs(), task, after) == 1; }, settle_timeout);
				if (!runs_once)
					return violation{task, absl::StrCat("a long-running task that lost ",
														lost_run_count(system.all_started_runs(), task),
														" runs with their workers has ",
														active_run_count(system.all_started_runs(), task, after),
														" runs that began after ", log_time(after))};
			}
		return std::nullopt;
	}

	std::optional<violation> find_not_restarted(job_cluster& system, const storm_options& options,
												const std::vector<storm_job>& jobs)
	{
		const auto restarted_at = boottime_now();
		for (int i = 0; i < options.workers; ++i)
			restart_in_place(system, i, millis{0});
		if (auto found = watch_for_absences(system, jobs, restarted_at, absence_bounds{}.calm_before))
			return found;
		return find_idle_long_running(system, jobs, restarted_at);
	}

	std::optional<violation> find_concurrent_runs(std::vector<worker_standin::started_run> runs)
	{
		std::stable_sort(runs.begin(), runs.end(),
						 [](const auto& a, const auto& b)
						 { return std::tie(a.task, a.started_at) < std::tie(b.task, b.started_at); });
		for (std::size_t i = 0; i < runs.size(); ++i)
			for (std::size_t j = i + 1; j < runs.size() && runs[j].task == runs[i].task; ++j)
			{
				const auto& first = runs[i];
				const auto& second = runs[j];
				if (!first.ended_at || second.started_at < *first.ended_at)
					return violation{first.task,
									 "two concurrent runs:\n" + describe_run(first) + "\n" + describe_run(second)};
				if (first.end_state == "done" && first.acknowledged_at)
					return violation{first.task, absl::StrCat("started after its end was acknowledged as done (",
															  acknowledgement_class(first), "):\n", describe_run(first),
															  "\n", describe_run(second))};
			}
		return std::nullopt;
	}

	std::optional<violation> find_unfinished(job_cluster& system, const std::vector<storm_job>& jobs, bool may_give_up)
	{
		std::set<std::string> failed;
		for (const auto& job : jobs)
		{
			std::string state;
			const bool ended = job_cluster::wait_until(
				[&]
				{
					state = system.state(0, job.id);
					return state == "completed" || state == "cancelled" || state == "failed";
				},
				settle_timeout);
			if (state == "failed" && may_give_up && may_be_given_up(system, job))
				failed.insert(job.id);
			else if (!ended || state == "failed" || (state == "cancelled" && !job.cancelled))
			{
				const auto task = failed_task(system, job);
				return violation{task,
								 absl::StrCat("the job has the state '", state, "'; workers were lost under ",
											  lost_run_count(system.all_started_runs(), task), " runs of the task")};
			}
		}
		std::set<std::string> cancelled;
		std::map<std::string, int> done;
		for (const auto& job : jobs)
			for (int i = 0; i < job.tasks; ++i)
			{
				if (job.cancelled)
					cancelled.insert(task_name(job, i));
				else if (!failed.contains(job.id))
					done[task_name(job, i)] = 0;
			}
		const auto still_running = [&](const worker_standin::started_run& run)
		{
			return cancelled.contains(run.task) && !run.ended_at;
		};
		std::vector<worker_standin::started_run> runs;
		const bool all_ended = job_cluster::wait_until(
			[&]
			{
				runs = system.all_started_runs();
				return std::none_of(runs.begin(), runs.end(), still_running);
			},
			settle_timeout);
		if (!all_ended)
		{
			const auto run = std::find_if(runs.begin(), runs.end(), still_running);
			return violation{run->task, "still runs although its job was cancelled:\n" + describe_run(*run)};
		}
		for (const auto& run : runs)
			if (const auto task = done.find(run.task); task != done.end() && run.end_state == "done")
				++task->second;
		for (const auto& [task, done_count] : done)
			if (done_count == 0)
				return violation{task, "its job is completed, but it never ended as done"};
		return std::nullopt;
	}

	std::string report_violation(job_cluster& system, const violation& found, const std::vector<std::string>& events)
	{
		auto lines = events;
		for (const auto& run : system.all_started_runs())
			if (run.task == found.task)
				lines.push_back(describe_run(run));
		for (const auto& order : system.run_orders())
			if (order.task == found.task)
				lines.push_back(absl::StrCat(log_time(order.executed_at), " run ", order.run, " ", order.response));
		for (auto& line : system.log_lines_with(absl::StrReplaceAll(found.task, {{".", "/"}})))
		{
			constexpr std::string_view begin = "{\"time_ms\":";
			lines.push_back(line.starts_with(begin) ? line.substr(begin.size()) : line);
		}
		std::sort(lines.begin(), lines.end());
		std::string out = found.task + ": " + found.description + "\nEvents by time:\n";
		for (const auto& line : lines)
			absl::StrAppend(&out, line, "\n");
		return out + "Ends of the logs:\n" + system.logs();
	}
}
