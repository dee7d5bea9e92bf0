// SPDX-License-Identifier: MIT
/// \file
/// \brief Which runs count as lost by their worker, and what an owner makes of them.
#include "job_term_fixture.hpp"
#include "unlisted_runs_fixture.hpp"

using namespace trailjunction;
using namespace trailjunction::unlisted_runs_fixture;

namespace
{
	using job_term_fixture::first_job;

	const task_run other_run{{job_id{"00000000000000b2"}, 0, 0, 0}, 1};
	constexpr std::int64_t whole_worker_milli = 8'000; ///< CPU of the worker in run_manager_fixture.
}

// find_unlisted_runs

TEST_CASE("a run that its worker lists neither as running nor as ended is unlisted, once", "[jobs]")
{
	disappeared_runs disappeared;
	CHECK(find_unlisted_runs(disappeared, {some_run, other_run}, listing_with_run(other_run)) == std::vector{some_run});
	CHECK(find_unlisted_runs(disappeared, {other_run}, listing_with_run(other_run)).empty());
}

TEST_CASE("a run is not unlisted if its end is listed", "[jobs]")
{
	disappeared_runs disappeared;
	worker_listing listing;
	add_end(listing, 1, some_run);
	CHECK(find_unlisted_runs(disappeared, {some_run}, listing).empty());
	CHECK(find_unlisted_runs(disappeared, {}, {}).empty()); // the end has been acknowledged
}

TEST_CASE("another run of the same task says nothing about a run that has disappeared", "[jobs]")
{
	disappeared_runs disappeared;
	const task_run next{some_run.task, some_run.run + 1};
	CHECK(find_unlisted_runs(disappeared, {some_run}, listing_with_run(next)) == std::vector{some_run});
	worker_listing listing;
	add_end(listing, 1, next);
	CHECK(find_unlisted_runs(disappeared, {some_run}, listing) == std::vector{some_run});
}

TEST_CASE("no run is unlisted while a list of ends is full, since its end may be a later one", "[jobs]")
{
	// Guards against a task that is executed twice: its run has ended as done, behind the ends that are listed.
	disappeared_runs disappeared;
	REQUIRE(find_unlisted_runs(disappeared, {some_run}, listing_with_ends(max_listed_ends)).empty());
	REQUIRE(find_unlisted_runs(disappeared, {}, listing_with_ends(max_listed_ends)).empty());
	SECTION("the end is listed once earlier ones are acknowledged")
	{
		worker_listing listing;
		add_end(listing, max_listed_ends + 1, some_run);
		CHECK(find_unlisted_runs(disappeared, {}, listing).empty());
		CHECK(find_unlisted_runs(disappeared, {}, {}).empty());
	}
	SECTION("the end is listed in another full list")
	{
		auto listing = listing_with_ends(max_listed_ends - 1);
		add_end(listing, max_listed_ends + 1, some_run);
		CHECK(find_unlisted_runs(disappeared, {}, listing).empty());
		CHECK(find_unlisted_runs(disappeared, {}, {}).empty());
	}
	SECTION("the run is listed again")
	{
		CHECK(find_unlisted_runs(disappeared, {}, listing_with_run(some_run)).empty());
		CHECK(find_unlisted_runs(disappeared, {}, {}).empty());
	}
	SECTION("a list that is not full contains no end of it")
	{
		CHECK(find_unlisted_runs(disappeared, {}, listing_with_ends(max_listed_ends - 1)) == std::vector{some_run});
		CHECK(find_unlisted_runs(disappeared, {}, {}).empty());
	}
}

// agents

TEST_CASE("an agent reports once that its worker no longer lists a run", "[jobs]")
{
	agent_fixture test;
	test.begin_run();
	test.list({});
	test.collect_listings(8);
	REQUIRE(test.unlisted.size() == 1);
	CHECK(from_wire(test.unlisted[0]) == some_run);
	CHECK(test.refused.empty());
	CHECK(test.ended.empty());
}

TEST_CASE("a run that was never listed although its start was confirmed is reported as unlisted", "[jobs]")
{
	// Guards against a run that counts as running for good because its worker restarted before the next listing.
	agent_fixture test;
	test.order_start();
	test.collect_listings(8);
	CHECK(test.started.size() == 1);
	REQUIRE(test.unlisted.size() == 1);
	CHECK(from_wire(test.unlisted[0]) == some_run);
}

TEST_CASE("a listing in flight while a start is confirmed does not make its run unlisted", "[jobs]")
{
	// Guards against a task that runs twice: a listing made before the start is applied after its confirmation.
	agent_fixture test;
	int listings_before_start = 0;
	test.script.on_start = [&]
	{
		listings_before_start = test.script.listings;
		return order_result{order_outcome::done, 1'000};
	};
	test.script.on_list = [&]
	{
		const bool is_later = listings_before_start > 0 && test.script.listings > listings_before_start + 1;
		return listing_result{{order_outcome::done, 1'000}, is_later ? listing_with_run(some_run) : worker_listing{}};
	};
	test.order_start();
	test.collect_listings(8);
	CHECK(test.started.size() == 1);
	CHECK(test.running.size() == 1);
	CHECK(test.unlisted.empty());
}

TEST_CASE("a listing without an answer makes no run unlisted", "[jobs]")
{
	agent_fixture test;
	test.begin_run();
	test.script.on_list = []
	{
		return listing_result{{order_outcome::unknown, 0}, {}};
	};
	test.collect_listings();
	test.list(listing_with_run(some_run));
	test.collect_listings();
	CHECK(test.unlisted.empty());
}

TEST_CASE("a run whose end is acknowledged between two listings is not reported as unlisted", "[jobs]")
{
	agent_fixture test;
	test.begin_run();
	worker_listing with_end;
	add_end(with_end, 1, some_run);
	test.list(with_end);
	test.collect_listings();
	REQUIRE(test.ended.size() == 1);
	test.list({});
	test.collect_listings();
	CHECK(test.unlisted.empty());
}

TEST_CASE("a confirmed run whose end is in the next listing is not reported as unlisted", "[jobs]")
{
	agent_fixture test;
	worker_listing with_end;
	add_end(with_end, 1, some_run);
	test.script.on_start = [&]
	{
		test.list(with_end);
		return order_result{order_outcome::done, 1'000};
	};
	test.order_start();
	test.collect_listings(8);
	CHECK(test.unlisted.empty());
	CHECK(test.ended.size() == 1);
}

TEST_CASE("a run whose end is listed once, right after its confirmation, is not reported as unlisted", "[jobs]")
{
	// Guards against a task that is executed twice: the end has been acknowledged before the next listing.
	agent_fixture test;
	int listings_since_start = -1;
	test.script.on_start = [&]
	{
		listings_since_start = 0;
		return order_result{order_outcome::done, 1'000};
	};
	test.script.on_list = [&]
	{
		worker_listing listing;
		if (listings_since_start >= 0 && ++listings_since_start == 1)
			add_end(listing, 1, some_run);
		return listing_result{{order_outcome::done, 1'000}, listing};
	};
	test.order_start();
	test.collect_listings(8);
	CHECK(test.started.size() == 1);
	CHECK(test.ended.size() == 1);
	CHECK(test.unlisted.empty());
}

TEST_CASE("an agent asks for a report as soon as a run is unlisted", "[jobs]")
{
	// Guards against a task that waits for the next regular report before it starts again.
	boost::asio::io_context io{1};
	run_manager_fixture::worker_script script;
	int requests = 0;
	run_manager runs{io, [&](endpoint) { return std::make_unique<run_manager_fixture::scripted_worker>(io, script); },
					 millis{5'000}, pacing_policy{},
					 [&]
					 {
						 ++requests;
					 }};
	const auto await_listings = [&]
	{
		const auto wanted = script.listings + 5;
		const auto end = boottime_now() + run_manager_fixture::longest_wait;
		while (script.listings < wanted && boottime_now() < end)
			io.run_one_for(millis{10});
		REQUIRE(script.listings >= wanted);
	};
	script.on_list = []
	{
		return listing_result{{order_outcome::done, 1'000}, listing_with_run(some_run)};
	};
	runs.on_heartbeat(run_manager_fixture::heartbeat_of("life-1"));
	await_listings();
	const auto requests_before = requests;
	await_listings();
	REQUIRE(requests == requests_before);
	script.on_list = []
	{
		return listing_result{{order_outcome::done, 1'000}, {}};
	};
	await_listings();
	CHECK(requests == requests_before + 1);
}

TEST_CASE("an agent reports the end of a run that disappeared behind a full list of ends", "[jobs]")
{
	// Guards against a task that is executed twice: its run has ended as done, behind the ends that are listed.
	agent_fixture test;
	test.begin_run();
	test.list(listing_with_ends(max_listed_ends));
	test.collect_listings();
	worker_listing rest;
	add_end(rest, max_listed_ends + 1, some_run);
	test.list(rest);
	test.collect_listings();
	CHECK(test.unlisted.empty());
	REQUIRE_FALSE(test.ended.empty());
	CHECK(from_wire(test.ended.back().what) == some_run);
}

TEST_CASE("an unlisted run is in the first report after its loss, also if that is a full one", "[jobs]")
{
	// Guards against an owner that orders the run again before it learns that it is lost.
	agent_fixture test;
	test.begin_run();
	test.list({});
	test.await_listings(4);
	CHECK(test.runs.report(true).unlisted.size() == 1);
	CHECK(test.runs.report(true).unlisted.empty());
}

TEST_CASE("runs of a former incarnation are reported as lost with it, not as unlisted", "[jobs]")
{
	// Guards against a crash that does not count against the task that caused it.
	agent_fixture test;
	const bool listed = GENERATE(true, false);
	if (listed)
		test.list(listing_with_run(some_run));
	test.order_start();
	if (listed)
		test.collect_listings();
	else
		REQUIRE(test.run_until([&] { return test.script.starts == 1; }));
	test.script.answering_incarnation = "life-2";
	test.list({});
	test.runs.on_heartbeat(run_manager_fixture::heartbeat_of("life-2"));
	wire::job_report first;
	REQUIRE(test.run_until(
		[&]
		{
			if (first.worker != "life-2")
				first = test.runs.report(false);
			return first.worker == "life-2";
		}));
	REQUIRE(first.__isset.lost);
	REQUIRE(first.lost.runs.size() == 1);
	CHECK(from_wire(first.lost.runs[0].what) == some_run);
	CHECK(first.unlisted.empty());
	test.unlisted.clear();
	test.collect_listings();
	CHECK(test.unlisted.empty());
}

TEST_CASE("what a former incarnation has lost is not unlisted in the next one", "[jobs]")
{
	// Guards against a loss that its owner takes for one of the present incarnation.
	agent_fixture test;
	test.begin_run();
	const bool behind_full_list = GENERATE(false, true);
	test.list(behind_full_list ? listing_with_ends(max_listed_ends) : worker_listing{});
	constexpr int enough_to_be_applied = 4;
	test.await_listings(enough_to_be_applied);
	test.script.answering_incarnation = "life-2";
	test.list({});
	test.runs.on_heartbeat(run_manager_fixture::heartbeat_of("life-2"));
	test.await_listings(2 * enough_to_be_applied);
	const auto first = test.runs.report(false);
	CHECK(first.worker == "life-2");
	CHECK(first.unlisted.empty());
	test.collect_listings();
	CHECK(test.unlisted.empty());
}

TEST_CASE("an unlisted run takes no room on its worker", "[jobs]")
{
	agent_fixture test;
	test.list(listing_with_run(some_run));
	test.order_start(false, whole_worker_milli);
	test.collect_listings();
	test.list({});
	test.collect_listings();
	REQUIRE(test.unlisted.size() == 1);
	wire::job_start order;
	order.what = to_wire(other_run);
	order.worker = "life-1";
	order.claim.cpu_milli = whole_worker_milli;
	test.runs.start(order);
	test.collect_listings();
	CHECK(test.refused.empty());
	CHECK(test.script.starts == 2);
}

// owners

namespace
{
	/// An owner with one simulated agent; no lease expires.
	struct owner_fixture : job_term_fixture::scene
	{
		owner_fixture()
		{
			settings.contact = millis{600'000};
			settings.longest_run_lease = millis{600'000};
		}

		/// Submits a job and waits until all its tasks are ordered.
		void begin(const job_spec& spec)
		{
			begin_term();
			submit(first_job, spec);
			await_starts(spec.groups[0].count);
		}

		void await_starts(std::size_t count)
		{
			REQUIRE(run_until([&] { return agent.received_starts.size() >= count; }));
		}

		/// A report that is not full.
		[[nodiscard]] wire::job_report change() const
		{
			auto out = agent.full_report;
			out.full = false;
			return out;
		}

		void report_unlisted(const wire::task_run& run_id)
		{
			auto report = change();
			report.unlisted.push_back(run_id);
			agent.send_report(std::move(report));
		}

		/// Lets the owner process all reports sent so far and act on them.
		void settle()
		{
			const auto confirms = agent.received_confirms.size();
			auto report = change();
			report.lease_ends = true; // is always confirmed
			agent.send_report(std::move(report));
			REQUIRE(run_until([&] { return agent.received_confirms.size() > confirms; }));
			const auto end = boottime_now() + millis{500};
			(void)run_until([&] { return boottime_now() >= end; });
		}

		[[nodiscard]] wire::task_run ordered(std::size_t index) const
		{
			return agent.received_starts.at(index).what;
		}
	};

	wire::job_end end_of(const wire::task_run& run_id)
	{
		wire::job_end out;
		out.number = 1;
		out.what = run_id;
		out.how = wire::run_end::end_done;
		return out;
	}
}

TEST_CASE("the task of an unlisted run starts again from its last checkpoint, as often as it happens", "[jobs]")
{
	// A loss by the worker is no failure of the task: the queue allows two attempts.
	owner_fixture test;
	auto spec = job_term_fixture::one_task();
	spec.groups[0].checkpointing = true;
	test.begin(spec);
	auto report = test.change();
	wire::job_run running;
	running.what = test.ordered(0);
	running.checkpoint = "half";
	report.running.push_back(running);
	test.agent.send_report(report);
	for (std::size_t loss = 0; loss < 4; ++loss)
	{
		test.report_unlisted(test.ordered(loss));
		test.await_starts(loss + 2);
		CHECK(test.ordered(loss + 1).run == test.ordered(loss).run + 1);
		CHECK(test.agent.received_starts[loss + 1].checkpoint == "half");
	}
	CHECK(test.stored_job(first_job).tasks[0].failures == 0);
}

TEST_CASE("a run that is reported as unlisted after its end was recorded does not start again", "[jobs]")
{
	owner_fixture test;
	test.begin(job_term_fixture::one_task());
	const bool in_one_report = GENERATE(true, false);
	auto report = test.change();
	report.ended.push_back(end_of(test.ordered(0)));
	if (in_one_report)
		report.unlisted.push_back(test.ordered(0));
	test.agent.send_report(report);
	if (!in_one_report)
		test.report_unlisted(test.ordered(0));
	test.settle();
	CHECK(test.agent.received_starts.size() == 1);
	CHECK(test.stored_job(first_job).status == job_status::completed);
}

TEST_CASE("a report of a task's former run as unlisted does not affect its next run on the same worker", "[jobs]")
{
	owner_fixture test;
	test.begin(job_term_fixture::one_task());
	test.report_unlisted(test.ordered(0));
	test.await_starts(2);
	test.report_unlisted(test.ordered(0));
	test.settle();
	CHECK(test.agent.received_starts.size() == 2);
	CHECK(test.agent.received_stops.empty());
	CHECK(test.stored_job(first_job).tasks[0].run == 2);
}

TEST_CASE("an unlisted run that was never placed on its worker changes nothing", "[jobs]")
{
	owner_fixture test;
	test.begin(job_term_fixture::one_task());
	test.report_unlisted(to_wire(other_run));
	test.settle();
	CHECK(test.agent.received_starts.size() == 1);
	CHECK(test.agent.received_stops.empty());
}

TEST_CASE("an unlisted run in a full report is not ordered again; its task gets its next run", "[jobs]")
{
	owner_fixture test;
	test.begin(job_term_fixture::one_task());
	test.agent.full_report.unlisted.push_back(test.ordered(0));
	test.agent.close_link();
	test.await_starts(2);
	test.agent.full_report.unlisted.clear();
	test.settle();
	REQUIRE(test.agent.received_starts.size() == 2);
	CHECK(test.ordered(1).run == 2);
}

TEST_CASE("a loss reported over a link that broke is repaired by the next full report", "[jobs]")
{
	// The agent takes the report for sent, so only the missing run in the next full report shows the loss.
	owner_fixture test;
	test.begin(job_term_fixture::one_task());
	test.agent.close_link();
	test.await_starts(2);
	CHECK(test.ordered(1).run == 1);
	CHECK(test.agent.received_starts[1].repeated);
}

TEST_CASE("if a member of a gang is unlisted, the others stop and the gang starts again as a whole", "[jobs]")
{
	owner_fixture test;
	auto spec = job_term_fixture::one_task();
	spec.groups[0].count = 2;
	spec.groups[0].gang = true;
	test.begin(spec);
	const auto remaining = test.ordered(1);
	auto report = test.change();
	report.started.push_back(remaining);
	report.unlisted.push_back(test.ordered(0));
	test.agent.send_report(report);
	REQUIRE(test.run_until([&] { return !test.agent.received_stops.empty(); }));
	CHECK(from_wire(test.agent.received_stops[0].what) == from_wire(remaining));
	CHECK(test.agent.received_starts.size() == 2);
	auto stopped = test.change();
	stopped.ended.push_back(end_of(remaining));
	stopped.ended.back().how = wire::run_end::end_stopped;
	test.agent.send_report(stopped);
	test.await_starts(4);
	CHECK(test.ordered(2).run == 2);
	CHECK(test.ordered(3).run == 2);
}

TEST_CASE("a cancelled job whose run is unlisted does not start again", "[jobs]")
{
	owner_fixture test;
	test.begin(job_term_fixture::one_task());
	test.store.put(submission_partition(job_id{first_job}), submissions_table, cancellation_key(job_id{first_job}),
				   "c");
	REQUIRE(test.run_until([&] { return !test.agent.received_stops.empty(); }));
	test.report_unlisted(test.ordered(0));
	test.settle();
	CHECK(test.agent.received_starts.size() == 1);
}
