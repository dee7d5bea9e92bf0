// SPDX-License-Identifier: MIT
/// \file
/// \brief How an agent interprets its worker's responses.
#include <trailjunction/net/http_server.hpp>
#include <trailjunction/platform/worker_client.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <optional>

using namespace trailjunction;

namespace
{
	constexpr auto longest_wait = std::chrono::seconds{20}; // upper bound before a blocked test fails

	const worker_incarnation called{"life-1", worker_start_time{1'700'000'000'000}};

	/// The result of a call to a worker that answers 200 with this body. Records the request.
	template <typename Call>
	auto result_of_call(const std::string& body, Call call, http_request* recorded = nullptr)
	{
		boost::asio::io_context io{1};
		http_server server{io, http_limits{},
						   [&](http_request request) -> boost::asio::awaitable<http_response>
						   {
							   if (recorded != nullptr)
								   *recorded = std::move(request);
							   co_return json_response(200, body);
						   }};
		const auto address = server.listen(endpoint{boost::asio::ip::address_v4::loopback(), 0}).value();
		platform::worker_client client{io, address};
		std::optional<typename decltype(call(client))::value_type> out;
		boost::asio::co_spawn(
			io, [&]() -> boost::asio::awaitable<void> { out = co_await call(client); }, boost::asio::detached);
		while (!out)
			io.run_one();
		return *std::move(out);
	}

	listing_result listing_of(const std::string& body, http_request* recorded = nullptr)
	{
		return result_of_call(
			body,
			[](platform::worker_client& client) {
				return client.list(order_authority{called, 1}, listing_order{}, boottime_now() + longest_wait);
			},
			recorded);
	}

	order_outcome start_outcome_of(const std::string& body)
	{
		return result_of_call(
				   body,
				   [](platform::worker_client& client) {
					   return client.start(order_authority{called, 1}, run_start{}, boottime_now() + longest_wait);
				   })
			.outcome;
	}
}

TEST_CASE("a response that is not a listing is not treated as an empty listing", "[jobs]")
{
	// Guards against treating an unreadable response as an empty listing, which proves that an ordered run never
	// started.
	CHECK(listing_of("no listing").outcome == order_outcome::unknown);
	CHECK(listing_of("{}").outcome == order_outcome::unknown);
	CHECK(listing_of(R"({"clockMs":12,"running":[],"finished":[]})").outcome == order_outcome::done);
	const auto listed = listing_of(R"({"clockMs":12,"running":[["00000000000000a1.0.0.0",2,"",10]]})");
	CHECK(listed.outcome == order_outcome::done);
	CHECK(listed.listing.running.size() == 1);
}

TEST_CASE("a listing of another incarnation with the same id is not taken for one of the incarnation that was called",
		  "[jobs]")
{
	http_request request;
	CHECK(listing_of(R"({"clockMs":12,"born":1700000000000,"running":[],"finished":[]})", &request).outcome ==
		  order_outcome::done);
	CHECK(find_header(request.headers, "Expect-Instance") == "life-1");
	CHECK(listing_of(R"({"clockMs":12,"born":1700000000001,"running":[],"finished":[]})").outcome ==
		  order_outcome::other_incarnation);
	CHECK(listing_of(R"({"clockMs":12,"born":1699999999999,"running":[],"finished":[]})").outcome ==
		  order_outcome::other_incarnation);
}

TEST_CASE("a start that another incarnation answers may have been carried out", "[jobs]")
{
	// Guards against a run that is taken for refused, although the next incarnation has started it.
	CHECK(start_outcome_of(R"({"clockMs":12,"born":1700000000000})") == order_outcome::done);
	CHECK(start_outcome_of(R"({"clockMs":12})") == order_outcome::done);
	CHECK(start_outcome_of(R"({"clockMs":12,"born":1700000000001})") == order_outcome::unknown);
}

TEST_CASE("a listing with a running row that cannot be read proves nothing", "[jobs]")
{
	// Guards against a run that counts as gone, and is started a second time, because its row could not be read.
	CHECK(listing_of(R"({"clockMs":12,"running":[["no task name",2,"",10]],"finished":[]})").outcome ==
		  order_outcome::unknown);
	CHECK(listing_of(R"({"clockMs":12,"running":["no row"],"finished":[]})").outcome == order_outcome::unknown);
}

TEST_CASE("an end whose task cannot be read keeps its number, so that it can be acknowledged", "[jobs]")
{
	// Guards against a list of ends that stays full of rows that nobody acknowledges, and against a full list that
	// looks as if it had room.
	const auto listed = listing_of(
		R"({"clockMs":12,"running":[],"finished":[[7,"no task name",2,"done",""],[8,"00000000000000a1.0.0.0",1,"done",""]]})");
	REQUIRE(listed.outcome == order_outcome::done);
	REQUIRE(listed.listing.ended.size() == 2);
	CHECK(listed.listing.ended[0].number == 7);
	CHECK(listed.listing.ended[0].run_id == task_run{});
	CHECK(
		listing_of(R"({"clockMs":12,"running":[],"finished":[["x","00000000000000a1.0.0.0",1,"done",""]]})").outcome ==
		order_outcome::unknown);
}

TEST_CASE("numbers out of range in a listing are not converted to others", "[jobs]")
{
	// A number that does not fit became another one, and not the same one on all processors.
	const auto listed = [](const std::string& run, const std::string& figure)
	{
		return listing_of(R"({"clockMs":12,"running":[["00000000000000a1.0.0.0",)" + run + R"(,"",)" + figure + "," +
						  figure + "]]}");
	};
	for (const auto* run : {"0", "-1", "4294967297", "1e300", "\"2\"", "1.5"})
		CHECK(listed(run, "10").outcome == order_outcome::unknown);
	for (const auto* figure : {"1e300", "-1e300", "9223372036854775807"})
	{
		const auto result = listed("2", figure);
		REQUIRE(result.listing.running.size() == 1);
		CHECK(result.listing.running[0].measurement == 0);
		CHECK(result.listing.running[0].progress_percent == 0);
	}
	CHECK(listed("4294967295", "12.5").listing.running.at(0).measurement == 12);
}
