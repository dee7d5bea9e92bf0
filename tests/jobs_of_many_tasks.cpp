// SPDX-License-Identifier: MIT
/// \file
/// \brief Tests of an owner of jobs of many tasks.
#include "job_term_fixture.hpp"

using namespace trailjunction;
using namespace trailjunction::testkit;
using namespace trailjunction::job_term_fixture;

namespace
{
	constexpr const char* second_job = "00000000000000a2";
	constexpr std::uint32_t many_tasks = 3'000;

	job_spec small_tasks(std::uint32_t count)
	{
		auto spec = one_task();
		spec.groups[0].count = count;
		spec.groups[0].claim = {1, 1, 0};
		return spec;
	}

	/// The rows with the progress of a job in the store, without the first.
	std::size_t further_rows(const scene& fixture, const std::string& job)
	{
		std::size_t out = 0;
		while (!fixture.store.value(job_partition, progress_table, absl::StrCat(job, ".", out + 1)).empty())
			++out;
		return out;
	}
}

// Guards against the end of all scheduling because the progress of one job exceeds the store's row limit.
TEST_CASE("a job of many tasks is stored in several rows, and other jobs start beside it", "[jobs]")
{
	scene fixture;
	fixture.submit(first_job, small_tasks(many_tasks));
	fixture.begin_term();
	REQUIRE(fixture.run_until([&] { return fixture.agent.received_starts.size() == many_tasks; }));
	fixture.submit(second_job, one_task());
	REQUIRE(fixture.run_until([&] { return fixture.agent.received_starts.size() == many_tasks + 1; }));
	CHECK(fixture.store.rejections.empty());
	CHECK(further_rows(fixture, first_job) > 0);
	for (const auto& task : fixture.stored_job(first_job).tasks)
		REQUIRE(task.run == 1);

	// A successor knows all runs, and removes the further rows once the job has ended.
	fixture.term->release();
	REQUIRE(fixture.run_until([&] { return fixture.term_over; }));
	fixture.term_over = false;
	fixture.begin_term();
	const auto confirms = fixture.agent.received_confirms.size();
	REQUIRE(fixture.run_until([&] { return fixture.agent.received_confirms.size() > confirms; }));
	fixture.store.put(submission_partition(job_id{first_job}), submissions_table, cancellation_key(job_id{first_job}),
					  "");
	REQUIRE(fixture.run_until([&] { return fixture.agent.received_stops.size() >= many_tasks; }));
	auto report = report_of("life-1");
	std::int64_t number = 0;
	for (const auto& start : fixture.agent.received_starts)
	{
		if (from_wire(start.what).task.job.str() != first_job)
			continue;
		wire::job_end end;
		end.number = ++number;
		end.what = start.what;
		end.how = wire::run_end::end_stopped;
		report.ended.push_back(end);
	}
	fixture.agent.send_report(report);
	REQUIRE(fixture.run_until([&] { return further_rows(fixture, first_job) == 0; }));
	const auto row = fixture.store.value(job_partition, progress_table, first_job);
	CHECK(decode_end(row).value());
	CHECK(fixture.store.rejections.empty());
}
