// SPDX-License-Identifier: MIT
/// \file
/// \brief Long-running tasks that have no run during a storm.
/// \details The users' rule counts an absence only after a calm time. The faults of a storm overlap nearly always:
/// within the period in which faults begin, no 7 s are known to be free of them. The rule therefore applies in two
/// phases without faults: after all faults have ended, and after the final restart of all workers. The checks run
/// during these phases, before anything waits for the system to settle.
#include "job_storm.hpp"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <thread>

using namespace trailjunction;
using namespace trailjunction::testkit;

namespace
{
	constexpr auto check_interval = millis{100};
	/// The plans' longest delay of a call or heartbeat: one that was sent before the end of the faults may still
	/// arrive.
	constexpr auto longest_delay = millis{3'000};
	/// Time after the calm that the rule requires in which the checks apply.
	constexpr auto checked_time = millis{3'000};

	/// The end of a task's latest run; \p submitted_at if it has never run, and empty if it runs.
	std::optional<instant> absent_since(const std::vector<worker_standin::started_run>& runs, const std::string& task,
										instant submitted_at)
	{
		auto out = submitted_at;
		for (const auto& run : runs)
		{
			if (run.task != task)
				continue;
			if (!run.ended_at)
				return std::nullopt;
			out = std::max(out, *run.ended_at);
		}
		return out;
	}

	bool any_worker_down(job_cluster& system, const storm_options& options)
	{
		for (int i = 0; i < options.workers; ++i)
			if (system.with_worker(i, [](worker_standin& worker) { return worker.is_down(); }))
				return true;
		return false;
	}

	/// The latest line in which an owner tells why a task, or its whole job, does not run.
	std::string reason_in_logs(const job_cluster& system, const std::string& task)
	{
		const auto name = absl::StrReplaceAll(task, {{".", "/"}});
		const auto job = name.substr(0, name.find('/'));
		std::string out = "none logged";
		for (const auto& line : system.log_lines_with("long_running_idle"))
			if (absl::StrContains(line, "\"" + name + "\"") ||
				(absl::StrContains(line, job) && absl::StrContains(line, "given_up")))
				out = line;
		return out;
	}
}

std::optional<violation> testkit::find_absence(const std::vector<worker_standin::started_run>& runs,
											   const std::vector<storm_job>& jobs, instant calm_since, instant now)
{
	constexpr absence_bounds bounds{};
	if (now < calm_since + bounds.calm_before)
		return std::nullopt;
	for (const auto& job : jobs)
		for (int i = 0; i < job.tasks; ++i)
		{
			const auto task = task_name(job, i);
			const auto since = absent_since(runs, task, job.submitted_at);
			if (job.accepted && since && now - *since > bounds.longest_absence)
				return violation{task, absl::StrCat("a long-running task has had no run since ", log_time(*since), ", ",
													std::chrono::duration_cast<millis>(now - *since).count(),
													" ms; no fault since ", log_time(calm_since))};
		}
	return std::nullopt;
}

std::optional<violation> testkit::watch_for_absences(job_cluster& system, const std::vector<storm_job>& jobs,
													 instant calm_since, millis duration)
{
	while (true)
	{
		const auto now = boottime_now();
		auto found = find_absence(system.all_started_runs(), jobs, calm_since, now);
		if (found)
			absl::StrAppend(&found->description, "; reason by its owner: ", reason_in_logs(system, found->task));
		if (found || now >= calm_since + duration)
			return found;
		std::this_thread::sleep_for(check_interval);
	}
}

std::optional<violation> testkit::watch_calm_phase(job_cluster& system, const storm_options& options,
												   const std::vector<storm_job>& jobs)
{
	if (jobs.empty())
		return std::nullopt;
	const auto all_up = [&]
	{
		return !any_worker_down(system, options);
	};
	if (!job_cluster::wait_until(all_up, longest_delay + check_interval))
		return violation{task_name(jobs.front(), 0), "a worker stand-in stays down after the end of all faults"};
	return watch_for_absences(system, jobs, boottime_now() + longest_delay,
							  absence_bounds{}.calm_before + checked_time);
}

namespace
{
	constexpr instant start{std::chrono::seconds{100}};
	const std::vector<storm_job> one_job{{.id = "a", .tasks = 2, .accepted = true, .submitted_at = start}};

	worker_standin::started_run run_of(const std::string& task, millis from, std::optional<millis> until)
	{
		worker_standin::started_run out;
		out.task = task;
		out.started_at = start + from;
		if (until)
			out.ended_at = start + *until;
		return out;
	}
}

TEST_CASE("a long-running task counts as lost 6 s after its last run, if the last 7 s were calm", "[testkit]")
{
	const std::vector<worker_standin::started_run> runs{
		run_of("a.0.0.0", millis{0}, millis{10'000}), run_of("a.0.0.1", millis{0}, millis{3'000}),
		run_of("a.0.0.1", millis{4'000}, std::nullopt), run_of("b.0.0.0", millis{0}, millis{10'000})};
	const auto is_lost = [&](millis calm_since, millis at)
	{
		const auto found = find_absence(runs, one_job, start + calm_since, start + at);
		CHECK((!found || found->task == "a.0.0.0"));
		return found.has_value();
	};
	CHECK_FALSE(is_lost(millis{0}, millis{16'000}));
	CHECK(is_lost(millis{0}, millis{16'001}));
	CHECK(is_lost(millis{9'001}, millis{16'001}));
	CHECK_FALSE(is_lost(millis{9'002}, millis{16'001}));
	CHECK(is_lost(millis{20'000}, millis{27'000}));
}

TEST_CASE("an accepted long-running task that has never run counts as lost", "[testkit]")
{
	const std::vector<worker_standin::started_run> runs{run_of("a.0.0.0", millis{0}, std::nullopt)};
	CHECK_FALSE(find_absence(runs, one_job, start, start + millis{6'999}));
	const auto found = find_absence(runs, one_job, start, start + millis{7'000});
	REQUIRE(found);
	CHECK(found->task == "a.0.0.1");
	auto refused = one_job;
	refused[0].accepted = false;
	CHECK_FALSE(find_absence(runs, refused, start, start + millis{7'000}));
}
