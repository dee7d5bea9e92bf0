// SPDX-License-Identifier: MIT
/// \file
/// \brief Connections that stop passing data without being closed, while new ones work.
#include <trailjunction/net/coroutines.hpp>
#include <trailjunction/net/http_client.hpp>
#include <trailjunction/net/http_server.hpp>
#include <trailjunction/testkit/fault_proxy.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

using namespace trailjunction;
using namespace trailjunction::testkit;

namespace
{
	constexpr auto longest_wait = std::chrono::seconds{20}; // until a test that cannot go on gives up
	constexpr auto answer_time = millis{150};               // of one request; answers come within a few
	constexpr std::size_t pool = 4;

	/// A server that answers when it is let to, behind a proxy, and a client with a pool of connections.
	struct scene
	{
		scene()
		{
			const auto where = server.listen(*parse_endpoint("127.0.0.1:0"));
			REQUIRE(where.ok());
			proxy = std::make_unique<fault_proxy>(io, *where);
			client = std::make_unique<http_client>(io, proxy->listen(), pool);
		}

		template <typename Until>
		bool run_until(Until until)
		{
			const auto end = steady_now() + longest_wait;
			while (!until() && steady_now() < end)
				io.run_one_for(millis{10});
			return until();
		}

		void send()
		{
			boost::asio::co_spawn(
				io,
				[this]() -> boost::asio::awaitable<void>
				{
					http_request request;
					const auto result = co_await client->send(std::move(request), steady_now() + answer_time);
					results.push_back(result.reached);
				},
				boost::asio::detached);
		}

		/// Requests side by side, each on a connection of its own that then stays in the pool.
		void fill_pool()
		{
			held = true;
			for (std::size_t i = 0; i < pool; ++i)
				send();
			REQUIRE(run_until([&] { return waiting == pool; }));
			held = false;
			REQUIRE(run_until([&] { return results.size() == pool; }));
			for (const auto result : results)
				REQUIRE(result == delivery::answered);
			results.clear();
		}

		boost::asio::io_context io{1};
		bool held{};
		std::size_t waiting{};
		http_server server{io, http_limits{},
						   [this](http_request) -> boost::asio::awaitable<http_response>
						   {
							   ++waiting;
							   while (held)
								   co_await pause_for(io, millis{1});
							   --waiting;
							   co_return http_response{};
						   }};
		std::unique_ptr<fault_proxy> proxy;
		std::unique_ptr<http_client> client;
		std::vector<delivery> results;
	};
}

TEST_CASE("one request that finds a pooled connection silent spares the next ones its siblings", "[net]")
{
	scene it;
	for (int time = 0; time < 2; ++time) // once and again
	{
		it.fill_pool();
		it.proxy->silence_all();
		for (std::size_t i = 0; i < 3; ++i)
		{
			it.send();
			REQUIRE(it.run_until([&] { return it.results.size() == i + 1; }));
		}
		CHECK(it.results == std::vector{delivery::unknown, delivery::answered, delivery::answered});
		it.results.clear();
	}
}

TEST_CASE("a connection that falls silent in the middle of an answer is not used again", "[net]")
{
	scene it;
	it.fill_pool();
	it.held = true;
	it.send();
	REQUIRE(it.run_until([&] { return it.waiting == 1; }));
	it.proxy->silence_all();
	it.held = false;
	REQUIRE(it.run_until([&] { return it.results.size() == 1; }));
	CHECK(it.results.back() == delivery::unknown);
	it.send();
	REQUIRE(it.run_until([&] { return it.results.size() == 2; }));
	CHECK(it.results.back() == delivery::answered);
}

TEST_CASE("a server that is slow on a new connection costs the pool nothing", "[net]")
{
	scene it;
	it.fill_pool();
	const auto before = it.proxy->working_connections();
	it.held = true;
	for (std::size_t i = 0; i < pool + 1; ++i)
		it.send(); // the last one dials
	REQUIRE(it.run_until([&] { return it.waiting == pool + 1; }));
	it.held = false;
	REQUIRE(it.run_until([&] { return it.results.size() == pool + 1; }));
	CHECK(it.proxy->working_connections() >= before);
	for (const auto result : it.results)
		CHECK(result == delivery::answered);
}
