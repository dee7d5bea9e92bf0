// SPDX-License-Identifier: MIT
/// \file
/// \brief A worker that restarts under the id that it had, while calls, links or rows still refer to its former
/// incarnations.
#include "../packages/agent/src/process/run_manager.hpp"

#include <trailjunction/net/coroutines.hpp>
#include <trailjunction/net/http_server.hpp>
#include <trailjunction/platform/heartbeat_handler.hpp>
#include <trailjunction/platform/worker_client.hpp>
#include <trailjunction/testkit/worker_standin.hpp>
#include <trailjunction/wire/job_messages.hpp>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace trailjunction;
using namespace trailjunction::testkit;

namespace
{
	constexpr auto longest_wait = std::chrono::seconds{20}; // upper bound before a blocked test fails
	constexpr const char* worker_id = "i-1";

	task_run run_of(const char* job)
	{
		return {{job_id{job}, 0, 0, 0}, 1};
	}

	const task_run first_run = run_of("00000000000000a1");
	const task_run second_run = run_of("00000000000000b2");

	bool contains(const std::vector<task_run>& runs, const task_run& run_id)
	{
		return std::find(runs.begin(), runs.end(), run_id) != runs.end();
	}

	/// An agent and a worker that speak to each other over the platform's protocol; the test acts as the owner.
	struct agent_and_worker
	{
		agent_and_worker()
		{
			runs.set_lease(millis{5'000});
			worker.start_heartbeats(worker.listen());
			REQUIRE(run_until([&] { return !current().empty(); }));
			confirm(0);
		}

		template <typename Condition>
		bool run_until(Condition condition)
		{
			const auto end = boottime_now() + longest_wait;
			while (!condition() && boottime_now() < end)
				io.run_one_for(millis{5});
			return condition();
		}

		void run_for(millis time)
		{
			const auto end = boottime_now() + time;
			(void)run_until([&] { return boottime_now() >= end; });
		}

		/// The incarnation that the agent reports; collects what else it reports.
		worker_incarnation current()
		{
			const auto report = runs.report(false);
			stamp_ms = report.stamp_ms;
			for (const auto& end : report.ended)
				ended.push_back(from_wire(end).run_id);
			for (const auto& run : report.unlisted)
				unlisted.push_back(from_wire(run));
			for (const auto& run : report.running)
				running.push_back(from_wire(run).run_id);
			for (const auto& refusal : report.refused)
				refused.push_back(from_wire(refusal).run_id);
			return worker_of(report);
		}

		bool await_incarnation(std::int64_t start_time_ms)
		{
			const worker_incarnation wanted{worker_id, worker_start_time{static_cast<std::uint64_t>(start_time_ms)}};
			return run_until([&] { return current() == wanted; });
		}

		void confirm(std::int64_t ends_kept)
		{
			wire::job_confirm answer;
			set_worker(answer, current());
			answer.stamp_ms = stamp_ms;
			answer.ends_kept = ends_kept;
			runs.confirm(answer);
		}

		void order_start(const task_run& run_id, const std::string& work_ms)
		{
			wire::job_start order;
			order.what = to_wire(run_id);
			set_worker(order, current());
			order.payload = work_ms;
			runs.start(order);
		}

		bool has_ended_at_worker(const task_run& run_id)
		{
			worker.record_ends(boottime_now());
			return std::any_of(worker.started_runs.begin(), worker.started_runs.end(),
							   [&](const auto& run)
							   { return run.task.starts_with(run_id.task.job.str()) && run.end_state == "done"; });
		}

		/// Waits until a run has ended and the agent has reported its end.
		void finish_first_run()
		{
			order_start(first_run, "50");
			REQUIRE(run_until([&] { return (void)current(), contains(ended, first_run); }));
		}

		bool is_first_end_acknowledged()
		{
			return worker.started_runs.front().acknowledged_at.has_value();
		}

		/// Runs a task in the incarnation that the worker has now, and waits until the agent has reported its outcome.
		void run_in_next_incarnation()
		{
			REQUIRE(await_incarnation(worker.start_time_ms()));
			run_second();
		}

		void run_second()
		{
			confirm(0);
			order_start(second_run, "50");
			REQUIRE(run_until([&] { return has_ended_at_worker(second_run); }));
			REQUIRE(run_until(
				[&] { return (void)current(), contains(unlisted, second_run) || contains(ended, second_run); }));
		}

		boost::asio::io_context io{1};
		run_manager runs{io,
						 [this](endpoint address) { return std::make_unique<platform::worker_client>(io, address); },
						 millis{6'000}, pacing_policy{},
						 [] {
						 }};
		http_server heartbeats{io, http_limits{},
							   platform::make_heartbeat_handler({[this](worker_heartbeat heartbeat)
																 { runs.on_heartbeat(std::move(heartbeat)); },
																 [this](worker_incarnation incarnation)
																 {
																	 runs.on_worker_leaving(incarnation);
																 }})};
		worker_standin worker{io, worker_id, "tally",
							  heartbeats.listen(endpoint{boost::asio::ip::address_v4::loopback(), 0}).value()};
		std::int64_t stamp_ms{};
		std::vector<task_run> ended;
		std::vector<task_run> unlisted;
		std::vector<task_run> running;
		std::vector<task_run> refused;
	};

	/// A worker with one end, which closes its connections after each answer.
	class closing_worker final : public worker_port
	{
	public:
		closing_worker(boost::asio::io_context& io, std::vector<listing_order>& calls) : io_{io}, calls_{calls} {}

		boost::asio::awaitable<order_result> start(order_authority, run_start, instant) override
		{
			co_return order_result{order_outcome::done, 1};
		}
		boost::asio::awaitable<order_result> stop(order_authority, task_run, instant) override
		{
			co_return order_result{order_outcome::done, 1};
		}
		boost::asio::awaitable<listing_result> list(order_authority, listing_order order, instant) override
		{
			if (order.open_connection_only)
				co_return listing_result{{order_outcome::not_sent, 0}, {}};
			co_await pause_for(io_, millis{5});
			calls_.push_back(order);
			listing_result out{{order_outcome::done, 1'000}, {}};
			out.listing.ended.push_back({1, first_run, run_outcome::done, ""});
			co_return out;
		}
		boost::asio::awaitable<order_result> pace(order_authority, task_run, int, instant) override
		{
			co_return order_result{order_outcome::done, 1};
		}

	private:
		boost::asio::io_context& io_;
		std::vector<listing_order>& calls_;
	};
}

TEST_CASE("a worker that closes its connections is asked for its start time before each acknowledgement", "[jobs]")
{
	boost::asio::io_context io{1};
	std::vector<listing_order> calls;
	run_manager runs{io, [&](endpoint) { return std::make_unique<closing_worker>(io, calls); }, millis{5'000},
					 pacing_policy{},
					 [] {
					 }};
	runs.set_lease(millis{5'000});
	worker_heartbeat heartbeat;
	heartbeat.incarnation = worker_incarnation{"i-1", worker_start_time{1'700'000'000'000}};
	runs.on_heartbeat(heartbeat);
	const auto acknowledges = [](const listing_order& order)
	{
		return order.ends_kept == 1 && order.deadline_ms > 0;
	};
	const auto end = boottime_now() + longest_wait;
	while (std::count_if(calls.begin(), calls.end(), acknowledges) < 3 && boottime_now() < end)
	{
		io.run_one_for(millis{5});
		const auto report = runs.report(false);
		wire::job_confirm answer;
		set_worker(answer, heartbeat.incarnation);
		answer.stamp_ms = report.stamp_ms;
		answer.ends_kept = 1;
		runs.confirm(answer);
	}
	REQUIRE(std::count_if(calls.begin(), calls.end(), acknowledges) >= 3);
	for (std::size_t i = 0; i < calls.size(); ++i)
		if (acknowledges(calls[i]))
		{
			REQUIRE(i > 0);
			CHECK(calls[i - 1].ends_kept == 0);
			CHECK(calls[i - 1].deadline_ms == 0);
		}
}

TEST_CASE("a late acknowledgement of a former incarnation hides no end of the next one", "[jobs]")
{
	// Guards against a run that ends as done, counts as lost for its owner, and is started again.
	agent_and_worker test;
	test.finish_first_run();
	test.worker.faults.late_holds = 1;
	test.worker.faults.late_delay = millis{300};
	test.worker.faults.late_heartbeats = 10; // the agent hears of the restart after the call was carried out
	test.confirm(1);
	REQUIRE(test.run_until([&] { return test.worker.faults.late_holds == 0; }));
	test.worker.restart_in_place(millis{50});
	test.run_in_next_incarnation();
	CHECK(contains(test.ended, second_run));
	CHECK_FALSE(contains(test.unlisted, second_run));
}

TEST_CASE("an acknowledgement sent just after a worker has restarted hides no end of the next incarnation", "[jobs]")
{
	// Guards against a run that ends as done, counts as lost for its owner, and is started again.
	agent_and_worker test;
	test.finish_first_run();
	test.confirm(1);
	test.worker.restart_in_place(); // before the listing call that acknowledges the end
	test.run_in_next_incarnation();
	CHECK(contains(test.ended, second_run));
	CHECK_FALSE(contains(test.unlisted, second_run));
}

TEST_CASE("an incarnation that states the start time of the former one keeps its ends until they are stored", "[jobs]")
{
	// Guards against ends that are acknowledged by the numbers of the former incarnation: a run that has ended as done
	// counts as running for good, or is started again.
	agent_and_worker test;
	test.finish_first_run();
	test.confirm(1);
	REQUIRE(test.run_until([&] { return test.worker.started_runs.front().acknowledged_at.has_value(); }));
	const auto former = test.current();
	test.worker.next_start_time_ms = test.worker.start_time_ms();
	test.worker.restart_in_place(millis{50});
	test.run_for(millis{500});
	(void)test.current();
	test.confirm(0);
	test.order_start(second_run, "50");
	REQUIRE(test.run_until([&] { return test.has_ended_at_worker(second_run); }));
	CHECK(test.run_until([&] { return (void)test.current(), contains(test.ended, second_run); }));
	CHECK_FALSE(test.worker.started_runs.back().acknowledged_at.has_value());
	CHECK(test.current() != former);
	test.confirm(1);
	CHECK(test.run_until([&] { return test.worker.started_runs.back().acknowledged_at.has_value(); }));
}

TEST_CASE("an incarnation that states the start time of the former one gets no lease before its owner confirms one",
		  "[jobs]")
{
	// Guards against runs that outlive the lease that their owner counts: the former incarnation's clock was higher.
	agent_and_worker test;
	test.finish_first_run();
	test.confirm(1);
	REQUIRE(test.run_until([&] { return test.worker.remaining_lease() > millis{0}; }));
	const auto former = test.current();
	test.worker.next_start_time_ms = test.worker.start_time_ms();
	test.worker.restart_in_place(millis{50});
	CHECK(test.run_until([&] { return test.current() != former; }));
	test.run_for(millis{500});
	CHECK(test.worker.remaining_lease() <= millis{0});
}

TEST_CASE("an acknowledgement after a call without an answer reaches no incarnation but the one that was asked",
		  "[jobs]")
{
	// Guards against a run that ends as done, counts as lost for its owner, and is started again: the worker restarts
	// between its answer to the call that asks for its start time and the acknowledgement.
	agent_and_worker test;
	test.finish_first_run();
	test.worker.faults.late_delay = longest_wait; // never carried out
	test.worker.faults.late_holds = 1;
	REQUIRE(test.run_until([&] { return test.worker.faults.late_holds == 0; }));
	test.confirm(1);
	const auto before = test.worker.listing_count;
	REQUIRE(test.run_until([&] { return test.worker.listing_count > before; }));
	constexpr auto answer_time = millis{10}; // shorter than the pause between two listing calls
	const auto restart_at = boottime_now() + answer_time;
	(void)test.run_until([&] { return boottime_now() >= restart_at; });
	test.worker.restart_in_place();
	test.run_in_next_incarnation();
	CHECK(contains(test.ended, second_run));
	CHECK_FALSE(contains(test.unlisted, second_run));
}

TEST_CASE("a start that the next incarnation carries out late is listed there and not reported as refused", "[jobs]")
{
	// Guards against two runs of a task at a time: the former incarnation had answered a stop, and the task's next run
	// works elsewhere after the refusal.
	agent_and_worker test;
	test.finish_first_run(); // while its end waits to be acknowledged, listings follow each other quickly
	test.worker.faults.late_orders = 1;
	test.worker.faults.late_delay = millis{600}; // while the worker is down
	test.order_start(second_run, "60000");
	const auto is_stopped = [&]
	{
		const auto& calls = test.worker.recorded_calls;
		return !calls.empty() && calls.back().response.starts_with("/run-stop: 200");
	};
	REQUIRE(test.run_until(is_stopped));
	const auto listings = test.worker.listing_count;
	REQUIRE(test.run_until([&] { return test.worker.listing_count > listings + 3; }));
	test.worker.restart_in_place(millis{500});
	REQUIRE(test.await_incarnation(test.worker.start_time_ms()));
	REQUIRE(test.run_until([&] { return (void)test.current(), contains(test.running, second_run); }));
	CHECK(test.refused.empty());
}

TEST_CASE("late heartbeats of a worker that has not restarted show no other incarnation", "[jobs]")
{
	// Guards against runs that count as lost with a former incarnation.
	agent_and_worker test;
	const auto before = test.current();
	constexpr int late_count = 5;
	test.worker.faults.late_heartbeats = late_count;
	test.worker.faults.late_delay = millis{700};
	REQUIRE(test.run_until([&] { return test.worker.faults.late_heartbeats == 0; }));
	test.run_for(millis{1'500}); // until all have arrived, after later ones
	CHECK(test.current() == before);
}

TEST_CASE("a worker that restarts under its id in the same millisecond is another incarnation", "[jobs]")
{
	// Guards against a run that ends as done, counts as lost for its owner, and is started again. The instance's clock
	// was set back.
	agent_and_worker test;
	for (int i = 0; i < 2; ++i)
	{
		test.finish_first_run();
		test.confirm(1);
		REQUIRE(test.run_until([&] { return (void)test.current(), test.is_first_end_acknowledged(); }));
		test.ended.clear();
		const auto former = test.current();
		test.worker.next_start_time_ms = test.worker.start_time_ms();
		test.worker.started_runs.clear();
		test.worker.restart_in_place();
		REQUIRE(test.run_until(
			[&]
			{
				const auto current = test.current();
				return !current.empty() && current != former;
			}));
		test.run_second();
		CHECK(contains(test.ended, second_run));
		CHECK_FALSE(contains(test.unlisted, second_run));
	}
}
