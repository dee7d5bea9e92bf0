// SPDX-License-Identifier: MIT
/// \file
/// \brief Tests of which task is suspected of a crash and when it is given up. Pure functions, no processes.
#include "job_fixtures.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace trailjunction;
using namespace trailjunction::job_fixtures;

namespace
{
	constexpr crash_policy policy{};
	const task_key some_task{job_id{"a"}, 0, 0, 0};

	/// Places a task on a worker that crashes \p age later.
	end_effect crash_under(job_table& table, const task_key& key, const std::string& incarnation, millis age)
	{
		(void)assign(table, key, worker_incarnation{incarnation}, start);
		const lost_worker worker{worker_incarnation{incarnation}, start + age};
		auto effect = end_effect::ignored;
		for (const auto& lost : collect_lost_runs(table, worker, true, policy))
			if (const auto lost_effect = record_lost_run(table, lost, worker.incarnation, policy, start + age);
				lost.run_id.task == key)
				effect = lost_effect;
		return effect;
	}

	std::size_t crashes_of(const job_table& table, const task_key& key)
	{
		return find_task(table, key)->crashes.workers.size();
	}

	job_table table_of(std::vector<task_group> groups)
	{
		job_table table;
		add_job(table, job_of("a", std::move(groups)));
		return table;
	}
}

TEST_CASE("a task is given up and its job fails after three workers crash just after its starts", "[jobs]")
{
	auto group = group_of(1, 100);
	SECTION("ends by itself") {}
	SECTION("member of a gang")
	{
		group.gang = true;
	}
	auto table = table_of({group});
	CHECK(crash_under(table, some_task, "w1", millis{0}) == end_effect::recorded);
	CHECK(crash_under(table, some_task, "w2", millis{0}) == end_effect::recorded);
	CHECK(waiting_tasks(table, 0).size() == 1);
	CHECK(crash_under(table, some_task, "w3", millis{0}) == end_effect::job_over);
	CHECK(find_job(table, some_task.job)->status == job_status::failed);
	CHECK(waiting_tasks(table, 0).empty());
}

TEST_CASE("a run that continues for long enough clears its task", "[jobs]")
{
	auto table = table_of({group_of(1, 100)});
	(void)crash_under(table, some_task, "w1", millis{800});
	const auto next = assign(table, some_task, worker_incarnation{"w2"}, start);
	CHECK_FALSE(clear_crashes(table, next, policy, start + millis{60'000})); // not confirmed yet
	confirm_run(table, next, start);
	CHECK_FALSE(clear_crashes(table, next, policy, start + millis{1'500})); // less than twice the age at the crash
	CHECK(clear_crashes(table, next, policy, start + millis{1'600}));
	CHECK(crashes_of(table, some_task) == 0);
	CHECK(task_suspicion(*find_job(table, some_task.job), some_task) == suspicion::none);
}

TEST_CASE("a task that crashes its worker some time after each start is given up, too", "[jobs]")
{
	auto table = table_of({group_of(1, 100)});
	CHECK(crash_under(table, some_task, "w1", millis{4'000}) == end_effect::recorded);
	CHECK(crash_under(table, some_task, "w2", millis{4'000}) == end_effect::recorded);
	CHECK(crash_under(table, some_task, "w3", millis{4'000}) == end_effect::recorded);
	CHECK(crash_under(table, some_task, "w4", millis{4'000}) == end_effect::job_over);
}

TEST_CASE("a crash does not count against a run that cannot have caused it", "[jobs]")
{
	auto table = table_of({group_of(1, 100)});
	SECTION("the run had been on the worker for a long time")
	{
		(void)crash_under(table, some_task, "w1", millis{10'001});
	}
	SECTION("the run was ordered long after the worker's last response")
	{
		(void)crash_under(table, some_task, "w1", millis{-1'001});
	}
	SECTION("the worker did not crash")
	{
		(void)assign(table, some_task, worker_incarnation{"w1"}, start);
		const lost_worker left{worker_incarnation{"w1"}, start};
		for (const auto& lost : collect_lost_runs(table, left, false, policy))
			CHECK(record_lost_run(table, lost, left.incarnation, policy, start) == end_effect::recorded);
	}
	SECTION("the worker is still alive")
	{
		(void)crash_under(table, some_task, "w1", millis{0});
		CHECK(retract_crash(table, some_task, worker_incarnation{"w1"}));
		CHECK_FALSE(retract_crash(table, some_task, worker_incarnation{"w1"}));
	}
	CHECK(crashes_of(table, some_task) == 0);
	CHECK(find_task(table, some_task)->phase == task_stage::waiting);
}

TEST_CASE("if a task was started alone, only that task is blamed", "[jobs]")
{
	auto table = table_of({group_of(2, 100)});
	const task_key bystander{job_id{"a"}, 0, 0, 1};
	(void)crash_under(table, some_task, "w1", millis{0});
	(void)crash_under(table, some_task, "w2", millis{0});
	(void)assign(table, bystander, worker_incarnation{"w3"}, start - millis{2'000});
	CHECK(crash_under(table, some_task, "w3", millis{0}) == end_effect::job_over);
	CHECK(crashes_of(table, bystander) == 0);
}

TEST_CASE("a gang counts one crash for each of its runs", "[jobs]")
{
	auto table = table_of({gang_of(3, 100)});
	for (std::uint32_t i = 0; i < 3; ++i)
		(void)assign(table, {job_id{"a"}, 0, 0, i}, worker_incarnation{i == 0 ? "w1" : "w2"}, start);
	for (const auto* incarnation : {"w1", "w2"})
	{
		const lost_worker worker{worker_incarnation{incarnation}, start};
		for (const auto& lost : collect_lost_runs(table, worker, true, policy))
			(void)record_lost_run(table, lost, worker.incarnation, policy, start);
	}
	for (std::uint32_t i = 0; i < 3; ++i)
		CHECK(crashes_of(table, {job_id{"a"}, 0, 0, i}) == 1);
}

TEST_CASE("the crash record of a task is kept across a change of owner", "[jobs]")
{
	auto table = table_of({group_of(1, 100)});
	(void)crash_under(table, some_task, "w1", millis{300});
	(void)crash_under(table, some_task, "w2", millis{0});
	(void)assign(table, some_task, worker_incarnation{"w3"}, start);
	auto successor = job_of("a", {group_of(1, 100)});
	REQUIRE(decode_progress(successor, encode_progress(*find_job(table, some_task.job)), start).ok());
	CHECK(successor.tasks[0].worker == worker_incarnation{"w3"});
	CHECK(successor.tasks[0].crashes.workers == std::vector{worker_incarnation{"w1"}, worker_incarnation{"w2"}});
	CHECK(successor.tasks[0].crashes.max_age == millis{300});
	job_table next;
	add_job(next, std::move(successor));
	// The new owner does not know the time of the order.
	const lost_worker worker{worker_incarnation{"w3"}, std::nullopt};
	for (const auto& lost : collect_lost_runs(next, worker, true, policy))
		CHECK(record_lost_run(next, lost, worker.incarnation, policy, start) == end_effect::job_over);
}

TEST_CASE("suspected tasks start on different workers, where the loss is smallest", "[jobs]")
{
	auto table = table_of({group_of(2, 500)});
	add_job(table, job_of("b", {group_of(1, 4'000)}));
	(void)assign(table, {job_id{"b"}, 0, 0, 0}, worker_incarnation{"w1"}, start);
	for (std::uint32_t i = 0; i < 2; ++i)
		(void)assign(table, {job_id{"a"}, 0, 0, i}, worker_incarnation{"w0"}, start);
	const lost_worker worker{worker_incarnation{"w0"}, start};
	for (const auto& lost : collect_lost_runs(table, worker, true, policy))
		(void)record_lost_run(table, lost, worker.incarnation, policy, start);
	std::vector<worker_room> rooms{room_of("w1"), room_of("w2"), room_of("w3")};
	const auto placed = place(rooms, table);
	REQUIRE(placed.size() == 2);
	CHECK(placed[0].worker != placed[1].worker);
	CHECK(placed[0].worker != 0);
	CHECK(placed[1].worker != 0);
}

TEST_CASE("a likely cause of crashes starts without any other task beside it, and not beside a suspected one", "[jobs]")
{
	auto table = table_of({group_of(1, 500)});
	(void)crash_under(table, some_task, "w8", millis{0});
	(void)crash_under(table, some_task, "w9", millis{0});
	add_job(table, job_of("b", {group_of(8, 1'000)}));
	SECTION("while it waits to be placed")
	{
		std::vector<worker_room> rooms{room_of("w1"), room_of("w2")};
		rooms[0].suspect_runs = 1;
		const auto placed = place(rooms, table);
		const auto likely = std::find_if(placed.begin(), placed.end(),
										 [](const placement& decision) { return decision.task == some_task; });
		REQUIRE(likely != placed.end());
		CHECK(likely->worker == 1);
		CHECK(std::count_if(likely, placed.end(), [](const placement& decision) { return decision.worker == 1; }) == 1);
	}
	SECTION("while it runs")
	{
		(void)assign(table, some_task, worker_incarnation{"w1"}, start);
		std::vector<worker_room> rooms{room_of("w1"), room_of("w2")};
		for (const auto& decision : place(rooms, table))
			CHECK(decision.worker == 1);
	}
}

TEST_CASE("tasks that must start alone reserve at least one worker and at most a fixed share of all workers", "[jobs]")
{
	// Guards against counting the rooms of crashed incarnations as reserved: they stay in the list for a while, and
	// no other worker was reserved for tasks that must start alone.
	const auto placed_on = [](std::size_t workers)
	{
		auto table = table_of({group_of(8, 500)});
		for (std::uint32_t i = 0; i < 8; ++i)
			for (const auto* incarnation : {"w8", "w9"})
				(void)crash_under(table, {job_id{"a"}, 0, 0, i}, incarnation, millis{0});
		std::vector<worker_room> rooms;
		for (std::size_t i = 0; i < workers; ++i)
			rooms.push_back(room_of("w" + std::to_string(i)));
		for (const auto* gone : {"gone1", "gone2", "gone3", "gone4", "gone5", "gone6"})
		{
			rooms.push_back(room_of(gone));
			rooms.back().accepts = false;
			rooms.back().reserved = true;
		}
		return place(rooms, table).size();
	};
	CHECK(placed_on(1) == 1);
	CHECK(placed_on(3) == 1);
	CHECK(placed_on(11) == 3);
	CHECK(placed_on(24) == 6);
}

TEST_CASE("the limit per worker holds for a group in which only some tasks are suspected", "[jobs]")
{
	// Guards against two searches in one placement round: after a crash, suspected and other tasks were placed
	// separately, and the second search did not see the placements of the first. Both tasks started on one worker whose
	// limit was one.
	auto group = group_of(2, 500);
	group.per_worker_limit = 1;
	auto table = table_of({group});
	(void)crash_under(table, some_task, "w9", millis{0});
	std::vector<worker_room> rooms{room_of("w1")};
	CHECK(place(rooms, table).size() == 1);
}
