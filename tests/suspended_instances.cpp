// SPDX-License-Identifier: MIT
/// \file
/// \brief Instances that are suspended: the steady clock of theirs stands still while the time of all others goes on.
#include "job_term_scene.hpp"
#include "run_keeper_scene.hpp"

#include <catch2/catch.hpp>

using namespace trailjunction;

namespace
{
	constexpr auto long_suspension = millis{30'000}; // above every lease
}

TEST_CASE("an owner that was suspended for longer than its lease confirms nothing until it has renewed it", "[jobs]")
{
	job_term_scene::scene it;
	it.begin();
	REQUIRE(it.run_until([&] { return !it.agent.confirms.empty(); }));
	it.store.faults.hold_commits = true;
	REQUIRE(it.run_until([&] { return it.store.held_commits > 0; }));
	pretend_suspension(long_suspension);
	const auto confirms = it.agent.confirms.size();
	it.agent.send(job_term_scene::report_of("life-1"));
	const auto end = steady_now() + millis{300};
	(void)it.run_until([&] { return steady_now() >= end; });
	CHECK(it.agent.confirms.size() == confirms);
	it.store.faults.hold_commits = false;
	CHECK(it.run_until([&] { return it.agent.confirms.size() > confirms; }));
}

TEST_CASE("an owner that was suspended starts nothing by what it knew of cancellations before", "[jobs]")
{
	// A job that others have cancelled meanwhile would be started, up to the whole suspension later.
	job_term_scene::scene it;
	it.begin();
	REQUIRE(it.run_until([&] { return !it.agent.confirms.empty(); }));
	it.store.faults.hold_commits = true;
	it.submit(job_term_scene::first_job, job_term_scene::one_task());
	REQUIRE(it.run_until([&] { return it.store.held_commits > 0; }));
	pretend_suspension(long_suspension);
	it.store.put(submission_partition(job_id{job_term_scene::first_job}), submissions_table,
				 cancellation_key(job_id{job_term_scene::first_job}), "c");
	it.store.faults.hold_commits = false;
	REQUIRE(it.run_until([&] { return it.stored_job(job_term_scene::first_job).status == job_status::cancelled; }));
	CHECK(it.agent.starts.empty());
}

TEST_CASE("a run whose lease ended while its owner was suspended is taken for gone", "[jobs]")
{
	job_term_scene::scene it;
	it.begin();
	it.submit(job_term_scene::first_job, job_term_scene::one_task());
	REQUIRE(it.run_until([&] { return it.agent.starts.size() == 1; }));
	pretend_suspension(long_suspension);
	CHECK(it.run_until([&] { return it.stored_job(job_term_scene::first_job).tasks[0].run == 2; }));
}

TEST_CASE("a suspended agent tells how long ago it heard its worker, by the time of others", "[jobs]")
{
	run_keeper_scene::scene it;
	pretend_suspension(long_suspension);
	CHECK(it.runs.report(false).unheard_ms >= long_suspension.count());
}

TEST_CASE("an agent that was suspended does not take its worker's clock for later than it may be", "[jobs]")
{
	// The worker may have been suspended with it, and its clock, by which it ends runs, may have stood still.
	run_keeper_scene::scene it;
	const auto lists = it.lines.lists;
	REQUIRE(it.run_until([&] { return it.lines.lists > lists + 2; }));
	const auto before = it.lines.deadline_ms;
	pretend_suspension(long_suspension);
	wire::job_confirm answer;
	answer.worker = "life-1";
	answer.stamp_ms = it.runs.report(true).stamp_ms;
	it.runs.confirm(answer);
	const auto seen = it.lines.lists;
	REQUIRE(it.run_until([&] { return it.lines.lists > seen + 2; }));
	CHECK(it.lines.deadline_ms < before + long_suspension.count());
}
