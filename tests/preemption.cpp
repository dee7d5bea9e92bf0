// SPDX-License-Identifier: MIT
/// \file
/// \brief Which runs give way to waiting tasks of higher priority: pure functions, no process.
#include "job_fixtures.hpp"

#include <catch2/catch.hpp>

using namespace trailjunction;
using namespace trailjunction::job_tests;

namespace
{
	job_state job_with_priority(const std::string& id, task_group group, int priority)
	{
		auto out = job_of(id, {std::move(group)});
		out.queue.priority = priority;
		return out;
	}

	/// A run of the only group of a job.
	task_run run_on(job_table& table, const std::string& job, std::uint32_t index, const std::string& worker)
	{
		const auto out = assign(table, {job_id{job}, 0, 0, index}, worker_life{worker}, start);
		confirm_run(table, out, start);
		return out;
	}

	/// Tasks of these jobs take 1 s, their objective is 1.75 s: after a second they cannot wait.
	std::vector<task_run> preempt(const job_table& table, std::vector<worker_room> rooms,
								  instant now = start + std::chrono::seconds{1})
	{
		const placement_policy placing;
		const pressure_model pressures;
		charge_workers(rooms, table, pressures, placing);
		(void)place_tasks(rooms, table, waiting_tasks(table, 0), pressures, placing, now);
		return choose_preemptions(rooms, table, waiting_tasks(table, 0), preemption_policy{}, now);
	}
}

TEST_CASE("a waiting task takes the room of lower priority where the least unsaved work is lost", "[jobs]")
{
	job_table table;
	add_job(table, job_with_priority("a", group_of(1, 8'000), 2));
	auto saves = group_of(1, 8'000);
	saves.checkpointing = true;
	add_job(table, job_with_priority("b", saves, 2));
	add_job(table, job_with_priority("c", group_of(1, 8'000), 1));
	run_on(table, "a", 0, "w1");
	const auto saved = run_on(table, "b", 0, "w2");
	const auto stops = preempt(table, {room_of("w1"), room_of("w2")});
	REQUIRE(stops.size() == 1);
	CHECK(stops[0] == saved);

	CHECK(preempt(table, {room_of("w1"), room_of("w2")}, start).empty());                            // it has time
	CHECK(preempt(table, {room_of("w1"), room_of("w2")}, start + std::chrono::seconds{60}).empty()); // too late

	// What was told to stop counts as free soon: nobody else has to go for the same task.
	find_task(table, saved.task)->stop_ordered = true;
	CHECK(preempt(table, {room_of("w1"), room_of("w2")}).empty());
}

TEST_CASE("nothing gives way to its own or a lower priority, nor where it would not help", "[jobs]")
{
	job_table table;
	add_job(table, job_with_priority("a", group_of(1, 4'000), 1));
	auto serving = group_of(1, 4'000);
	serving.long_running = true;
	add_job(table, job_with_priority("s", serving, 2));
	run_on(table, "a", 0, "w1");
	run_on(table, "s", 0, "w1");
	add_job(table, job_with_priority("same", group_of(1, 4'000), 1));
	CHECK(preempt(table, {room_of("w1")}).empty());
	add_job(table, job_with_priority("large", group_of(1, 8'000), 0)); // the serving task stays, so it does not fit
	CHECK(preempt(table, {room_of("w1")}).empty());
	auto labelled = group_of(1, 4'000);
	labelled.required_label = "b";
	add_job(table, job_with_priority("labelled", labelled, 0));
	CHECK(preempt(table, {room_of("w1")}).empty());
}

TEST_CASE("tasks that no worker may take more of have nothing stopped for them", "[jobs]")
{
	job_table table;
	auto apart = group_of(2, 4'000);
	apart.per_worker_limit = 1;
	add_job(table, job_with_priority("a", apart, 0));
	add_job(table, job_with_priority("b", group_of(1, 4'000), 2));
	run_on(table, "a", 0, "w1");
	run_on(table, "b", 0, "w1");
	CHECK(preempt(table, {room_of("w1")}).empty());
	CHECK(preempt(table, {room_of("w1"), room_of("w2")}).empty()); // placed there
}

TEST_CASE("a serving task that has waited for a while takes the room of batch work", "[jobs]")
{
	job_table table;
	add_job(table, job_with_priority("a", group_of(1, 8'000), 2));
	const auto batch = run_on(table, "a", 0, "w1");
	auto serving = group_of(1, 8'000);
	serving.long_running = true;
	add_job(table, job_with_priority("s", serving, 0));
	CHECK(preempt(table, {room_of("w1")}, start + millis{500}).empty());
	const auto stops = preempt(table, {room_of("w1")});
	REQUIRE(stops.size() == 1);
	CHECK(stops[0] == batch);
}
