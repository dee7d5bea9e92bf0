// SPDX-License-Identifier: MIT
/// \file
/// \brief Tests of an agent whose worker's capacity changes while start orders are in flight.
#include "run_manager_fixture.hpp"

using namespace trailjunction;
using namespace trailjunction::run_manager_fixture;

namespace
{
	void report_capacity(fixture& test, std::int64_t cpu_milli)
	{
		auto next = heartbeat_of("life-1");
		next.capacity.cpu_milli = cpu_milli;
		next.sequence = 1;
		test.runs.on_heartbeat(next);
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

TEST_CASE("a start that exceeds a shrunk worker's capacity is refused without asking the worker", "[jobs]")
{
	fixture test;
	report_capacity(test, 400);
	test.order_start(false, 500);
	REQUIRE(test.run_until_reported());
	REQUIRE(test.refused.size() == 1);
	CHECK(test.refused[0].why == wire::start_refusal::refused_no_room);
	CHECK(test.script.starts == 0);
	report_capacity(test, 500);
	test.runs.start(start_of(7, 500));
	REQUIRE(test.run_until([&] { return test.script.starts == 1; }));
}

TEST_CASE("a repeated start that does not fit is resolved by a stop", "[jobs]")
{
	// The first order may have been executed while there was room.
	fixture test;
	report_capacity(test, 400);
	std::int64_t clock_ms = 1'000;
	test.script.on_list = [&]
	{
		return listing_result{{order_outcome::done, clock_ms}, {}};
	};
	test.order_start(true, 500);
	REQUIRE(test.run_until([&] { return test.script.stops > 0; }));
	const auto listings = test.script.listings;
	REQUIRE(test.run_until([&] { return test.script.listings > listings + 50; }));
	// Whoever sent the first order may have sent it just before.
	CHECK(test.runs.report(false).refused.empty());
	clock_ms += 5'000;
	REQUIRE(test.run_until_reported());
	CHECK(test.refused.size() == 1);
	CHECK(test.script.starts == 0);
	CHECK(test.script.last_stopped == some_run);
}

TEST_CASE("runs that are ordered, running or being stopped occupy room, and ended ones do not", "[jobs]")
{
	fixture test;
	report_capacity(test, 1'000);
	const task_run first{{job_id{"00000000000000b1"}, 0, 0, 0}, 1};
	std::vector<listed_run> running;
	std::vector<listed_end> ended;
	test.script.on_list = [&]
	{
		return listing_result{{order_outcome::done, 1'000}, {running, ended}};
	};
	test.runs.start(start_of(0, 600));
	test.runs.start(start_of(1, 600)); // while another run is being ordered
	REQUIRE(test.run_until([&] { return test.script.starts == 1; }));
	test.runs.start(start_of(2, 600)); // while another run is confirmed but not listed
	running = {{first, "", 0, 0}};
	const auto lists = test.script.listings;
	REQUIRE(test.run_until([&] { return test.script.listings > lists + 4; }));
	wire::job_stop stop;
	stop.what = to_wire(first);
	stop.worker = "life-1";
	test.runs.stop(stop);
	REQUIRE(test.run_until([&] { return test.script.stops == 1; }));
	test.runs.start(start_of(3, 600)); // while another run is being stopped
	const auto seen = test.script.listings;
	REQUIRE(test.run_until([&] { return test.script.listings > seen + 4; }));
	CHECK(test.script.starts == 1);
	running.clear();
	ended = {{1, first, run_outcome::stopped, ""}};
	const auto again = test.script.listings;
	REQUIRE(test.run_until([&] { return test.script.listings > again + 2; }));
	test.runs.start(start_of(4, 600));
	CHECK(test.run_until([&] { return test.script.starts == 2; }));
}

TEST_CASE("an agent without recent heartbeats of its worker starts nothing that occupies room", "[jobs]")
{
	// The agent was paused or suspended, and its worker's capacity may have shrunk meanwhile.
	fixture test;
	simulate_suspension(millis{3'500});
	test.order_start(false, 500);
	REQUIRE(test.run_until_reported());
	CHECK(test.refused.size() == 1);
	CHECK(test.script.starts == 0);
}
