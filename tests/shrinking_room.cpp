// SPDX-License-Identifier: MIT
/// \file
/// \brief Workers whose room shrinks and grows while orders are on their way.
#include "run_keeper_scene.hpp"

using namespace trailjunction;
using namespace trailjunction::run_keeper_scene;

namespace
{
	void say_room(scene& it, std::int64_t cpu_milli)
	{
		auto next = heartbeat_of("life-1");
		next.capacity.cpu_milli = cpu_milli;
		next.sequence = 1;
		it.runs.worker_seen(next);
	}

	wire::job_start start_of(std::uint32_t index, std::int64_t cpu_milli)
	{
		wire::job_start order;
		order.what = to_wire(task_run{{job_id{"00000000000000b1"}, 0, 0, index}, 1});
		order.worker = "life-1";
		order.claim.cpu_milli = cpu_milli;
		return order;
	}
}

TEST_CASE("a start that does not fit a room which has shrunk is refused, and the worker is not asked", "[jobs]")
{
	scene it;
	say_room(it, 400);
	it.order_start(false, 500);
	REQUIRE(it.run_until_told());
	REQUIRE(it.refused.size() == 1);
	CHECK(it.refused[0].why == wire::start_refusal::refused_no_room);
	CHECK(it.lines.starts == 0);
	say_room(it, 500);
	it.runs.start(start_of(7, 500));
	REQUIRE(it.run_until([&] { return it.lines.starts == 1; }));
}

TEST_CASE("a repeated start that does not fit is settled by a stop", "[jobs]")
{
	// The order before may have been carried out, while there was room.
	scene it;
	say_room(it, 400);
	it.order_start(true, 500);
	REQUIRE(it.run_until_told());
	CHECK(it.refused.size() == 1);
	CHECK(it.lines.starts == 0);
	CHECK(it.lines.stopped == some_run);
}

TEST_CASE("what was ordered, runs or is being stopped takes its room, and what has ended does not", "[jobs]")
{
	scene it;
	say_room(it, 1'000);
	const task_run first{{job_id{"00000000000000b1"}, 0, 0, 0}, 1};
	std::vector<listed_run> running;
	std::vector<listed_end> ended;
	it.lines.on_list = [&]
	{
		return listing_result{{order_end::done, 1'000}, {running, ended}};
	};
	it.runs.start(start_of(0, 600));
	it.runs.start(start_of(1, 600)); // beside one that is being ordered
	REQUIRE(it.run_until([&] { return it.lines.starts == 1; }));
	it.runs.start(start_of(2, 600)); // beside one that is confirmed and not listed
	running = {{first, "", 0, 0}};
	const auto lists = it.lines.lists;
	REQUIRE(it.run_until([&] { return it.lines.lists > lists + 4; }));
	wire::job_stop stop;
	stop.what = to_wire(first);
	stop.worker = "life-1";
	it.runs.stop(stop);
	REQUIRE(it.run_until([&] { return it.lines.stops == 1; }));
	it.runs.start(start_of(3, 600)); // beside one that is being stopped
	const auto seen = it.lines.lists;
	REQUIRE(it.run_until([&] { return it.lines.lists > seen + 4; }));
	CHECK(it.lines.starts == 1);
	running.clear();
	ended = {{1, first, run_outcome::stopped, ""}};
	const auto again = it.lines.lists;
	REQUIRE(it.run_until([&] { return it.lines.lists > again + 2; }));
	it.runs.start(start_of(4, 600));
	CHECK(it.run_until([&] { return it.lines.starts == 2; }));
}

TEST_CASE("an agent that has not heard its worker's heartbeats for long starts nothing that takes room", "[jobs]")
{
	// It was paused or suspended, and its worker's room may have shrunk meanwhile.
	scene it;
	pretend_suspension(millis{3'500});
	it.order_start(false, 500);
	REQUIRE(it.run_until_told());
	CHECK(it.refused.size() == 1);
	CHECK(it.lines.starts == 0);
}
