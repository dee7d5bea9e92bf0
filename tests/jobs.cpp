// SPDX-License-Identifier: MIT
/// \file
/// \brief Tests of decisions about jobs. Pure functions, no processes.
#include "job_fixtures.hpp"

#include <catch2/catch.hpp>

using namespace trailjunction;
using namespace trailjunction::job_fixtures;

TEST_CASE("a group waits until the groups before it are done", "[jobs]")
{
	job_table table;
	auto second = group_of(1, 100);
	second.after = {0};
	add_job(table, job_of("a", {group_of(2, 100), second}));
	CHECK(waiting_tasks(table, 0).size() == 2);
	for (std::uint32_t i = 0; i < 2; ++i)
	{
		const auto run = assign(table, {job_id{"a"}, 0, 0, i}, worker_incarnation{"w"}, start);
		CHECK(end_run(table, run, run_outcome::done, "", start) == end_effect::recorded);
	}
	REQUIRE(waiting_tasks(table, 0).size() == 1);
	CHECK(waiting_tasks(table, 0)[0].group == 1);
}

TEST_CASE("occurrences of a repeated job wait for their due times", "[jobs]")
{
	job_table table;
	auto job = job_of("a", {group_of(1, 100)});
	job.spec.repeated = true;
	job.spec.occurrences = 3;
	job.spec.first_due_ms = 1'000;
	job.spec.interval = millis{500};
	add_job(table, make_job(job.id, job.queue, job.spec, start));
	CHECK(waiting_tasks(table, 999).empty());
	CHECK(waiting_tasks(table, 1'000).size() == 1);
	CHECK(waiting_tasks(table, 1'500).size() == 2);
}

TEST_CASE("a job fails once a task has failed as often as its queue allows; other ends do not count as attempts",
		  "[jobs]")
{
	job_table table;
	add_job(table, job_of("a", {group_of(1, 100)}, 2));
	const task_key key{job_id{"a"}, 0, 0, 0};
	for (const auto outcome : {run_outcome::lapsed, run_outcome::stopped, run_outcome::failed})
		CHECK(end_run(table, assign(table, key, worker_incarnation{"w"}, start), outcome, "", start) ==
			  end_effect::recorded);
	CHECK(end_run(table, assign(table, key, worker_incarnation{"w"}, start), run_outcome::failed, "", start) ==
		  end_effect::job_over);
	CHECK(find_job(table, key.job)->status == job_status::failed);
	CHECK(waiting_tasks(table, 0).empty());
}

TEST_CASE("only the end of the latest run counts, and only once", "[jobs]")
{
	job_table table;
	add_job(table, job_of("a", {group_of(1, 100)}));
	const task_key key{job_id{"a"}, 0, 0, 0};
	const auto first = assign(table, key, worker_incarnation{"w"}, start);
	release_run(table, first, start);
	const auto second = assign(table, key, worker_incarnation{"v"}, start);
	CHECK(second.run == 2);
	CHECK(end_run(table, first, run_outcome::done, "", start) == end_effect::ignored);
	CHECK(end_run(table, second, run_outcome::done, "", start) == end_effect::job_over);
	CHECK(end_run(table, second, run_outcome::failed, "", start) == end_effect::ignored);
	CHECK(find_job(table, key.job)->status == job_status::completed);
}

TEST_CASE("a long-running task restarts however it ends, until its job is cancelled", "[jobs]")
{
	job_table table;
	auto group = group_of(1, 100);
	group.long_running = true;
	add_job(table, job_of("a", {group}, 1));
	const task_key key{job_id{"a"}, 0, 0, 0};
	for (const auto outcome : {run_outcome::failed, run_outcome::done, run_outcome::failed})
		CHECK(end_run(table, assign(table, key, worker_incarnation{"w"}, start), outcome, "", start) ==
			  end_effect::recorded);
	const auto run = assign(table, key, worker_incarnation{"w"}, start);
	CHECK(cancel_job(table, key.job));
	REQUIRE(runs_to_stop(table).size() == 1);
	CHECK(runs_to_stop(table)[0] == run);
	end_run(table, run, run_outcome::stopped, "", start);
	CHECK(runs_to_stop(table).empty());
	CHECK(waiting_tasks(table, 0).empty());
}

TEST_CASE("rows restore a job, with its runs unconfirmed", "[jobs]")
{
	job_table table;
	add_job(table, job_of("a", {group_of(3, 100)}));
	const auto run = assign(table, {job_id{"a"}, 0, 0, 1}, worker_incarnation{"w"}, start);
	confirm_run(table, run, start);
	record_checkpoint(table, run, "saved");
	const auto& job = *find_job(table, job_id{"a"});
	auto read = decode_submission(job.id, encode_submission(job.queue, job.spec), start);
	REQUIRE(read.ok());
	REQUIRE(decode_progress(*read, encode_progress(job), start).ok());
	CHECK(read->tasks[1].run == 1);
	CHECK(read->tasks[1].worker == worker_incarnation{"w"});
	CHECK(read->tasks[1].phase == task_stage::ordered);
	CHECK(read->tasks[1].checkpoint == "saved");
	CHECK(read->tasks[0].run == 0);
	CHECK(!decode_progress(*read, "no row", start).ok());
}

TEST_CASE("a job that no queue could run is refused with the reason", "[jobs]")
{
	job_spec spec;
	CHECK(!validate(spec).ok());
	spec.groups = {group_of(1, 100)};
	CHECK(validate(spec).ok());
	spec.groups[0].after = {0};
	CHECK(validate(spec).message() == "group 0: waits for a group that is not before it");
	spec.groups[0].after.clear();
	spec.groups[0].count = 30'000;
	CHECK(!validate(spec).ok());
}

namespace
{
	std::vector<task_run> assign_gang(job_table& table, const std::string& job, std::uint32_t count)
	{
		std::vector<task_run> out;
		for (std::uint32_t i = 0; i < count; ++i)
			out.push_back(assign(table, {job_id{job}, 0, 0, i}, worker_incarnation{"w" + std::to_string(i)}, start));
		return out;
	}
}

TEST_CASE("members of a gang share run numbers and checkpoints, and restart together", "[jobs]")
{
	job_table table;
	add_job(table, job_of("a", {gang_of(3, 1'000)}));
	const auto first = assign_gang(table, "a", 3);
	for (const auto& run : first)
		CHECK(run.run == 1);
	CHECK(runs_to_stop(table).empty());
	// One member was refused; the others would wait in vain and have to stop.
	release_run(table, first[1], start);
	CHECK(runs_to_stop(table).size() == 2);
	std::vector<worker_room> rooms{room_of("w0"), room_of("w1"), room_of("w2")};
	CHECK(place(rooms, table).empty());
	end_run(table, first[0], run_outcome::stopped, "half", start);
	end_run(table, first[2], run_outcome::gang_incomplete, "", start);
	CHECK(place(rooms, table).size() == 3);
	for (const auto& run : assign_gang(table, "a", 3))
	{
		CHECK(run.run == 2);
		CHECK(find_task(table, run.task)->checkpoint == "half");
	}
}

TEST_CASE("a gang's failure and its crash count once per run even if the owner changes between two ends", "[jobs]")
{
	job_table table;
	add_job(table, job_of("a", {gang_of(2, 1'000)}, 2));
	const auto runs = assign_gang(table, "a", 2);
	const bool crashes = GENERATE(false, true);
	const crash_policy policy;
	const auto end = [&](const task_run& run)
	{
		if (!crashes)
			return end_run(table, run, run_outcome::failed, "", start);
		lost_run lost{run};
		lost.age = millis{0};
		return record_lost_run(table, lost, find_task(table, run.task)->worker, policy, start);
	};
	CHECK(end(runs[0]) == end_effect::recorded);
	auto successor = job_of("a", {gang_of(2, 1'000)}, 2);
	REQUIRE(decode_progress(successor, encode_progress(*find_job(table, job_id{"a"})), start).ok());
	table = {};
	add_job(table, std::move(successor));
	CHECK(end(runs[1]) == end_effect::recorded);
	for (std::uint32_t i = 0; i < 2; ++i)
	{
		CHECK(find_task(table, {job_id{"a"}, 0, 0, i})->failures == (crashes ? 0 : 1));
		CHECK(find_task(table, {job_id{"a"}, 0, 0, i})->crashes.workers.size() == (crashes ? 1 : 0));
	}
}

TEST_CASE("a gang fails once per run, and is done when its first member is done", "[jobs]")
{
	job_table table;
	add_job(table, job_of("a", {gang_of(3, 1'000)}, 2));
	auto runs = assign_gang(table, "a", 3);
	CHECK(end_run(table, runs[0], run_outcome::failed, "", start) == end_effect::recorded);
	CHECK(end_run(table, runs[1], run_outcome::failed, "", start) == end_effect::recorded);
	CHECK(end_run(table, runs[2], run_outcome::gang_broken, "", start) == end_effect::recorded);
	runs = assign_gang(table, "a", 3);
	CHECK(end_run(table, runs[2], run_outcome::done, "", start) == end_effect::job_over);
	CHECK(find_job(table, job_id{"a"})->status == job_status::completed);
	CHECK(table.placed.empty());

	add_job(table, job_of("b", {gang_of(2, 1'000)}, 2));
	runs = assign_gang(table, "b", 2);
	end_run(table, runs[0], run_outcome::failed, "", start);
	end_run(table, runs[1], run_outcome::gang_broken, "", start);
	runs = assign_gang(table, "b", 2);
	CHECK(end_run(table, runs[1], run_outcome::failed, "", start) == end_effect::job_over);
	CHECK(find_job(table, job_id{"b"})->status == job_status::failed);
}

TEST_CASE("ownership may be taken over only after a whole lease has passed without a change of the row", "[jobs]")
{
	const ownership_times times;
	ownership_observation observation;
	CHECK(!may_take_over(observation, times, start));
	record_observation(observation, 7, {}, start);
	CHECK(!may_take_over(observation, times, start + times.lease));
	CHECK(may_take_over(observation, times, start + times.lease + times.margin));
	record_failed_read(observation); // the owner may not have been able to renew its lease either
	record_observation(observation, 7, {}, start + times.lease);
	CHECK(!may_take_over(observation, times, start + times.lease + times.margin));
	record_observation(observation, 8, {.released = true}, start + times.lease);
	CHECK(may_take_over(observation, times, start + times.lease));
	CHECK(holds_lease(start, times.lease, start + times.lease - millis{1}));
	CHECK(!holds_lease(start, times.lease, start + times.lease));
}

TEST_CASE("a run lease expires on the owner's clock no earlier than on the slowest worker's clock", "[jobs]")
{
	const run_lease_times times{millis{5'000}, 0.02, millis{150}};
	const auto deadline = worker_deadline_ms(10'000, start, start + millis{40}, times.lease);
	CHECK(deadline == 15'040);
	// The owner sends the confirmation after the stamp; the worker's clock may need 5,040 ms / 0.98 from its reading.
	const auto over = lease_end(start + millis{40}, times);
	CHECK(over >= start + millis{5'143});
}

TEST_CASE("a worker on which several jobs fail is avoided; failures of one job have no effect", "[jobs]")
{
	const trust_policy policy;
	worker_trust trust;
	for (int i = 0; i < 5; ++i)
		CHECK(!record_run_end(trust, job_id{"bad"}, true, policy, start));
	CHECK(record_run_end(trust, job_id{"another"}, true, policy, start));
	CHECK(trust.avoided_until == start + policy.probation);
	CHECK(!record_run_end(trust, job_id{"third"}, true, policy, start + 2 * policy.window));
}

TEST_CASE("the queue with the longest prefix serves a path", "[jobs]")
{
	job_configuration configuration;
	configuration.routes = {{{queue_id{"short"}}, "a.example", "/x/", millis{0}},
							{{queue_id{"long"}}, "a.example", "/x/y/", millis{0}}};
	CHECK(find_route(configuration, "A.example:80", "/x/y/1")->policy.queue == queue_id{"long"});
	CHECK(find_route(configuration, "a.example", "/x/1")->policy.queue == queue_id{"short"});
	CHECK(find_route(configuration, "b.example", "/x/1") == nullptr);
	CHECK(find_route(configuration, "a.example", "/y/") == nullptr);
}
