// SPDX-License-Identifier: MIT
/// \file
/// \brief Tasks that crash each worker that starts them, through the real programs.
///
/// Two such tasks took 25 workers down within 13 s, and a tenth of the callers beside them were not served. They were
/// started 41 and 36 times in two minutes and would have been to the end of time: each run ended with its worker, and
/// such an end counts as no attempt.
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
	constexpr const char* good_job = "00000000000000a1";
	constexpr auto longest_wait = millis{30'000};
	/// Users bear two starts more after three workers have crashed.
	constexpr int most_starts = 5;

	job_cluster_options options_here(int workers)
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

	/// Hands in a job of one task that crashes each worker.
	void submit_harmful(job_cluster& system, int workers, const std::string& job)
	{
		for (int i = 0; i < workers; ++i)
			system.with_worker(i, [&](worker_standin& worker) { worker.crashing.insert(first_task(job)); });
		REQUIRE(system.submit(0, job, 1, millis{1'000}) == 200);
	}

	/// Until the job has ended or is started more often than anybody bears. \returns The state that is told of it.
	std::string wait_given_up(job_cluster& system, const std::string& job)
	{
		(void)job_cluster::wait_until(
			[&]
			{
				const auto state = system.state(0, job);
				return state == "failed" || system.times_begun(first_task(job)) > most_starts;
			},
			longest_wait);
		return system.state(0, job);
	}
}

TEST_CASE("a task that crashes each worker is given up, its job fails, and the work beside it is done", "[process]")
{
	constexpr int workers = 3;
	job_cluster system{options_here(workers)};
	INFO(system.logs());
	REQUIRE(system.wait_ready());
	REQUIRE(system.submit(0, good_job, 9, millis{1'500}) == 200);
	submit_harmful(system, workers, harmful_job);
	CHECK(wait_given_up(system, harmful_job) == "failed");
	CHECK(system.times_begun(first_task(harmful_job)) <= most_starts);
	CHECK(job_cluster::wait_until([&] { return system.state(1, good_job) == "completed"; }, longest_wait));
}

TEST_CASE("several tasks that crash each worker are given up, and the work beside them is done", "[process]")
{
	constexpr int workers = 3;
	job_cluster system{options_here(workers)};
	INFO(system.logs());
	REQUIRE(system.wait_ready());
	REQUIRE(system.submit(0, good_job, 9, millis{1'500}) == 200);
	submit_harmful(system, workers, harmful_job);
	submit_harmful(system, workers, other_harmful_job);
	for (const auto* job : {harmful_job, other_harmful_job})
	{
		CHECK(wait_given_up(system, job) == "failed");
		CHECK(system.times_begun(first_task(job)) <= most_starts);
	}
	CHECK(job_cluster::wait_until([&] { return system.state(1, good_job) == "completed"; }, longest_wait));
}

TEST_CASE("a task that crashes each worker is given up, though its owners die meanwhile", "[process]")
{
	constexpr int workers = 3;
	job_cluster system{options_here(workers)};
	INFO(system.logs());
	REQUIRE(system.wait_ready());
	submit_harmful(system, workers, harmful_job);
	for (int starts = 1; starts <= 2; ++starts)
	{
		REQUIRE(job_cluster::wait_until([&] { return system.times_begun(first_task(harmful_job)) >= starts; },
										longest_wait));
		const auto owner = system.owner();
		REQUIRE(owner >= 0);
		system.restart_entry(owner);
	}
	CHECK(wait_given_up(system, harmful_job) == "failed");
	CHECK(system.times_begun(first_task(harmful_job)) <= most_starts);
}

TEST_CASE("tasks whose worker crashes again and again by itself are not given up for it", "[process]")
{
	constexpr int workers = 3;
	constexpr int crashes = 6;
	job_cluster system{options_here(workers)};
	INFO(system.logs());
	REQUIRE(system.wait_ready());
	REQUIRE(system.submit(0, good_job, 12, millis{1'500}) == 200);
	for (int i = 0; i < crashes; ++i)
	{
		std::this_thread::sleep_for(millis{900});
		system.with_worker(0, [](worker_standin& worker) { worker.crash(); });
	}
	CHECK(job_cluster::wait_until([&] { return system.state(1, good_job) == "completed"; }, longest_wait));
}
