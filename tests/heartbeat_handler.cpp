// SPDX-License-Identifier: MIT
/// \file
/// \brief Decoding of heartbeats from the wire, including those of other implementations.
#include <trailjunction/platform/heartbeat_handler.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace trailjunction;

namespace
{
	const std::string valid_heartbeat =
		R"({"service":"tally","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":8,"state":"ready","coldLeftMs":0,)"
		R"("capacity":{"cpu":16000,"memMb":32768,"gpus":0},"labels":["a","r1-3"],"clockMs":482113,"seq":4})";

	std::string with_replaced(std::string text, const std::string& from, const std::string& to)
	{
		const auto position = text.find(from);
		REQUIRE(position != std::string::npos);
		return text.replace(position, from.size(), to);
	}

	/// Sends heartbeats to the handler and records those that it accepts.
	struct handler_fixture
	{
		int put(const std::string& body, const std::string& worker = "i-1")
		{
			auto handler = platform::make_heartbeat_handler({[this](worker_heartbeat heartbeat)
															 { accepted.push_back(std::move(heartbeat)); },
															 [](worker_incarnation) {
															 }});
			boost::asio::io_context io;
			int status = 0;
			boost::asio::co_spawn(
				io,
				[&]() -> boost::asio::awaitable<void>
				{
					http_request request{"PUT", "/instances/" + worker, {}, body};
					const auto response = co_await handler(std::move(request));
					status = response.status;
				},
				boost::asio::detached);
			io.run();
			return status;
		}

		std::vector<worker_heartbeat> accepted;
	};
}

TEST_CASE("a valid heartbeat yields the worker's identity, capacity and state", "[agent]")
{
	handler_fixture fixture;
	CHECK(fixture.put(valid_heartbeat) == 200);
	REQUIRE(fixture.accepted.size() == 1);
	CHECK(fixture.accepted[0].incarnation == worker_incarnation{"i-1"});
	CHECK(fixture.accepted[0].capacity == resources{16'000, 32'768, 0});
	CHECK(fixture.accepted[0].sequence == 4);
	CHECK_FALSE(fixture.accepted[0].draining);
	CHECK(fixture.put(with_replaced(valid_heartbeat, R"("ready")", R"("draining")")) == 200);
	CHECK(fixture.accepted[1].draining);
}

// Guards against ids that outgrow the rows in which they are stored.
TEST_CASE("a heartbeat of a worker whose id is longer than the platform's keys is refused", "[agent]")
{
	handler_fixture fixture;
	CHECK(fixture.put(valid_heartbeat, std::string(200, 'i')) == 200);
	CHECK(fixture.put(valid_heartbeat, std::string(201, 'i')) == 400);
	CHECK(fixture.accepted.size() == 1);
}

TEST_CASE("the start time in a heartbeat tells incarnations with the same id apart", "[agent]")
{
	const auto with_start = [](const std::string& start)
	{
		return with_replaced(valid_heartbeat, R"("seq":4)", R"("seq":4,"born":)" + start);
	};
	handler_fixture fixture;
	CHECK(fixture.put(with_start("1700000000123")) == 200);
	CHECK(fixture.put(with_start("1700000000124")) == 200);
	REQUIRE(fixture.accepted.size() == 2);
	CHECK(fixture.accepted[0].incarnation == worker_incarnation{"i-1", worker_start_time{1'700'000'000'123}});
	CHECK(fixture.accepted[0].incarnation != fixture.accepted[1].incarnation);
	CHECK(fixture.accepted[0].incarnation != worker_incarnation{"i-1"});
	for (const auto* malformed : {"\"1700000000123\"", "1700000000123.5", "-1", "null", "true", "[1]"})
	{
		INFO(malformed);
		CHECK(fixture.put(with_start(malformed)) == 400);
	}
	CHECK(fixture.accepted.size() == 2);
}

TEST_CASE("a malformed heartbeat is rejected and registers no worker", "[agent]")
{
	const std::vector<std::string> malformed{
		"",
		"\x01\xff\x80",
		"[]",
		"{}",
		valid_heartbeat.substr(0, valid_heartbeat.size() / 2),
		with_replaced(valid_heartbeat, R"("state":"ready",)", ""),
		with_replaced(valid_heartbeat, R"("ready")", R"("warming")"),
		with_replaced(valid_heartbeat, R"("ready")", "7"),
		with_replaced(valid_heartbeat, R"("service":"tally",)", ""),
		with_replaced(valid_heartbeat, R"("tally")", "[1]"),
		with_replaced(valid_heartbeat, R"("10.0.0.9:8080")", R"("somewhere")"),
		with_replaced(valid_heartbeat, R"("10.0.0.9:8080")", "null"),
		with_replaced(valid_heartbeat, R"({"cpu":16000,"memMb":32768,"gpus":0})", "16000"),
		with_replaced(valid_heartbeat, R"("cpu":16000)", R"("cpu":"many")"),
		with_replaced(valid_heartbeat, R"("cpu":16000,)", ""),
		with_replaced(valid_heartbeat, R"("memMb":32768)", R"("memMb":-1)"),
		with_replaced(valid_heartbeat, R"("clockMs":482113)", R"("clockMs":"late")"),
		with_replaced(valid_heartbeat, R"(,"seq":4)", ""),
	};
	handler_fixture fixture;
	for (const auto& body : malformed)
	{
		INFO(body);
		CHECK(fixture.put(body) == 400);
	}
	CHECK(fixture.accepted.empty());
}

TEST_CASE("a heartbeat with a number out of range is rejected", "[agent]")
{
	// Sums of capacities overflowed, and a clock near the largest number left no fencing token for orders.
	const auto with_capacity = [](const std::string& capacity)
	{
		return with_replaced(valid_heartbeat, R"("cpu":16000,"memMb":32768,"gpus":0)", capacity);
	};
	const auto with_start = [](const std::string& start)
	{
		return with_replaced(valid_heartbeat, R"("seq":4)", R"("seq":4,"born":)" + start);
	};
	const std::vector<std::string> out_of_range{
		with_capacity(R"("cpu":1000000000000000000,"memMb":32768,"gpus":0)"),
		with_capacity(R"("cpu":16000,"memMb":9223372036854775807,"gpus":0)"),
		with_capacity(R"("cpu":16000,"memMb":32768,"gpus":-9223372036854775808)"),
		with_capacity(R"("cpu":16000,"memMb":32768,"gpus":1e300)"),
		with_replaced(valid_heartbeat, "482113", "9223372036854775807"),
		with_replaced(valid_heartbeat, R"("seq":4)", R"("seq":9223372036854775807)"),
		with_replaced(valid_heartbeat, "10.0.0.9:8080", "10.0.0.9:70000"),
		with_replaced(valid_heartbeat, "10.0.0.9:8080", "10.0.0.9:0"),
		with_start("18446744073709551615"),
		with_start("9223372036854775807"),
	};
	handler_fixture fixture;
	for (const auto& body : out_of_range)
	{
		INFO(body);
		CHECK(fixture.put(body) == 400);
	}
	CHECK(fixture.accepted.empty());
	CHECK(fixture.put(with_capacity(R"("cpu":16000,"memMb":32768)")) == 200); // accelerators may be left out
	CHECK(fixture.put(with_start("1700000000000")) == 200);
	// The end of a planned stop may have passed, and a worker may have no time to name.
	for (const auto* remaining : {"-1", "9223372036854775807"})
	{
		CHECK(fixture.put(with_replaced(valid_heartbeat, R"("seq":4)",
										std::string{R"("seq":4,"remainingMs":)"} + remaining)) == 200);
		CHECK(fixture.accepted.back().remaining >= millis{0});
		CHECK(fixture.accepted.back().remaining < std::chrono::years{1'000'000});
	}
}
