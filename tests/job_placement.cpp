// SPDX-License-Identifier: MIT
/// \file
/// \brief Tests of place_tasks(); pure functions, no process.
#include "job_fixtures.hpp"

#include <catch2/catch.hpp>

using namespace trailjunction;
using namespace trailjunction::job_fixtures;

TEST_CASE("no worker is assigned more than its capacity, nor tasks that it may not run", "[jobs]")
{
	job_table table;
	add_job(table, job_of("a", {group_of(20, 1'000)}));
	std::vector<worker_room> rooms{room_of("w1"), room_of("w2"), room_of("w3"), room_of("w4")};
	rooms[2].accepts = false;
	rooms[3].service = service_id{"other"};
	const auto placed = place(rooms, table);
	CHECK(placed.size() == 16);
	for (const auto& assignment : placed)
		CHECK(assignment.worker < 2);
}

TEST_CASE("per-worker limits, required labels and gangs are respected", "[jobs]")
{
	job_table table;
	auto limited = group_of(3, 100);
	limited.per_worker_limit = 1;
	add_job(table, job_of("a", {limited}));
	auto labelled = group_of(1, 100);
	labelled.required_label = "b";
	add_job(table, job_of("b", {labelled}));
	auto gang = group_of(3, 6'000);
	gang.gang = true;
	add_job(table, job_of("c", {gang}));
	std::vector<worker_room> rooms{room_of("w1"), room_of("w2")};
	rooms[1].labels = {"b"};
	const auto placed = place(rooms, table);
	CHECK(placed.size() == 3); // two of the three limited tasks, the labelled one, and no member of the gang
	for (const auto& assignment : placed)
		CHECK((assignment.task.job != job_id{"b"} || assignment.worker == 1));
}

TEST_CASE("serving tasks are packed, and fillers are placed on workers without them", "[jobs]")
{
	job_table table;
	auto serving = group_of(2, 2'000);
	serving.long_running = true;
	serving.latency_target = millis{20};
	serving.image = "s";
	add_job(table, job_of("a", {serving}));
	auto filler = group_of(1, 2'000);
	filler.filler = true;
	filler.image = "f";
	add_job(table, job_of("b", {filler}));
	std::vector<worker_room> rooms{room_of("w1"), room_of("w2")};
	const auto placed = place(rooms, table);
	REQUIRE(placed.size() == 3);
	CHECK(placed[0].worker == placed[1].worker);
	CHECK(placed[2].worker != placed[0].worker);
}

TEST_CASE("a job that can still be in time precedes one that cannot", "[jobs]")
{
	job_table table;
	auto late = job_of("a", {group_of(1, 8'000)});
	late.accepted_at = start - millis{60'000};
	add_job(table, std::move(late));
	add_job(table, job_of("b", {group_of(1, 8'000)}));
	std::vector<worker_room> rooms{room_of("w1")};
	const auto placed = place(rooms, table);
	REQUIRE(placed.size() == 1);
	CHECK(placed[0].task.job == job_id{"b"});
}

TEST_CASE("of jobs that can be in time, the one with the least remaining work for its value is first", "[jobs]")
{
	job_table table;
	auto large = job_of("a", {group_of(4, 8'000)});
	large.accepted_at = start - millis{200}; // has the least slack but can still be in time
	add_job(table, std::move(large));
	add_job(table, job_of("b", {group_of(2, 8'000)}));
	std::vector<worker_room> rooms{room_of("w1")};
	const auto first = place(rooms, table);
	REQUIRE(first.size() == 1);
	CHECK(first[0].task.job == job_id{"b"});

	// Once all but one of its tasks are done, the large job has less remaining work.
	for (std::uint32_t i = 0; i < 3; ++i)
		end_run(table, assign(table, {job_id{"a"}, 0, 0, i}, worker_incarnation{"w1"}, start - millis{1'000}),
				run_outcome::done, "", start); // each run took as long as estimated
	rooms = {room_of("w1")};
	const auto second = place(rooms, table);
	REQUIRE(second.size() == 1);
	CHECK(second[0].task.job == job_id{"a"});
}

TEST_CASE("the age of an occurrence is counted from its due time", "[jobs]")
{
	job_table table;
	auto repeated = job_of("a", {group_of(1, 8'000)});
	repeated.spec.repeated = true;
	repeated.spec.first_due_ms = 100'000;
	repeated.accepted_at = start - std::chrono::seconds{60}; // long before the due time
	add_job(table, std::move(repeated));
	add_job(table, job_of("b", {group_of(2, 8'000)}));
	const pressure_model pressures;
	const auto first_placed = [&](std::int64_t unix_ms)
	{
		std::vector<worker_room> rooms{room_of("w1")};
		const auto placed =
			place_tasks(rooms, table, waiting_tasks(table, unix_ms), pressures, placement_policy{}, {start, unix_ms});
		return placed.at(0).task.job;
	};
	CHECK(first_placed(100'200) == job_id{"a"});
	CHECK(first_placed(160'000) == job_id{"b"}); // the occurrence is hopeless
}

TEST_CASE("a filler is placed beside serving tasks it does not slow down, and waits rather than harm others", "[jobs]")
{
	auto serving = group_of(1, 4'000);
	serving.long_running = true;
	serving.latency_target = millis{20};
	serving.image = "calm";
	auto sensitive = serving;
	sensitive.image = "touchy";
	auto filler = group_of(1, 3'000);
	filler.filler = true;
	filler.image = "f";
	job_table table;
	add_job(table, job_of("a", {serving}));
	add_job(table, job_of("b", {sensitive}));
	add_job(table, job_of("c", {filler}));
	assign(table, {job_id{"a"}, 0, 0, 0}, worker_incarnation{"w1"}, start);
	assign(table, {job_id{"b"}, 0, 0, 0}, worker_incarnation{"w2"}, start);
	std::vector<worker_room> rooms{room_of("w1"), room_of("w2")};
	pressure_model pressures;
	pressures.pairs[make_image_pair("calm", "f")] = {0.0, 0.001, start};
	pressures.pairs[make_image_pair("touchy", "f")] = {0.4, 0.001, start};
	const placement_policy policy;
	const auto place_by = [&](std::vector<worker_room> on)
	{
		charge_workers(on, table, pressures, policy);
		return place_tasks(on, table, waiting_tasks(table, 0), pressures, policy, {start, 0});
	};
	const auto placed = place_by(rooms);
	REQUIRE(placed.size() == 1);
	CHECK(placed[0].worker == 0);
	rooms[0].accepts = false;
	CHECK(place_by(rooms).empty());
	pressures.pairs[make_image_pair("touchy", "f")].mean = 0.05;
	CHECK(place_by(rooms).size() == 1);
	find_job(table, job_id{"c"})->accepted_at = start - std::chrono::seconds{30}; // the job is late
	find_task(table, {job_id{"c"}, 0, 0, 0})->phase_since = start; // but not starving: a run has just ended
	pressures.pairs[make_image_pair("touchy", "f")].mean = 0.2;
	CHECK(place_by(rooms).empty());
	find_job(table, job_id{"c"})->accepted_at = start; // the job has time left
	CHECK(place_by(rooms).empty());
	// The work takes 1 s and is due 1,750 ms after submission.
	find_job(table, job_id{"c"})->accepted_at = start - millis{500};
	CHECK(place_by(rooms).size() == 1);
}

// On a simulated day of the large fleet without incidents, merge jobs earned 0.99 of their value and the serving tasks
// beside them only 0.65.
TEST_CASE("a filler may do more harm the less time its job has left, and less once the job is late", "[jobs]")
{
	auto serving = group_of(1, 4'000);
	serving.long_running = true;
	serving.latency_target = millis{20};
	serving.image = "s";
	auto filler = group_of(1, 3'000);
	filler.filler = true;
	filler.image = "f";
	job_table table;
	add_job(table, job_of("a", {serving}));
	add_job(table, job_of("b", {filler}));
	assign(table, {job_id{"a"}, 0, 0, 0}, worker_incarnation{"w1"}, start);
	const placement_policy policy;
	// The highest pressure at which the filler is still placed beside the serving task.
	const auto max_accepted_pressure = [&](millis age)
	{
		find_job(table, job_id{"b"})->accepted_at = start - age;
		find_task(table, {job_id{"b"}, 0, 0, 0})->phase_since = start; // not starving
		double out = 0.0;
		for (double pressure = 0.0; pressure < 0.5; pressure += 0.01)
		{
			pressure_model pressures;
			pressures.pairs[make_image_pair("s", "f")] = {pressure, 0.001, start};
			std::vector<worker_room> rooms{room_of("w1")};
			charge_workers(rooms, table, pressures, policy);
			if (!place_tasks(rooms, table, waiting_tasks(table, 0), pressures, policy, {start, 0}).empty())
				out = pressure;
		}
		return out;
	};
	const auto low_urgency = max_accepted_pressure(millis{0});
	const auto medium_urgency = max_accepted_pressure(millis{200});
	const auto high_urgency = max_accepted_pressure(millis{700});
	CHECK(low_urgency > 0.0);
	CHECK(low_urgency < medium_urgency);
	CHECK(medium_urgency < high_urgency);
	CHECK(max_accepted_pressure(millis{2'000}) < high_urgency);
}

TEST_CASE("serving tasks of one image are placed together, even if another worker has more of other images", "[jobs]")
{
	auto serving = group_of(2, 2'000);
	serving.long_running = true;
	serving.latency_target = millis{20};
	serving.image = "a";
	auto single = serving;
	single.count = 1;
	single.image = "b";
	job_table table;
	add_job(table, job_of("a", {serving}));
	add_job(table, job_of("b", {single}));
	assign(table, {job_id{"a"}, 0, 0, 0}, worker_incarnation{"w1"}, start);
	assign(table, {job_id{"a"}, 0, 0, 1}, worker_incarnation{"w1"}, start);
	assign(table, {job_id{"b"}, 0, 0, 0}, worker_incarnation{"w2"}, start);
	add_job(table, job_of("c", {single}));
	std::vector<worker_room> rooms{room_of("w1"), room_of("w2")};
	const pressure_model pressures;
	charge_workers(rooms, table, pressures, placement_policy{});
	const auto placed = place_tasks(rooms, table, waiting_tasks(table, 0), pressures, placement_policy{}, {start, 0});
	REQUIRE(placed.size() == 1);
	CHECK(placed[0].worker == 1);
}

namespace
{
	/// Two serving tasks on w1, and waiting fillers.
	struct pressed_worker
	{
		explicit pressed_worker(std::uint32_t fillers)
		{
			auto serving = group_of(2, 2'000);
			serving.long_running = true;
			serving.latency_target = millis{20};
			serving.image = "s";
			add_job(table, job_of("a", {serving}));
			assign(table, {job_id{"a"}, 0, 0, 0}, worker_incarnation{"w1"}, start);
			assign(table, {job_id{"a"}, 0, 0, 1}, worker_incarnation{"w1"}, start);
			auto filler = group_of(fillers, 1'000);
			filler.filler = true;
			filler.image = "f";
			add_job(table, job_of("b", {filler}));
			find_job(table, job_id{"b"})->accepted_at = start;
		}

		std::size_t place_at(instant now)
		{
			std::vector<worker_room> rooms{room_of("w1")};
			charge_workers(rooms, table, pressures, placement_policy{});
			return place_tasks(rooms, table, waiting_tasks(table, 0), pressures, placement_policy{}, {now, 0}).size();
		}

		job_table table;
		pressure_model pressures;
	};
}

TEST_CASE("a filler job without a running task for long gets one place regardless of the harm", "[jobs]")
{
	pressed_worker scenario{6};
	scenario.pressures.pairs[make_image_pair("s", "f")] = {1.0, 0.001, start};
	CHECK(scenario.place_at(start + millis{500}) == 0);
	CHECK(scenario.place_at(start + millis{2'500}) == 1);
	add_job(scenario.table, job_of("c", {group_of(1, 1'000)}));
	assign(scenario.table, {job_id{"c"}, 0, 0, 0}, worker_incarnation{"w1"}, start);
	CHECK(scenario.place_at(start + millis{2'500}) == 0); // too much is claimed
	end_run(scenario.table, {{job_id{"c"}, 0, 0, 0}, 1}, run_outcome::done, "", start);
	assign(scenario.table, {job_id{"b"}, 0, 0, 3}, worker_incarnation{"w1"}, start);
	CHECK(scenario.place_at(start + millis{2'500}) == 0); // one task of the job runs
}

TEST_CASE("a filler is placed with regard to serving tasks placed in the same round", "[jobs]")
{
	auto serving = group_of(1, 4'000);
	serving.long_running = true;
	serving.latency_target = millis{20};
	serving.image = "touchy";
	auto filler = group_of(1, 3'000);
	filler.filler = true;
	filler.image = "f";
	job_table table;
	add_job(table, job_of("a", {serving}));
	add_job(table, job_of("b", {filler}));
	std::vector<worker_room> rooms{room_of("w1")};
	pressure_model pressures;
	pressures.pairs[make_image_pair("touchy", "f")] = {0.4, 0.001, start};
	const placement_policy policy;
	charge_workers(rooms, table, pressures, policy);
	const auto placed = place_tasks(rooms, table, waiting_tasks(table, 0), pressures, policy, {start, 0});
	REQUIRE(placed.size() == 1);
	CHECK(placed[0].task.job == job_id{"a"});
}

TEST_CASE("a gang that prefers one rack is placed in one where it fits, and on any workers otherwise", "[jobs]")
{
	auto group = gang_of(3, 4'000);
	group.same_rack = true;
	job_table table;
	add_job(table, job_of("a", {group}));
	std::vector<worker_room> rooms{room_of("w0", 4'000), room_of("w1"), room_of("w2"), room_of("w3", 4'000)};
	const char* racks[] = {"r1", "r2", "r2", "r1"};
	for (std::size_t i = 0; i < rooms.size(); ++i)
		rooms[i].labels = {"kind", racks[i]};
	for (const auto& assignment : place(rooms, table))
		CHECK(rooms[assignment.worker].labels[1] == "r2");
	rooms[2].accepts = false;
	rooms[1].claimed = {};
	CHECK(place(rooms, table).size() == 3);
}

TEST_CASE("requirements that no worker met are not tried again in a round, but each starving job gets a place",
		  "[jobs]")
{
	// As in a burst: fillers whose pressure is so high that no worker with serving tasks may take them.
	auto serving = group_of(1, 2'000);
	serving.long_running = true;
	serving.latency_target = millis{20};
	serving.image = "touchy";
	auto filler = group_of(3, 8'000);
	filler.filler = true;
	filler.image = "f";
	job_table table;
	add_job(table, job_of("a", {serving}));
	const auto run = assign(table, {job_id{"a"}, 0, 0, 0}, worker_incarnation{"w1"}, start);
	confirm_run(table, run, start);
	add_job(table, job_of("b", {filler}));
	add_job(table, job_of("c", {filler}));
	pressure_model pressures;
	pressures.pairs[make_image_pair("touchy", "f")] = {1.0, 0.001, start};
	const placement_policy policy;
	const auto place_at = [&](instant now)
	{
		std::vector<worker_room> rooms{room_of("w1")};
		charge_workers(rooms, table, pressures, policy);
		return place_tasks(rooms, table, waiting_tasks(table, 0), pressures, policy, {now, 0});
	};
	CHECK(place_at(start).empty());
	const auto placed = place_at(start + millis{2'000}); // both jobs are starving
	REQUIRE(placed.size() == 2);
	CHECK(placed[0].task.job != placed[1].task.job);
}
