// SPDX-License-Identifier: MIT
/// \file
/// \brief Tests with real processes: tasks that crash each worker that starts them.
///
/// Guards against restarting such tasks for ever: each run ends with its worker, and such an end does not count as an
/// attempt. Two such tasks crashed 25 workers within 13 s and were started 41 and 36 times in two minutes; a tenth of
/// the callers of other tasks were not served.
#include <trailjunction/testkit/job_cluster.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <thread>

using namespace trailjunction;
using namespace trailjunction::testkit;

namespace
{
	constexpr const char* harmful_job = "00000000000000c1";
	constexpr const char* other_harmful_job = "00000000000000c2";
	constexpr const char* harmless_job = "00000000000000a1";
	constexpr auto max_wait = millis{30'000};
	/// Users accept two more starts after three workers have crashed.
	constexpr int max_starts = 5;

	job_cluster_options cluster_options(int workers)
	{
		job_cluster_options options;
		options.programs = TRAILJUNCTION_PROGRAMS;
		options.workers = workers;
		return options;
	}

	std::string first_task(const std::string& job)
	{
		return job + ".0.0.0";
	}

	/// Submits a job with one task that crashes each worker.
	void submit_harmful(job_cluster& system, int workers, const std::string& job)
	{
		for (int i = 0; i < workers; ++i)
			system.with_worker(i, [&](worker_standin& worker) { worker.crashing_tasks.insert(first_task(job)); });
		REQUIRE(system.submit(0, job, 1, millis{1'000}) == 200);
	}

	/// Waits until the job has failed or was started more often than allowed. \returns Its reported state.
	std::string wait_given_up(job_cluster& system, const std::string& job)
	{
		(void)job_cluster::wait_until(
			[&]
			{
				const auto state = system.state(0, job);
				return state == "failed" || system.start_count(first_task(job)) > max_starts;
			},
			max_wait);
		return system.state(0, job);
	}
}

TEST_CASE("a task that crashes each worker is given up, its job fails, and other jobs complete", "[process]")
{
	constexpr int workers = 3;
	job_cluster system{cluster_options(workers)};
	INFO(system.logs());
	REQUIRE(system.wait_ready());
	REQUIRE(system.submit(0, harmless_job, 9, millis{1'500}) == 200);
	submit_harmful(system, workers, harmful_job);
	CHECK(wait_given_up(system, harmful_job) == "failed");
	CHECK(system.start_count(first_task(harmful_job)) <= max_starts);
	CHECK(job_cluster::wait_until([&] { return system.state(1, harmless_job) == "completed"; }, max_wait));
}

TEST_CASE("several tasks that crash each worker are given up, and other jobs complete", "[process]")
{
	constexpr int workers = 3;
	job_cluster system{cluster_options(workers)};
	INFO(system.logs());
	REQUIRE(system.wait_ready());
	REQUIRE(system.submit(0, harmless_job, 9, millis{1'500}) == 200);
	submit_harmful(system, workers, harmful_job);
	submit_harmful(system, workers, other_harmful_job);
	for (const auto* job : {harmful_job, other_harmful_job})
	{
		CHECK(wait_given_up(system, job) == "failed");
		CHECK(system.start_count(first_task(job)) <= max_starts);
	}
	CHECK(job_cluster::wait_until([&] { return system.state(1, harmless_job) == "completed"; }, max_wait));
}

TEST_CASE("a task that crashes each worker is given up even if its owners are killed meanwhile", "[process]")
{
	constexpr int workers = 3;
	job_cluster system{cluster_options(workers)};
	INFO(system.logs());
	REQUIRE(system.wait_ready());
	submit_harmful(system, workers, harmful_job);
	for (int starts = 1; starts <= 2; ++starts)
	{
		REQUIRE(
			job_cluster::wait_until([&] { return system.start_count(first_task(harmful_job)) >= starts; }, max_wait));
		const auto owner = system.owner();
		REQUIRE(owner >= 0);
		system.restart_entry(owner);
	}
	CHECK(wait_given_up(system, harmful_job) == "failed");
	CHECK(system.start_count(first_task(harmful_job)) <= max_starts);
}

TEST_CASE("a long-running task that crashes each worker is held back, also by the next owner, and returns afterwards",
		  "[process]")
{
	constexpr int workers = 3;
	constexpr int tasks = 2;
	job_cluster system{cluster_options(workers)};
	INFO(system.logs());
	REQUIRE(system.wait_ready());
	for (int i = 0; i < workers; ++i)
		system.with_worker(i, [](worker_standin& worker) { worker.crashing_tasks.insert(first_task(harmful_job)); });
	REQUIRE(system.submit_long_running(0, harmful_job, tasks) == 200);
	REQUIRE(job_cluster::wait_until([&] { return !system.log_lines_with("task_held_back").empty(); }, max_wait));
	const auto owner = system.owner();
	REQUIRE(owner >= 0);
	system.restart_entry(owner);
	const auto starts_when_held = system.start_count(first_task(harmful_job));
	CHECK(job_cluster::wait_until([&] { return system.start_count(first_task(harmful_job)) > starts_when_held; },
								  max_wait));
	CHECK(system.start_count(first_task(harmful_job)) <= max_starts);
	for (int i = 0; i < workers; ++i)
		system.with_worker(i, [](worker_standin& worker) { worker.crashing_tasks.clear(); });
	const auto runs = [&](const std::string& task)
	{
		const auto started = system.all_started_runs();
		return std::any_of(started.begin(), started.end(),
						   [&](const worker_standin::started_run& run) { return run.task == task && !run.ended_at; });
	};
	CHECK(job_cluster::wait_until(
		[&] { return runs(first_task(harmful_job)) && runs(harmful_job + std::string{".0.0.1"}); }, 2 * max_wait));
	CHECK(system.state(1, harmful_job) != "failed");
	CHECK(system.log_lines_with("task_given_up").empty());
}

TEST_CASE("tasks are not given up when their worker crashes repeatedly by itself", "[process]")
{
	constexpr int workers = 3;
	constexpr int crashes = 6;
	job_cluster system{cluster_options(workers)};
	INFO(system.logs());
	REQUIRE(system.wait_ready());
	REQUIRE(system.submit(0, harmless_job, 12, millis{1'500}) == 200);
	for (int i = 0; i < crashes; ++i)
	{
		std::this_thread::sleep_for(millis{900});
		system.with_worker(0, [](worker_standin& worker) { worker.crash(); });
	}
	CHECK(job_cluster::wait_until([&] { return system.state(1, harmless_job) == "completed"; }, max_wait));
}
