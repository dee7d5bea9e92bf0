// SPDX-License-Identifier: MIT
/// \file
/// \brief The stand-in of a worker as an agent sees it when the worker starts again under the same id.
#include <trailjunction/core/json.hpp>
#include <trailjunction/net/http_client.hpp>
#include <trailjunction/net/http_server.hpp>
#include <trailjunction/testkit/worker_standin.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

using namespace trailjunction;
using namespace trailjunction::testkit;

namespace
{
	namespace asio = boost::asio;
	namespace json = boost::json;

	constexpr auto longest_wait = std::chrono::seconds{20}; // upper bound before a blocked test fails
	constexpr auto long_lease = millis{600'000};            // lapses in no test
	constexpr std::int64_t far_deadline = 1'000'000'000;
	constexpr std::int64_t token = 7;
	constexpr const char* worker_id = "life-1";
	constexpr const char* start_time_field = "born";
	constexpr const char* long_work = "600000";
	constexpr const char* no_work = "0";

	/// A worker, and an agent of which only the receiver of heartbeats exists.
	struct worker_and_agent
	{
		worker_and_agent()
		{
			worker.longest_lease = long_lease;
		}

		template <typename Condition>
		bool run_until(Condition condition)
		{
			const auto end = boottime_now() + longest_wait;
			while (!condition() && boottime_now() < end)
				io.run_one_for(millis{10});
			return condition();
		}

		/// Sends a call; its result is in #result when it is over.
		void send(const std::string& path, const json::object& body)
		{
			result.reset();
			http_request request{"POST", path, {{"Expect-Instance", worker_id}}, json::serialize(body)};
			asio::co_spawn(
				io,
				[this, request]() -> asio::awaitable<void>
				{ result = co_await client.send(request, boottime_now() + longest_wait); },
				asio::detached);
		}

		http_result call(const std::string& path, const json::object& body)
		{
			send(path, body);
			REQUIRE(run_until([&] { return result.has_value(); }));
			return *result;
		}

		/// Whether the call that was sent last is over without an answer.
		bool has_no_answer()
		{
			return run_until([&] { return result.has_value(); }) && result->delivery == delivery_status::unknown;
		}

		json::object answered(const std::string& path, const json::object& body)
		{
			const auto out = call(path, body);
			REQUIRE(out.delivery == delivery_status::answered);
			REQUIRE(out.response.status == 200);
			return parse_json(out.response.body)->get_object();
		}

		json::object list(std::int64_t last_seen = 0)
		{
			return answered("/hold", hold(last_seen));
		}

		static json::object hold(std::int64_t last_seen, std::int64_t deadline_ms = far_deadline)
		{
			return {{"fencingToken", token}, {"lastSeen", last_seen}, {"deadlineMs", deadline_ms}};
		}

		static json::object start(const std::string& task, const std::string& work, std::int64_t with_token = token)
		{
			return {{"task", task},
					{"runId", 1},
					{"spec", work},
					{"deadlineMs", far_deadline},
					{"fencingToken", with_token}};
		}

		/// Starts a run that ends at once and waits for its end.
		void finish_run(const std::string& task)
		{
			(void)answered("/run-start", start(task, no_work));
			REQUIRE(run_until(
				[&]
				{
					worker.record_ends(boottime_now());
					return worker.done_counts[task] == 1;
				}));
		}

		/// The number of heartbeats received with this start time.
		std::ptrdiff_t heartbeats_of(std::int64_t start_time_ms)
		{
			return std::count_if(heartbeats.begin(), heartbeats.end(),
								 [&](const json::object& body)
								 { return number_or(body, start_time_field) == start_time_ms; });
		}

		asio::io_context io{1};
		std::vector<json::object> heartbeats;
		std::vector<std::string> targets; ///< Method and target of each call to the agent.
		http_server agent{io, http_limits{},
						  [this](http_request request) -> asio::awaitable<http_response>
						  {
							  targets.push_back(request.method + " " + request.target);
							  if (request.method == "PUT")
								  heartbeats.push_back(parse_json(request.body)->get_object());
							  co_return json_response(200, "{}");
						  }};
		endpoint agent_address{agent.listen(endpoint{asio::ip::address_v4::loopback(), 0}).value()};
		worker_standin worker{io, worker_id, "tally", agent_address};
		endpoint worker_address{worker.listen()};
		http_client client{io, worker_address};
		std::optional<http_result> result;
	};

	std::vector<std::int64_t> listed_ends(const json::object& listing)
	{
		std::vector<std::int64_t> out;
		for (const auto& end : listing.at("finished").as_array())
			out.push_back(end.at(0).to_number<std::int64_t>());
		return out;
	}
}

TEST_CASE("a worker that starts again under its id runs nothing and begins its counts anew", "[testkit]")
{
	worker_and_agent test;
	test.worker.start_heartbeats(test.worker_address);
	REQUIRE(test.run_until([&] { return test.heartbeats.size() >= 3; }));
	test.finish_run("a.0.0.0");
	(void)test.answered("/run-start", worker_and_agent::start("a.0.0.1", long_work));
	const auto before = test.list();
	REQUIRE(listed_ends(before) == std::vector<std::int64_t>{1});
	REQUIRE(before.at("running").as_array().size() == 1);

	const auto former = test.worker.incarnation();
	const auto restarted_at = boottime_now();
	test.worker.restart_in_place();
	CHECK(test.worker.id() == worker_id);
	CHECK(test.worker.incarnation() != former);
	CHECK(test.worker.started_runs.back().end_state == "died");
	CHECK(test.worker.remaining_lease() <= millis{0});

	// A lower token and the run that had ended are taken: nothing of the former incarnation is known.
	(void)test.answered("/run-start", worker_and_agent::start("a.0.0.0", no_work, token - 1));
	REQUIRE(test.run_until([&] { return !listed_ends(test.list()).empty(); }));
	const auto after = test.list();
	const auto elapsed = boottime_now() - restarted_at;
	CHECK(listed_ends(after) == std::vector<std::int64_t>{1});
	CHECK(after.at("running").as_array().empty());
	CHECK(number_or(after, "clockMs") > 0);
	CHECK(millis{number_or(after, "clockMs")} <= elapsed + millis{1});
	REQUIRE(test.run_until([&] { return test.heartbeats_of(test.worker.start_time_ms()) > 0; }));
	const auto first = std::find_if(test.heartbeats.begin(), test.heartbeats.end(),
									[&](const json::object& body)
									{ return number_or(body, start_time_field) == test.worker.start_time_ms(); });
	CHECK(number_or(*first, "seq") == 1);
	CHECK(std::all_of(test.targets.begin(), test.targets.end(),
					  [](const std::string& target) { return target == "PUT /instances/life-1"; }));
}

TEST_CASE("a restart under another id begins the counts anew as well", "[testkit]")
{
	worker_and_agent test;
	test.finish_run("a.0.0.0");
	test.worker.restart("life-2");
	CHECK(test.worker.id() == "life-2");
	CHECK(test.call("/hold", worker_and_agent::hold(0)).response.status == 421);
	CHECK(test.worker.remaining_lease() <= millis{0});
}

TEST_CASE("the next incarnation carries out a late start of the former one", "[testkit]")
{
	worker_and_agent test;
	test.worker.faults.late_orders = 1;
	const auto former = test.worker.incarnation();
	test.send("/run-start", worker_and_agent::start("a.0.0.0", long_work));
	REQUIRE(test.run_until([&] { return test.worker.faults.late_orders == 0; }));
	test.worker.restart_in_place(millis{50});
	REQUIRE(test.run_until([&] { return !test.worker.started_runs.empty(); }));
	CHECK(test.has_no_answer());
	CHECK(test.worker.started_runs[0].late);
	CHECK(test.worker.started_runs[0].incarnation == test.worker.incarnation());
	CHECK(test.worker.incarnation() != former);
	CHECK(test.list().at("running").as_array().size() == 1);
}

TEST_CASE("a late hold of the former incarnation acknowledges ends of the next one", "[testkit]")
{
	worker_and_agent test;
	const auto former = test.worker.incarnation();
	test.worker.faults.late_holds = 1;
	test.send("/hold", worker_and_agent::hold(2));
	REQUIRE(test.run_until([&] { return test.worker.faults.late_holds == 0; }));
	test.worker.restart_in_place();
	REQUIRE(test.run_until([&] { return test.worker.remaining_lease() > millis{0}; }));
	CHECK(test.has_no_answer());
	for (const auto* task : {"a.0.0.0", "a.0.0.1", "a.0.0.2"})
		test.finish_run(task);
	CHECK(listed_ends(test.list()) == std::vector<std::int64_t>{3});
	CHECK(test.worker.started_runs[0].acknowledged_at.has_value());
	CHECK(test.worker.started_runs[1].acknowledged_at.has_value());
	CHECK_FALSE(test.worker.started_runs[2].acknowledged_at.has_value());
	REQUIRE(test.worker.started_runs[0].acknowledged_early.has_value());
	const auto& call = *test.worker.started_runs[0].acknowledged_early;
	CHECK(call.late);
	CHECK(call.received_by == former);
	CHECK(call.last_seen == 2);
	CHECK(call.end_count == 0);
	CHECK(test.worker.started_runs[1].acknowledged_early.has_value());
	CHECK_FALSE(test.worker.started_runs[2].acknowledged_early.has_value());
}

TEST_CASE("a hold that waits when its incarnation ends gets no answer", "[testkit]")
{
	worker_and_agent test;
	auto body = worker_and_agent::hold(0);
	body["waitMs"] = 2'000;
	test.send("/hold", body);
	REQUIRE(test.run_until([&] { return test.worker.remaining_lease() > millis{0}; }));
	test.worker.restart_in_place();
	CHECK(test.has_no_answer());
}

TEST_CASE("heartbeats and listings contain the start time", "[testkit]")
{
	worker_and_agent test;
	test.worker.start_heartbeats(test.worker_address);
	const auto start_time = test.worker.start_time_ms();
	CHECK(start_time > 0);
	CHECK(number_or(test.list(), start_time_field) == start_time);
	CHECK(test.run_until([&] { return test.heartbeats_of(start_time) > 0; }));

	// The instance's clock was set back between the two starts.
	test.worker.next_start_time_ms = start_time - 1;
	test.worker.restart_in_place();
	CHECK(test.worker.start_time_ms() == start_time - 1);
	CHECK(number_or(test.list(), start_time_field) == start_time - 1);
	CHECK(test.run_until([&] { return test.heartbeats_of(start_time - 1) > 0; }));
	test.worker.restart_in_place();
	CHECK(test.worker.start_time_ms() >= start_time);

	test.worker.sends_start_time = false;
	CHECK_FALSE(test.list().contains(start_time_field));
	CHECK(
		test.run_until([&] { return !test.heartbeats.empty() && !test.heartbeats.back().contains(start_time_field); }));
}

TEST_CASE("equal start times do not make two incarnations one", "[testkit]")
{
	worker_and_agent test;
	const auto former = test.worker.incarnation();
	test.worker.next_start_time_ms = test.worker.start_time_ms();
	test.worker.restart_in_place();
	CHECK(test.worker.incarnation() != former);
	test.finish_run("a.0.0.0");
	CHECK(test.worker.started_runs[0].in_namesake);
	test.worker.next_start_time_ms = test.worker.start_time_ms() + 1;
	test.worker.restart_in_place();
	test.finish_run("a.0.0.1");
	CHECK_FALSE(test.worker.started_runs[1].in_namesake);
}

TEST_CASE("a heartbeat of the former incarnation can arrive during the next one", "[testkit]")
{
	worker_and_agent test;
	test.worker.start_heartbeats(test.worker_address);
	const auto former = test.worker.start_time_ms();
	test.worker.next_start_time_ms = former + 1;
	REQUIRE(test.run_until([&] { return test.heartbeats_of(former) >= 2; }));
	test.worker.faults.late_delay = millis{1};
	test.worker.faults.late_heartbeats = 1;
	REQUIRE(test.run_until([&] { return test.worker.faults.late_heartbeats == 0; }));
	const auto received = test.heartbeats_of(former);
	test.worker.restart_in_place();
	REQUIRE(test.run_until([&] { return test.heartbeats_of(former) > received; }));
	CHECK(test.heartbeats_of(former) == received + 1);
}

TEST_CASE("a longer lease is cut down", "[testkit]")
{
	worker_and_agent test;
	(void)test.answered("/hold", worker_and_agent::hold(0, far_deadline));
	CHECK(test.worker.remaining_lease() <= long_lease);
	CHECK(test.worker.remaining_lease() > millis{0});
	test.worker.restart_in_place();
	(void)test.answered("/run-start", worker_and_agent::start("a.0.0.0", long_work));
	CHECK(test.worker.remaining_lease() <= long_lease);
	CHECK(test.worker.remaining_lease() > millis{0});
}

TEST_CASE("a crash can keep the id, and the worker is down until the next incarnation begins", "[testkit]")
{
	worker_and_agent test;
	test.worker.keeps_id = true;
	test.worker.restart_delay = long_lease;
	test.worker.crashing_tasks.insert("a.0.0.0");
	const auto former = test.worker.incarnation();
	const auto crashed = test.call("/run-start", worker_and_agent::start("a.0.0.0", long_work));
	CHECK(crashed.delivery == delivery_status::unknown);
	CHECK(test.worker.id() == worker_id);
	CHECK(test.worker.incarnation() != former);
	CHECK(test.worker.started_runs.at(0).incarnation == former);
	CHECK(test.worker.started_runs.at(0).end_state == "died");
	CHECK(test.call("/hold", worker_and_agent::hold(0)).delivery == delivery_status::unknown);
}

TEST_CASE("a worker names its id alone when it leaves", "[testkit]")
{
	worker_and_agent test;
	test.worker.leave();
	test.worker.restart("life-2");
	REQUIRE(test.run_until([&] { return !test.targets.empty(); }));
	CHECK(test.targets.front() == "DELETE /instances/life-1");
}
