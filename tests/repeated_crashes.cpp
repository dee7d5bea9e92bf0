// SPDX-License-Identifier: MIT
/// \file
/// \brief Tests of tasks under which one worker crashes repeatedly, in several incarnations under its id.
///
/// Guards against holding back a harmless long-running task for many seconds because the worker on which it is started
/// again each time crashes for reasons of its own.
#include "job_fixtures.hpp"

#include <trailjunction/jobs/held_tasks.hpp>

#include <catch2/catch.hpp>

using namespace trailjunction;
using namespace trailjunction::job_fixtures;

namespace
{
	constexpr crash_policy policy{};
	const task_key some_task{job_id{"a"}, 0, 0, 0};

	worker_incarnation incarnation_of(const std::string& id, int number)
	{
		return worker_incarnation{id, worker_start_time{static_cast<std::uint64_t>(number)}};
	}

	job_table table_of_long_running_task()
	{
		job_table table;
		auto group = group_of(1, 500);
		group.long_running = true;
		add_job(table, job_of("a", {group}));
		return table;
	}

	/// Starts the task at \p now and crashes its worker after \p age.
	end_effect crash_under(job_table& table, const worker_incarnation& incarnation, instant now, millis age)
	{
		(void)assign(table, some_task, incarnation, now);
		const lost_worker worker{incarnation, now + age};
		(void)record_worker_crash(table, worker, policy);
		auto effect = end_effect::ignored;
		for (const auto& lost : collect_lost_runs(table, worker, true, policy))
			effect = record_lost_run(table, lost, worker.incarnation, policy, now + age);
		return effect;
	}

	/// Crashes one worker several times, each some seconds after the task was started there.
	void crash_repeatedly(job_table& table, const std::string& id, int times)
	{
		for (int i = 0; i < times; ++i)
			(void)crash_under(table, incarnation_of(id, i), start, millis{4'000});
	}

	worker_room room_of_incarnation(const std::string& id, int number, std::int64_t cpu = 8'000)
	{
		auto out = room_of(id, cpu);
		out.incarnation = incarnation_of(id, number);
		return out;
	}

	std::vector<placement> place_at(std::vector<worker_room>& rooms, const job_table& table, instant now)
	{
		const placement_policy placing;
		const pressure_model pressures;
		return place_tasks(rooms, table, waiting_tasks(table, 0), pressures, placing, {now, 0});
	}
}

TEST_CASE("a long-running task is not held back after four crashes of one worker", "[jobs]")
{
	auto table = table_of_long_running_task();
	auto now = start;
	for (const int age_ms : {6'370, 4'084, 4'190, 3'760})
	{
		const millis age{age_ms};
		CHECK(crash_under(table, incarnation_of("w1", age_ms), now, age) == end_effect::recorded);
		now += age;
	}
	CHECK(crash_under(table, incarnation_of("w1", 5), now, millis{4'000}) == end_effect::held_back);
}

TEST_CASE("a task that ends by itself is given up after five crashes of one worker, or three prompt ones", "[jobs]")
{
	struct example
	{
		millis age;
		int starts;
	};
	const auto wanted = GENERATE(example{millis{0}, 3}, example{millis{4'000}, 5});
	job_table table;
	add_job(table, job_of("a", {group_of(1, 500)}));
	for (int i = 1; i < wanted.starts; ++i)
		CHECK(crash_under(table, incarnation_of("w1", i), start, wanted.age) == end_effect::recorded);
	CHECK(crash_under(table, incarnation_of("w1", wanted.starts), start, wanted.age) == end_effect::job_over);
}

TEST_CASE("a task that crashes its only worker at once starts five times in a minute", "[jobs]")
{
	auto table = table_of_long_running_task();
	int starts = 0;
	for (auto now = start; now < start + std::chrono::minutes{1}; now += millis{100})
	{
		(void)release_held_back(table, policy, now);
		std::vector rooms{room_of_incarnation("w1", starts)};
		if (place_at(rooms, table, now).empty())
			continue;
		(void)crash_under(table, incarnation_of("w1", starts++), now, millis{0});
	}
	CHECK(starts == 5);
}

TEST_CASE("a task starts on another worker after one has crashed under it twice", "[jobs]")
{
	auto table = table_of_long_running_task();
	std::vector rooms{room_of_incarnation("w1", 2), room_of_incarnation("w2", 0)};
	rooms[1].claimed.cpu_milli = 7'000; // batch tasks prefer the worker with the fewest claims
	SECTION("but not after one crash")
	{
		crash_repeatedly(table, "w1", 1);
		const auto placed = place_at(rooms, table, start + millis{4'000});
		REQUIRE(placed.size() == 1);
		CHECK(placed[0].worker == 0);
	}
	SECTION("although the first one has more room")
	{
		crash_repeatedly(table, "w1", 2);
		const auto placed = place_at(rooms, table, start + millis{4'000});
		REQUIRE(placed.size() == 1);
		CHECK(placed[0].worker == 1);
	}
	SECTION("and waits for it for a limited time if it has no room")
	{
		crash_repeatedly(table, "w1", 2);
		rooms[1].claimed.cpu_milli = 8'000;
		const auto since = start + millis{4'000};
		CHECK(place_at(rooms, table, since + policy.avoid_worker_timeout - millis{1}).empty());
		const auto placed = place_at(rooms, table, since + policy.avoid_worker_timeout);
		REQUIRE(placed.size() == 1);
		CHECK(placed[0].worker == 0);
	}
}

TEST_CASE("a task that avoids a worker does not keep other tasks of its group from it", "[jobs]")
{
	job_table table;
	auto group = group_of(2, 500);
	group.long_running = true;
	add_job(table, job_of("a", {group}));
	crash_repeatedly(table, "w1", 2);
	std::vector rooms{room_of_incarnation("w1", 2)};
	const auto placed = place_at(rooms, table, start + millis{4'000});
	REQUIRE(placed.size() == 1);
	CHECK(placed[0].task.index == 1);
}
