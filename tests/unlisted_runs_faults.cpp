// SPDX-License-Identifier: MIT
/// \file
/// \brief Ends that an agent cannot see: behind a full list, or forgotten by the worker.
#include "unlisted_runs_fixture.hpp"

#include <trailjunction/net/http_server.hpp>
#include <trailjunction/platform/heartbeat_handler.hpp>
#include <trailjunction/platform/worker_client.hpp>
#include <trailjunction/testkit/worker_standin.hpp>

#include <trailjunction/wire/job_messages.hpp>

using namespace trailjunction;
using namespace trailjunction::unlisted_runs_fixture;

TEST_CASE("a start is not reported as refused while the end of its run may be behind a full list of ends", "[jobs]")
{
	// Guards against a task that is executed twice: its run has ended as done, behind the ends that are listed.
	agent_fixture test;
	test.list(listing_with_ends(max_listed_ends));
	test.collect_listings(3);
	const bool repeated = GENERATE(false, true);
	test.script.on_start = []
	{
		return order_result{order_outcome::superseded, 1'000};
	};
	test.order_start(repeated);
	test.collect_listings(20);
	CHECK(test.refused.empty());
}

TEST_CASE("a stopped run is not reported as refused while its end may be behind a full list of ends", "[jobs]")
{
	// Guards against a task that is executed twice: its run ended as done just before the stop.
	agent_fixture test;
	test.begin_run();
	test.list(listing_with_ends(max_listed_ends));
	wire::job_stop order;
	order.what = to_wire(some_run);
	order.worker = "life-1";
	test.runs.stop(order);
	test.collect_listings(20);
	CHECK(test.refused.empty());
}

TEST_CASE("a run that has disappeared and is started again by a repeated order is not unlisted", "[jobs]")
{
	// Guards against two runs of one task at a time: its owner starts the next run while this one works.
	agent_fixture test;
	test.begin_run();
	test.list(listing_with_ends(max_listed_ends));
	test.collect_listings(3);
	int listings_before_start = 0;
	test.script.on_start = [&]
	{
		listings_before_start = test.script.listings;
		return order_result{order_outcome::done, 1'000};
	};
	test.script.on_list = [&]
	{
		worker_listing listing;
		if (listings_before_start == 0)
			listing = listing_with_ends(max_listed_ends);
		else if (test.script.listings > listings_before_start + 1)
			add_running(listing, some_run);
		return listing_result{{order_outcome::done, 1'000}, listing};
	};
	test.order_start(true);
	test.collect_listings(8);
	CHECK(test.script.starts == 1);
	CHECK(test.unlisted.empty());
}

namespace
{
	/// A worker that restarts under its id, and an agent whose owner confirms every report at once.
	struct restarting_worker
	{
		restarting_worker()
		{
			runs.set_lease(millis{5'000});
			worker.longest_lease = millis{600'000};
			worker.start_heartbeats(worker.listen());
			REQUIRE(run_until([&] { return confirmed; }));
		}

		template <typename Until>
		bool run_until(Until until)
		{
			const auto end = boottime_now() + run_manager_fixture::longest_wait;
			while (!until() && boottime_now() < end)
			{
				io.run_one_for(millis{5});
				if (boottime_now() - reported_at >= millis{20})
					handle_report(runs.report(false));
			}
			return until();
		}

		void run_for(millis time)
		{
			const auto end = boottime_now() + time;
			(void)run_until([&] { return boottime_now() >= end; });
		}

		void handle_report(const wire::job_report& report)
		{
			reported_at = boottime_now();
			if (report.worker.empty())
				return;
			current = worker_of(report);
			unlisted.insert(unlisted.end(), report.unlisted.begin(), report.unlisted.end());
			refused.insert(refused.end(), report.refused.begin(), report.refused.end());
			for (const auto& end : report.ended)
				reported_ends[current] = std::max(reported_ends[current], end.number);
			wire::job_confirm confirmation;
			set_worker(confirmation, current);
			confirmation.stamp_ms = report.stamp_ms;
			confirmation.ends_kept = acknowledges ? reported_ends[current] : 0;
			runs.confirm(confirmation);
			confirmed = true;
		}

		void start(const task_run& run_id)
		{
			wire::job_start order;
			order.what = to_wire(run_id);
			set_worker(order, current);
			order.payload = "20"; // ms of work
			runs.start(order);
		}

		boost::asio::io_context io{1};
		run_manager runs{
			io, [this](const endpoint& address) { return std::make_unique<platform::worker_client>(io, address); },
			millis{5'000}, pacing_policy{},
			[] {
			}};
		http_server heartbeats{io, http_limits{},
							   platform::make_heartbeat_handler({[this](worker_heartbeat heartbeat)
																 { runs.on_heartbeat(std::move(heartbeat)); },
																 [this](worker_incarnation incarnation)
																 {
																	 runs.on_worker_leaving(incarnation);
																 }})};
		testkit::worker_standin worker{io, "i-1", "tally",
									   heartbeats.listen(endpoint{boost::asio::ip::address_v4::loopback(), 0}).value()};
		worker_incarnation current;
		std::map<worker_incarnation, std::int64_t> reported_ends; ///< Highest number, by incarnation.
		std::vector<wire::task_run> unlisted;
		std::vector<wire::job_refusal> refused;
		instant reported_at{};
		bool acknowledges{};
		bool confirmed{};
	};
}

TEST_CASE("a run that ended as done is not unlisted if a late listing call acknowledged its end in advance", "[jobs]")
{
	// Guards against a task that is executed twice: a call to the former incarnation, carried out by the next one,
	// acknowledges ends of runs that have not started yet, and these ends are never listed.
	restarting_worker test;
	test.run_for(millis{200});
	test.start({{job_id{"00000000000000a1"}, 0, 0, 0}, 1});
	REQUIRE(test.run_until([&] { return test.reported_ends[test.current] == 1; }));
	test.worker.faults.late_delay = millis{100};
	const bool late = GENERATE(false, true);
	test.worker.faults.late_holds = late ? 1 : 0;
	test.acknowledges = true;
	REQUIRE(test.run_until([&] { return test.worker.faults.late_holds == 0; }));
	const auto former = test.current;
	test.worker.restart_in_place(millis{300});
	REQUIRE(test.run_until([&] { return test.current != former && !test.current.empty(); }));
	test.run_for(millis{200});
	const task_run next{{job_id{"00000000000000b2"}, 0, 0, 0}, 1};
	test.start(next);
	REQUIRE(test.run_until(
		[&] { return test.worker.done_counts["00000000000000b2.0.0.0"] == 1 || !test.refused.empty(); }));
	test.run_for(millis{1'000});
	CHECK(test.unlisted.empty());
}
