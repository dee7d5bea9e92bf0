// SPDX-License-Identifier: MIT
/// \file
/// \brief Tests of submissions that the store can never hold.
#include "job_term_fixture.hpp"

#include <trailjunction/platform/job_handler.hpp>

using namespace trailjunction;
using namespace trailjunction::testkit;
using namespace trailjunction::job_term_fixture;

namespace
{
	/// An entry with one queue below /checks/.
	struct entry_fixture
	{
		entry_fixture()
		{
			job_configuration configuration;
			configuration.version = config_version{1};
			configuration.max_body_bytes = std::size_t{1024} * 1024;
			queue_route route;
			route.host = "a.example";
			route.path_prefix = "/checks/";
			route.timeout = millis{3'000};
			route.policy = some_queue();
			configuration.routes.push_back(route);
			gateway.apply(std::move(configuration));
		}

		http_response submit(const std::string& id, const std::string& image)
		{
			std::optional<http_response> out;
			boost::asio::co_spawn(
				io,
				[&]() -> boost::asio::awaitable<void>
				{
					http_request request{"POST",
										 "/checks/" + id,
										 {{"Host", "a.example"}},
										 R"({"spec":"1","phases":[{"count":1,"cpu":10,"memMb":1,"image":")" + image +
											 R"("}]})"};
					out = co_await handler(std::move(request));
				},
				boost::asio::detached);
			io.restart();
			io.run();
			return out.value();
		}

		boost::asio::io_context io{1};
		memory_store store{io};
		process_metrics metrics;
		job_gateway gateway{io, store, metrics};
		http_server::handler handler{platform::make_job_handler(gateway)};
	};
}

// Guards against clients that are told to come back with a job that can never be stored.
TEST_CASE("a job that exceeds a row of the store is rejected for good, and not sent to the store", "[jobs]")
{
	entry_fixture fixture;
	const auto response = fixture.submit(first_job, std::string(70'000, 'n'));
	CHECK(response.status == 413);
	CHECK(find_header(response.headers, "Retry-After").empty());
	CHECK(response.body.find("65536 are allowed") != std::string::npos);
	CHECK(fixture.store.requested_commits.empty());
	CHECK(fixture.submit(first_job, std::string(60'000, 'n')).status == 200);
}

TEST_CASE("a job that the store rejects is rejected for good with the reason, and sent once", "[jobs]")
{
	entry_fixture fixture;
	fixture.store.limits.value_bytes = 1'000; // less than the entry assumes
	const auto response = fixture.submit(first_job, std::string(2'000, 'n'));
	CHECK(response.status == 413);
	CHECK(find_header(response.headers, "Retry-After").empty());
	CHECK(fixture.store.requested_commits.size() == 1);
}
