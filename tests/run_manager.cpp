// SPDX-License-Identifier: MIT
/// \file
/// \brief Tests of run_manager with a worker whose answers the test scripts.
#include "run_manager_fixture.hpp"

using namespace trailjunction;
using namespace trailjunction::run_manager_fixture;

TEST_CASE("while a serving task tolerates no filler, new fillers are stopped at once and the owner is told", "[jobs]")
{
	// Guards against harm to serving tasks, found on quiet-1 of Sirr, seed 2: fillers that lasted one second each
	// followed one another, and each worked at full pace until the previous pace change was old enough for another one.
	fixture test;
	const auto start = [&](std::uint32_t index, bool filler)
	{
		wire::job_start order;
		order.what = to_wire(task_run{{job_id{"00000000000000b1"}, 0, 0, index}, 1});
		order.worker = "life-1";
		order.filler = filler;
		order.latency_target_ms = filler ? 0 : 20;
		order.image = filler ? "f" : "s";
		test.runs.start(std::move(order));
		return task_run{{job_id{"00000000000000b1"}, 0, 0, index}, 1};
	};
	std::vector<listed_run> running;
	test.script.on_list = [&]
	{
		return listing_result{{order_outcome::done, 1'000}, {running, {}}};
	};
	const auto serving = start(0, false);
	const auto first = start(1, true);
	running = {{serving, "", 100, 40}, {first, "", 10, 3'000}};
	REQUIRE(test.run_until([&] { return test.script.paces.contains(first) && test.script.paces[first] == 0; }));
	CHECK(test.runs.report(false).pace_percent == 0);
	running.pop_back(); // the filler has ended; another one starts
	const auto listings_before = test.script.listings;
	REQUIRE(test.run_until([&] { return test.script.listings > listings_before + 2; }));
	CHECK(test.runs.report(false).pace_percent == 0);
	const auto second = start(2, true);
	running.push_back({second, "", 0, 3'000});
	const auto listings_at_start = test.script.listings;
	REQUIRE(test.run_until([&] { return test.script.paces.contains(second); }));
	CHECK(test.script.paces[second] == 0);
	CHECK(test.script.listings - listings_at_start <= 4);
	running = {{serving, "", 100, 4}};
	CHECK(test.run_until([&] { return test.runs.report(false).pace_percent == 100; }));
}

TEST_CASE("a filler with pace 0 is stopped, once, if it can resume on another worker", "[jobs]")
{
	fixture test;
	const auto start = [&](std::uint32_t index, bool filler, bool movable)
	{
		task_run id{{job_id{"00000000000000b2"}, 0, 0, index}, 1};
		wire::job_start order;
		order.what = to_wire(id);
		order.worker = "life-1";
		order.filler = filler;
		order.movable = movable;
		order.latency_target_ms = filler ? 0 : 20;
		test.runs.start(std::move(order));
		return id;
	};
	const auto serving = start(0, false, false);
	const auto not_movable = start(1, true, false);
	const auto movable = start(2, true, true);
	const std::vector<listed_run> running{
		{serving, "", 100, 40}, {not_movable, "", 10, 3'000}, {movable, "", 10, 3'000}};
	test.script.on_list = [&]
	{
		return listing_result{{order_outcome::done, 1'000}, {running, {}}};
	};
	test.script.on_stop = [&]
	{
		CHECK(test.script.paces[movable] == 0);
		return order_result{order_outcome::done, 1'000};
	};
	REQUIRE(test.run_until([&] { return test.script.stops == 1; }));
	CHECK(test.script.last_stopped == movable);
	CHECK(test.script.paces[not_movable] == 0);
}

TEST_CASE("a full report requested before the worker is known is sent as soon as the worker is known", "[jobs]")
{
	// Guards against lost tasks, found on scale-1 of Grangemouth, seed 2: an owner that claimed before the first
	// listing never learned which of the runs known to it were missing, and ordered none of them again.
	boost::asio::io_context io{1};
	worker_script script;
	run_manager runs{io, [&](endpoint) { return std::make_unique<scripted_worker>(io, script); }, millis{6'000},
					 make_pacing_policy(millis{4'000}),
					 [] {
					 }};
	CHECK(runs.report(true).worker.empty());
	runs.on_heartbeat(heartbeat_of("life-1"));
	CHECK(runs.report(false).worker.empty()); // no listing has arrived yet
	const auto end = boottime_now() + longest_wait;
	while (script.listings < 2 && boottime_now() < end)
		io.run_one_for(millis{10});
	const auto first = runs.report(false);
	CHECK(first.worker == "life-1");
	CHECK(first.full);
	CHECK(!runs.report(false).full);
}

TEST_CASE("a start refused as superseded may have run: the end of the run is reported, not a refusal", "[jobs]")
{
	// Guards against a task that is executed twice, found on days with many delayed orders: the run had ended as done
	// before the agent had listed it.
	fixture test;
	test.script.on_start = [&]
	{
		test.script.on_list = []
		{
			return listing_with_end(run_outcome::done);
		};
		return order_result{order_outcome::superseded, 1'000};
	};
	test.order_start();
	REQUIRE(test.run_until_reported());
	CHECK(test.refused.empty());
	REQUIRE(test.ended.size() == 1);
	CHECK(test.ended[0].how == wire::run_end::end_done);
}

TEST_CASE("a start refused as superseded whose run is not listed is reported as refused", "[jobs]")
{
	fixture test;
	test.script.on_start = []
	{
		return order_result{order_outcome::superseded, 1'000};
	};
	test.order_start();
	REQUIRE(test.run_until_reported());
	REQUIRE(test.refused.size() == 1);
	CHECK(test.refused[0].why == wire::start_refusal::refused_superseded);
}

TEST_CASE("the refusal of a repeated start is not reported, since its run may have ended before", "[jobs]")
{
	// Guards against a task that is executed twice, found on day 41 of Sirr (overloaded workers and delayed orders):
	// the link was re-established and the start was ordered again.
	fixture test;
	test.script.on_start = [&]
	{
		test.script.on_list = []
		{
			return listing_with_end(run_outcome::done);
		};
		return order_result{order_outcome::unhealthy, 1'000};
	};
	test.order_start(true);
	REQUIRE(test.run_until_reported());
	CHECK(test.refused.empty());
	CHECK(test.ended.size() == 1);
}

TEST_CASE("a repeated start at a draining worker is settled, a first one is refused", "[jobs]")
{
	fixture test;
	auto draining_heartbeat = heartbeat_of("life-1");
	draining_heartbeat.draining = true;
	draining_heartbeat.sequence = 1;
	test.runs.on_heartbeat(draining_heartbeat);
	test.script.on_stop = [&]
	{
		test.script.on_list = []
		{
			return listing_with_end(run_outcome::done);
		};
		return order_result{order_outcome::superseded, 1'000};
	};
	test.order_start(true);
	REQUIRE(test.run_until_reported());
	CHECK(test.refused.empty());
	CHECK(test.script.starts == 0);
	test.script.on_list = []
	{
		return listing_result{{order_outcome::done, 1'000}, {}};
	};
}

TEST_CASE("a start without an answer is settled by a stop and a listing after its deadline", "[jobs]")
{
	// Guards against two runs of a task at a time: the worker answers the stop and restarts under its id, and its next
	// incarnation, which knows of no stop, carries out the start while the task's next run works elsewhere.
	constexpr std::int64_t sent_at_clock_ms = 1'000;
	constexpr std::int64_t longest_delay_ms = 1'500; // within which the worker carries out a start
	fixture test;
	std::int64_t clock_ms = sent_at_clock_ms;
	test.script.on_start = []
	{
		return order_result{order_outcome::unknown, 0};
	};
	test.script.on_list = [&]
	{
		return listing_result{{order_outcome::done, clock_ms}, {}};
	};
	int unanswered_stops = 2;
	test.script.on_stop = [&]
	{
		return unanswered_stops-- > 0 ? order_result{order_outcome::unknown, 0}
									  : order_result{order_outcome::done, sent_at_clock_ms};
	};
	test.order_start();
	REQUIRE(test.run_until([&] { return test.script.stops == 3; }));
	clock_ms = sent_at_clock_ms + longest_delay_ms;
	const auto listings = test.script.listings;
	REQUIRE(test.run_until([&] { return test.script.listings > listings + 50; }));
	CHECK(test.runs.report(false).refused.empty());
	clock_ms += 2 * longest_delay_ms;
	REQUIRE(test.run_until_reported());
	REQUIRE(test.refused.size() == 1);
	CHECK(test.refused[0].why == wire::start_refusal::refused_never_started);
	CHECK(test.script.stops == 3);
}

TEST_CASE("a stopped run that was never listed counts as not started after the longest delay of a start", "[jobs]")
{
	// Guards against two runs of a task at a time: a former process of the agent may have sent the start just before,
	// and the worker's next incarnation, which knows of no stop, may carry it out.
	fixture test;
	std::int64_t clock_ms = 1'000;
	test.script.on_list = [&]
	{
		return listing_result{{order_outcome::done, clock_ms}, {}};
	};
	wire::job_stop order;
	order.what = to_wire(some_run);
	order.worker = "life-1";
	test.runs.stop(order);
	REQUIRE(test.run_until([&] { return test.script.stops == 1; }));
	const auto listings = test.script.listings;
	REQUIRE(test.run_until([&] { return test.script.listings > listings + 50; }));
	CHECK(test.runs.report(false).refused.empty());
	clock_ms += 5'000;
	REQUIRE(test.run_until_reported());
	REQUIRE(test.refused.size() == 1);
	CHECK(test.refused[0].why == wire::start_refusal::refused_never_started);
}

TEST_CASE("a start without an answer whose run is listed as running is reported as started", "[jobs]")
{
	fixture test;
	test.script.on_start = [&]
	{
		test.script.on_list = []
		{
			listing_result out{{order_outcome::done, 1'000}, {}};
			out.listing.running.push_back({some_run, "", 10, 0});
			return out;
		};
		return order_result{order_outcome::unknown, 0};
	};
	test.script.on_stop = []
	{
		return order_result{order_outcome::unknown, 0};
	};
	test.order_start();
	REQUIRE(test.run_until_reported());
	CHECK(test.refused.empty());
	CHECK(test.started.size() == 1);
}

TEST_CASE("a new incarnation of the worker gets a higher fencing token than all before", "[jobs]")
{
	fixture test;
	const auto unix_now_ms = []
	{
		return std::chrono::floor<millis>(std::chrono::system_clock::now()).time_since_epoch().count();
	};
	const auto former_tokens = test.script.fencing_tokens;
	const auto heard_at_ms = unix_now_ms();
	test.runs.on_heartbeat(heartbeat_of("life-2"));
	REQUIRE(test.run_until([&] { return test.script.fencing_tokens.size() > former_tokens.size() + 2; }));
	CHECK(test.script.fencing_tokens.back() > *std::max_element(former_tokens.begin(), former_tokens.end()));
	CHECK(test.script.fencing_tokens.back() >= heard_at_ms);
	CHECK(test.script.fencing_tokens.back() <= unix_now_ms());
	CHECK(test.runs.report(true).worker == "life-2");
}

TEST_CASE("reports about a new incarnation contain the runs of the previous one with their ages", "[jobs]")
{
	// Guards against a new owner that knows no ages and counts each such crash as one that followed a start.
	fixture test;
	test.script.on_list = []
	{
		return listing_result{{order_outcome::done, 1'000}, {{{some_run, "", 10, 0}}, {}}};
	};
	test.order_start();
	REQUIRE(test.run_until_reported());
	const auto listings_before = test.script.listings;
	REQUIRE(test.run_until([&] { return test.script.listings > listings_before + 3; }));
	test.script.answering_incarnation = "life-2";
	test.runs.on_heartbeat(heartbeat_of("life-2"));
	wire::job_report first;
	REQUIRE(test.run_until(
		[&]
		{
			if (first.worker != "life-2")
				first = test.runs.report(false);
			return first.worker == "life-2";
		}));
	REQUIRE(first.__isset.lost);
	CHECK(first.lost.worker == "life-1");
	REQUIRE(first.lost.runs.size() == 1);
	CHECK(from_wire(first.lost.runs[0].what) == some_run);
	CHECK(first.lost.runs[0].__isset.ordered_ms);
	CHECK(first.lost.runs[0].worked_ms <= first.lost.runs[0].ordered_ms);
	CHECK_FALSE(test.runs.report(false).__isset.lost);
	CHECK(test.runs.report(true).lost.worker == "life-1"); // a full report for a new owner contains it again
}

TEST_CASE("a worker that announced its end has ended once its port is closed; without the notice it has not", "[jobs]")
{
	// Without this rule the owner waits for the runs until their lease ends, up to 6 s.
	fixture test;
	test.order_start();
	REQUIRE(test.run_until_reported());
	const bool has_announced_end = GENERATE(false, true);
	if (has_announced_end)
		test.runs.on_worker_leaving(worker_incarnation{"life-1"});
	test.script.on_list = []
	{
		return listing_result{{order_outcome::no_listener, 0}, {}};
	};
	const auto listings_before = test.script.listings;
	REQUIRE(test.run_until([&] { return test.script.listings > listings_before + 2; }));
	const auto report = test.runs.report(true);
	CHECK(report.worker == "life-1");
	CHECK(report.__isset.lost == has_announced_end);
	CHECK((!has_announced_end || report.lost.worker == "life-1"));
	CHECK((!has_announced_end || report.running.empty()));
}

TEST_CASE("a late heartbeat of a former incarnation is ignored", "[jobs]")
{
	fixture test;
	test.script.answering_incarnation = "life-2";
	test.script.on_list = []
	{
		listing_result out{{order_outcome::done, 6'000}, {}};
		out.listing.running.push_back({some_run, "", 10, 0});
		return out;
	};
	auto next = heartbeat_of("life-2");
	next.clock_ms = 5'000;
	test.runs.on_heartbeat(next);
	REQUIRE(test.run_until([&] { return test.runs.report(true).worker == "life-2"; }));
	const auto token = test.script.fencing_tokens.back();
	bool changed = false;
	for (int late = 0; late < 3; ++late)
	{
		test.runs.on_heartbeat(heartbeat_of("life-1"));
		const auto listings_before = test.script.listings;
		REQUIRE(test.run_until(
			[&]
			{
				changed = changed || test.runs.report(true).worker != "life-2";
				return test.script.listings > listings_before + 3;
			}));
	}
	CHECK_FALSE(changed);
	CHECK(test.runs.report(true).running.size() == 1);
	CHECK(test.script.fencing_tokens.back() == token);
}

TEST_CASE("a new incarnation becomes current as soon as it answers a probe", "[jobs]")
{
	fixture test;
	test.script.answering_incarnation = "nobody";
	test.runs.on_heartbeat(heartbeat_of("life-2"));
	const auto listings_before = test.script.listings;
	REQUIRE(test.run_until([&] { return test.script.listings > listings_before + 3; }));
	CHECK(test.runs.report(true).worker != "life-2");
	test.script.answering_incarnation = "life-2";
	test.runs.on_heartbeat(heartbeat_of("life-2"));
	CHECK(test.run_until([&] { return test.runs.report(true).worker == "life-2"; }));
}
