// SPDX-License-Identifier: MIT
/// \file
/// \brief Which request bodies are evicted when those of all connections exceed the server's budget.
#include "../packages/net/src/impl/body_budget.hpp"

#include <trailjunction/net/coroutines.hpp>
#include <trailjunction/net/http_server.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <string>

using namespace trailjunction;
using namespace trailjunction::impl;
namespace asio = boost::asio;

namespace
{
	/// A budget of 100 bytes that records in which order bodies are evicted.
	struct budget_fixture
	{
		body_budget::handle add(const std::string& name)
		{
			return budget.add([this, name] { evicted += name; });
		}

		body_budget budget{100};
		std::string evicted;
	};
}

TEST_CASE("the incomplete body that has been arriving for longest is evicted first", "[net]")
{
	budget_fixture test;
	const auto slow = test.add("a");
	const auto later = test.add("b");
	test.budget.update(slow, 60);
	test.budget.update(later, 40);
	CHECK(test.evicted.empty());
	test.budget.update(later, 41);
	CHECK(test.evicted == "a");
	CHECK(slow->is_evicted);
	test.budget.update(later, 100);
	CHECK(test.evicted == "a");
}

TEST_CASE("a complete body is not evicted, and leaves no room for others until its request is answered", "[net]")
{
	budget_fixture test;
	const auto complete = test.add("a");
	complete->is_complete = true;
	test.budget.update(complete, 100);
	const auto refused = test.add("b");
	test.budget.update(refused, 1);
	CHECK(test.evicted == "b");
	test.budget.release(complete);
	const auto next = test.add("c");
	test.budget.update(next, 100);
	CHECK(test.evicted == "b");
}

TEST_CASE("an evicted body holds nothing, and is evicted once", "[net]")
{
	budget_fixture test;
	const auto body = test.add("a");
	test.budget.update(body, 101);
	test.budget.update(body, 102);
	CHECK(test.evicted == "a");
	test.budget.release(body);
	const auto next = test.add("b");
	test.budget.update(next, 100);
	CHECK(test.evicted == "a");
}

namespace
{
	/// Sends a text over a new connection, and reads until the server closes it.
	/// \param before_reading Called after the text was sent.
	asio::awaitable<std::string> exchange(asio::io_context& io, endpoint server, std::string text,
										  std::function<asio::awaitable<void>()> before_reading)
	{
		asio::ip::tcp::socket socket{io};
		(void)co_await socket.async_connect(server, as_result);
		(void)co_await asio::async_write(socket, asio::buffer(text), as_result);
		co_await before_reading();
		std::string out;
		(void)co_await asio::async_read(socket, asio::dynamic_buffer(out), as_result);
		co_return out;
	}

	asio::awaitable<void> no_wait()
	{
		co_return;
	}
}

TEST_CASE("a response is sent whole although the budget for bodies runs out meanwhile", "[net]")
{
	// Guards against a request without a body that counts as incomplete, and is evicted while its response is written.
	constexpr std::size_t response_bytes = std::size_t{16} * 1024 * 1024; // more than the sockets hold
	asio::io_context io{1};
	http_limits limits;
	limits.max_held_body_bytes = 10;
	http_server server{io, limits,
					   [&](http_request) -> asio::awaitable<http_response>
					   {
						   co_return http_response{200, {}, std::string(response_bytes, 'a')};
					   }};
	const auto address = server.listen(endpoint{asio::ip::address_v4::loopback(), 0}).value();
	std::string refusal;
	std::string response;
	bool done = false;
	const auto send_too_much = [&]() -> asio::awaitable<void>
	{
		std::string request = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 20\r\n\r\n01234567890";
		std::function<asio::awaitable<void>()> at_once = no_wait;
		refusal = co_await exchange(io, address, std::move(request), std::move(at_once));
	};
	asio::co_spawn(
		io,
		[&]() -> asio::awaitable<void>
		{
			std::string request = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
			std::function<asio::awaitable<void>()> first = send_too_much;
			response = co_await exchange(io, address, std::move(request), std::move(first));
			done = true;
		},
		asio::detached);
	while (!done)
		io.run_one();
	CHECK(refusal.starts_with("HTTP/1.1 503"));
	CHECK(refusal.find("Retry-After: 1") != std::string::npos);
	CHECK(response.size() > response_bytes);
}
