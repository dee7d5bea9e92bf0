// SPDX-License-Identifier: MIT
/// \file
/// \brief Tests of an owner whose store rejects what it writes.
#include "job_term_fixture.hpp"

using namespace trailjunction;
using namespace trailjunction::testkit;
using namespace trailjunction::job_term_fixture;

namespace
{
	constexpr const char* second_job = "00000000000000a2";

	job_spec small_tasks(std::uint32_t count)
	{
		auto spec = one_task();
		spec.groups[0].count = count;
		spec.groups[0].claim = {1, 1, 0};
		return spec;
	}

	std::size_t starts_of(const scene& fixture, const std::string& job)
	{
		const auto& starts = fixture.agent.received_starts;
		return static_cast<std::size_t>(std::count_if(starts.begin(), starts.end(),
													  [&](const wire::job_start& start)
													  { return from_wire(start.what).task.job.str() == job; }));
	}
}

// Guards against the end of all scheduling because the store rejects the progress of one job.
TEST_CASE("a job whose progress the store rejects fails, and other jobs go on under the same owner", "[jobs]")
{
	scene fixture;
	fixture.store.limits.value_bytes = 1'000; // less than the settings of the owner say
	fixture.submit(first_job, small_tasks(100));
	fixture.begin_term();
	REQUIRE(fixture.run_until([&] { return !fixture.store.rejections.empty(); }));
	fixture.submit(second_job, one_task());
	REQUIRE(fixture.run_until([&] { return starts_of(fixture, second_job) == 1; }));
	REQUIRE(fixture.run_until([&] { return fixture.stored_job(first_job).status == job_status::failed; }));
	CHECK(starts_of(fixture, first_job) == 0); // no run is ordered that is not stored
	CHECK(!fixture.term_over);
	CHECK(fixture.store.rejections.size() < 20);
}

TEST_CASE("jobs that are written with one that the store rejects are not affected", "[jobs]")
{
	scene fixture;
	fixture.store.limits.value_bytes = 1'000;
	fixture.submit(first_job, small_tasks(100));
	constexpr std::size_t other_jobs = 7;
	for (std::size_t i = 0; i < other_jobs; ++i)
		fixture.submit(absl::StrFormat("%016x", 0xb0 + i), small_tasks(1));
	fixture.begin_term();
	REQUIRE(fixture.run_until([&] { return fixture.agent.received_starts.size() == other_jobs; }));
	CHECK(starts_of(fixture, first_job) == 0);
	CHECK(!fixture.term_over);
}

TEST_CASE("an owner keeps its lease although the store rejects its counts of waiting jobs", "[jobs]")
{
	scene fixture;
	fixture.store.limits.value_bytes = 1'000;
	for (std::size_t i = 0; i < 10; ++i)
	{
		auto queue = some_queue();
		queue.queue = queue_id{std::string(200, 'q') + std::to_string(i)};
		queue.service = service_id{"absent"};
		const job_id id{absl::StrFormat("%016x", 0x1000 + i)};
		fixture.store.put(submission_partition(id), submissions_table, id.str(), encode_submission(queue, one_task()));
	}
	fixture.begin_term();
	fixture.submit(first_job, one_task());
	REQUIRE(fixture.run_until([&] { return starts_of(fixture, first_job) == 1; }));
	CHECK(!fixture.store.rejections.empty());
	CHECK(!fixture.term_over);
}

// Guards against jobs that are given up because the store rejects everything for a while.
TEST_CASE("a job is not given up while the store rejects the owner row without it, too", "[jobs]")
{
	constexpr std::uint32_t tasks = 100;
	scene fixture;
	fixture.store.limits.value_bytes = 1'000;
	fixture.submit(first_job, small_tasks(tasks));
	fixture.begin_term();
	const auto rejections = [&]
	{
		return fixture.store.rejections.size();
	};
	REQUIRE(fixture.run_until([&] { return rejections() >= 2; })); // the job alone is rejected
	fixture.store.limits.value_bytes = 0;
	REQUIRE(fixture.run_until([&] { return rejections() >= 4; }));
	fixture.store.limits = {};
	REQUIRE(fixture.run_until([&] { return starts_of(fixture, first_job) == tasks; }));
	CHECK(!fixture.term_over);
}
