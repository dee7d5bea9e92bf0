// SPDX-License-Identifier: MIT
/// \file
/// \brief The runs of one worker against a worker that the test plays call by call.
#include "run_keeper_scene.hpp"

using namespace trailjunction;
using namespace trailjunction::run_keeper_scene;

TEST_CASE("while a serving task bears no filler, new ones are stopped at once and the owner is told", "[jobs]")
{
	// Found as HARM on quiet-1 of Sirr, seed 2: fillers of a second each came one after the other, and each worked at
	// full pace until the change of paces before it was old enough.
	scene it;
	const auto start = [&](std::uint32_t index, bool filler)
	{
		wire::job_start order;
		order.what = to_wire(task_run{{job_id{"00000000000000b1"}, 0, 0, index}, 1});
		order.worker = "life-1";
		order.filler = filler;
		order.latency_target_ms = filler ? 0 : 20;
		order.image = filler ? "f" : "s";
		it.runs.start(std::move(order));
		return task_run{{job_id{"00000000000000b1"}, 0, 0, index}, 1};
	};
	std::vector<listed_run> running;
	it.lines.on_list = [&]
	{
		return listing_result{{order_end::done, 1'000}, {running, {}}};
	};
	const auto serving = start(0, false);
	const auto first = start(1, true);
	running = {{serving, "", 100, 40}, {first, "", 10, 3'000}};
	REQUIRE(it.run_until([&] { return it.lines.paces.contains(first) && it.lines.paces[first] == 0; }));
	CHECK(it.runs.report(false).pace_percent == 0);
	running.pop_back(); // it has ended; another one comes
	const auto lists = it.lines.lists;
	REQUIRE(it.run_until([&] { return it.lines.lists > lists + 2; }));
	CHECK(it.runs.report(false).pace_percent == 0);
	const auto second = start(2, true);
	running.push_back({second, "", 0, 3'000});
	const auto seen = it.lines.lists;
	REQUIRE(it.run_until([&] { return it.lines.paces.contains(second); }));
	CHECK(it.lines.paces[second] == 0);
	CHECK(it.lines.lists - seen <= 4);
	running = {{serving, "", 100, 4}};
	CHECK(it.run_until([&] { return it.runs.report(false).pace_percent == 100; }));
}

TEST_CASE("a filler that may not work here is stopped, once, if it can resume elsewhere", "[jobs]")
{
	scene it;
	const auto start = [&](std::uint32_t index, bool filler, bool movable)
	{
		task_run what{{job_id{"00000000000000b2"}, 0, 0, index}, 1};
		wire::job_start order;
		order.what = to_wire(what);
		order.worker = "life-1";
		order.filler = filler;
		order.movable = movable;
		order.latency_target_ms = filler ? 0 : 20;
		it.runs.start(std::move(order));
		return what;
	};
	const auto serving = start(0, false, false);
	const auto keeps_nothing = start(1, true, false);
	const auto movable = start(2, true, true);
	const std::vector<listed_run> running{
		{serving, "", 100, 40}, {keeps_nothing, "", 10, 3'000}, {movable, "", 10, 3'000}};
	it.lines.on_list = [&]
	{
		return listing_result{{order_end::done, 1'000}, {running, {}}};
	};
	it.lines.on_stop = [&]
	{
		CHECK(it.lines.paces[movable] == 0);
		return order_result{order_end::done, 1'000};
	};
	REQUIRE(it.run_until([&] { return it.lines.stops == 1; }));
	CHECK(it.lines.stopped == movable);
	CHECK(it.lines.paces[keeps_nothing] == 0);
}

TEST_CASE("a full report that was asked for before the worker was known is given as soon as it is", "[jobs]")
{
	// Found as LOST on scale-1 of Grangemouth, seed 2: an owner that claimed before the first listing never heard which
	// of the runs that it knew were not there, and ordered none of them again.
	boost::asio::io_context io{1};
	script lines;
	run_keeper runs{io, [&](endpoint) { return std::make_unique<scripted_worker>(io, lines); }, millis{6'000},
					make_pacing_policy(millis{4'000}),
					[] {
					}};
	CHECK(runs.report(true).worker.empty());
	runs.worker_seen(heartbeat_of("life-1"));
	CHECK(runs.report(false).worker.empty()); // not listed yet
	const auto end = steady_now() + longest_wait;
	while (lines.lists < 2 && steady_now() < end)
		io.run_one_for(millis{10});
	const auto first = runs.report(false);
	CHECK(first.worker == "life-1");
	CHECK(first.full);
	CHECK(!runs.report(false).full);
}

TEST_CASE("a start that the worker takes for an old one may have run: its end decides, not the answer", "[jobs]")
{
	// Found as TWICE on days with many late orders: the run had ended done before the agent had listed it.
	scene it;
	it.lines.on_start = [&]
	{
		it.lines.on_list = []
		{
			return listing_with_end(run_outcome::done);
		};
		return order_result{order_end::superseded, 1'000};
	};
	it.order_start();
	REQUIRE(it.run_until_told());
	CHECK(it.refused.empty());
	REQUIRE(it.ended.size() == 1);
	CHECK(it.ended[0].how == wire::run_end::end_done);
}

TEST_CASE("a start that the worker takes for an old one, and of which it lists nothing, never runs", "[jobs]")
{
	scene it;
	it.lines.on_start = []
	{
		return order_result{order_end::superseded, 1'000};
	};
	it.order_start();
	REQUIRE(it.run_until_told());
	REQUIRE(it.refused.size() == 1);
	CHECK(it.refused[0].why == wire::start_refusal::refused_superseded);
}

TEST_CASE("the refusal of a repeated start proves nothing: its run may have ended before", "[jobs]")
{
	// Found as TWICE on day 41 of Sirr (busy workers and late orders): the link was renewed, the start ordered once
	// more.
	scene it;
	it.lines.on_start = [&]
	{
		it.lines.on_list = []
		{
			return listing_with_end(run_outcome::done);
		};
		return order_result{order_end::unhealthy, 1'000};
	};
	it.order_start(true);
	REQUIRE(it.run_until_told());
	CHECK(it.refused.empty());
	CHECK(it.ended.size() == 1);
}

TEST_CASE("a repeated start at a draining worker is settled, a first one is refused", "[jobs]")
{
	scene it;
	auto leaving = heartbeat_of("life-1");
	leaving.draining = true;
	leaving.sequence = 1;
	it.runs.worker_seen(leaving);
	it.lines.on_stop = [&]
	{
		it.lines.on_list = []
		{
			return listing_with_end(run_outcome::done);
		};
		return order_result{order_end::superseded, 1'000};
	};
	it.order_start(true);
	REQUIRE(it.run_until_told());
	CHECK(it.refused.empty());
	CHECK(it.lines.starts == 0);
	it.lines.on_list = []
	{
		return listing_result{{order_end::done, 1'000}, {}};
	};
}

TEST_CASE("a start without an answer is settled by a stop and a listing after it", "[jobs]")
{
	scene it;
	it.lines.on_start = []
	{
		return order_result{order_end::unknown, 0};
	};
	int unanswered_stops = 2;
	it.lines.on_stop = [&]
	{
		return unanswered_stops-- > 0 ? order_result{order_end::unknown, 0} : order_result{order_end::done, 1'000};
	};
	it.order_start();
	REQUIRE(it.run_until_told());
	REQUIRE(it.refused.size() == 1);
	CHECK(it.refused[0].why == wire::start_refusal::refused_never_started);
	CHECK(it.lines.stops == 3);
}

TEST_CASE("a start without an answer that is listed as running is a start", "[jobs]")
{
	scene it;
	it.lines.on_start = [&]
	{
		it.lines.on_list = []
		{
			listing_result out{{order_end::done, 1'000}, {}};
			out.listing.running.push_back({some_run, "", 10, 0});
			return out;
		};
		return order_result{order_end::unknown, 0};
	};
	it.lines.on_stop = []
	{
		return order_result{order_end::unknown, 0};
	};
	it.order_start();
	REQUIRE(it.run_until_told());
	CHECK(it.refused.empty());
	CHECK(it.started.size() == 1);
}

TEST_CASE("a new incarnation of the worker gets a fencing token above all before", "[jobs]")
{
	scene it;
	auto next = heartbeat_of("life-2");
	next.clock_ms = 5'000;
	it.runs.worker_seen(next);
	const auto calls = it.lines.tokens.size();
	REQUIRE(it.run_until([&] { return it.lines.tokens.size() > calls + 2; }));
	CHECK(it.lines.tokens.back() == 5'000);
	CHECK(it.runs.report(true).worker == "life-2");
}

TEST_CASE("the next incarnation's reports tell which runs the one before had, and for how long", "[jobs]")
{
	// A new owner knew of no age, and counted each such crash as one that followed on a start.
	scene it;
	it.lines.on_list = []
	{
		return listing_result{{order_end::done, 1'000}, {{{some_run, "", 10, 0}}, {}}};
	};
	it.order_start();
	REQUIRE(it.run_until_told());
	const auto lists = it.lines.lists;
	REQUIRE(it.run_until([&] { return it.lines.lists > lists + 3; }));
	it.lines.life = "life-2";
	it.runs.worker_seen(heartbeat_of("life-2"));
	wire::job_report first;
	REQUIRE(it.run_until(
		[&]
		{
			if (first.worker != "life-2")
				first = it.runs.report(false);
			return first.worker == "life-2";
		}));
	REQUIRE(first.__isset.lost);
	CHECK(first.lost.worker == "life-1");
	REQUIRE(first.lost.runs.size() == 1);
	CHECK(from_wire(first.lost.runs[0].what) == some_run);
	CHECK(first.lost.runs[0].__isset.ordered_ms);
	CHECK(first.lost.runs[0].worked_ms <= first.lost.runs[0].ordered_ms);
	CHECK_FALSE(it.runs.report(false).__isset.lost);
	CHECK(it.runs.report(true).lost.worker == "life-1"); // to a new owner
}

TEST_CASE("a worker that said goodbye has ended once nothing listens at its port, and no other one has", "[jobs]")
{
	// Its runs were waited for until their lease was over, up to 6 s.
	scene it;
	it.order_start();
	REQUIRE(it.run_until_told());
	const bool said = GENERATE(false, true);
	if (said)
		it.runs.worker_left(worker_life{"life-1"});
	it.lines.on_list = []
	{
		return listing_result{{order_end::no_listener, 0}, {}};
	};
	const auto lists = it.lines.lists;
	REQUIRE(it.run_until([&] { return it.lines.lists > lists + 2; }));
	const auto report = it.runs.report(true);
	CHECK(report.worker == "life-1");
	CHECK(report.__isset.lost == said);
	CHECK((!said || report.lost.worker == "life-1"));
	CHECK((!said || report.running.empty()));
}

TEST_CASE("a late heartbeat of an incarnation that has gone changes nothing", "[jobs]")
{
	scene it;
	it.lines.life = "life-2";
	it.lines.on_list = []
	{
		listing_result out{{order_end::done, 6'000}, {}};
		out.listing.running.push_back({some_run, "", 10, 0});
		return out;
	};
	auto next = heartbeat_of("life-2");
	next.clock_ms = 5'000;
	it.runs.worker_seen(next);
	REQUIRE(it.run_until([&] { return it.runs.report(true).worker == "life-2"; }));
	bool changed = false;
	for (int late = 0; late < 3; ++late)
	{
		it.runs.worker_seen(heartbeat_of("life-1"));
		const auto lists = it.lines.lists;
		REQUIRE(it.run_until(
			[&]
			{
				changed = changed || it.runs.report(true).worker != "life-2";
				return it.lines.lists > lists + 3;
			}));
	}
	CHECK_FALSE(changed);
	CHECK(it.runs.report(true).running.size() == 1);
	CHECK(it.lines.tokens.back() == 5'000);
}

TEST_CASE("an incarnation that does not answer yet is believed as soon as it does", "[jobs]")
{
	scene it;
	it.lines.life = "nobody";
	it.runs.worker_seen(heartbeat_of("life-2"));
	const auto lists = it.lines.lists;
	REQUIRE(it.run_until([&] { return it.lines.lists > lists + 3; }));
	CHECK(it.runs.report(true).worker != "life-2");
	it.lines.life = "life-2";
	it.runs.worker_seen(heartbeat_of("life-2"));
	CHECK(it.run_until([&] { return it.runs.report(true).worker == "life-2"; }));
}
