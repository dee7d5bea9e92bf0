// SPDX-License-Identifier: MIT
/// \file
/// \brief One odd entry of another writer among sound ones: neither ends the process nor hides the others.
#include "../packages/entry/src/process/member_keeper.hpp"
#include "../packages/entry/src/request/idempotency_claims.hpp"

#include <trailjunction/decide.hpp>
#include <trailjunction/jobs/upkeep_wave.hpp>
#include <trailjunction/net/http_server.hpp>
#include <trailjunction/platform/instance_client.hpp>
#include <trailjunction/store/platform_client.hpp>

#include <absl/strings/str_cat.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <vector>

using namespace trailjunction;

namespace
{
	namespace asio = boost::asio;
	namespace json = boost::json;

	constexpr auto test_timeout = std::chrono::seconds{10};
	constexpr std::size_t deep = 100'000; ///< Far more levels than a parser accepts, and than a stack holds.

	/// Values that are valid JSON and that no sound writer writes.
	std::vector<std::string> odd_values()
	{
		return {std::string(deep, '[') + std::string(deep, ']'),
				"1e99999999999",
				"-1e308",
				"99999999999999999999999",
				"\"text ]} with \\\" brackets\"",
				"null"};
	}

	/// A service that gives the same answer to every call, and a client of it.
	struct canned_service
	{
		canned_service()
			: server{io, http_limits{.max_body_bytes = 64UL * 1024 * 1024},
					 [this](http_request) -> asio::awaitable<http_response>
					 {
						 ++calls;
						 auto response = json_response(status, std::string{answer});
						 response.headers.push_back({"Row-Version", "1"});
						 co_return response;
					 }}
		{
			address = server.listen(endpoint{asio::ip::address_v4::loopback(), 0}).value();
		}

		template <typename Until>
		bool run_until(Until until)
		{
			const auto end = boottime_now() + test_timeout;
			while (!until() && boottime_now() < end)
				io.run_one_for(millis{10});
			return until();
		}

		template <typename Result, typename Call>
		Result result_of(Call call)
		{
			std::optional<Result> result;
			asio::co_spawn(
				io, [&]() -> asio::awaitable<void> { result = co_await call(boottime_now() + test_timeout); },
				asio::detached);
			REQUIRE(run_until([&] { return result.has_value(); }));
			return *std::move(result);
		}

		asio::io_context io{1};
		std::string answer;
		int status{200};
		int calls{};
		http_server server;
		endpoint address;
	};

	std::string member_row(const std::string& member, const std::string& amounts)
	{
		const auto data = absl::StrCat(R"({"address":"127.0.0.1:9","life":1,"leaving":false,"ceilings":{"sirr":)",
									   amounts, R"(},"used":{"sirr":)", amounts, "}}");
		return json::serialize(json::object{
			{"key", "members/dc1/" + member}, {"version", 1}, {"value", "token-of-" + member + "\n" + data}});
	}
}

TEST_CASE("an odd row of a member does not end the reading of all members", "[entry]")
{
	// An amount that is no whole number threw in the coroutine that follows the members. It ended without a word, and
	// the entry never saw a member join, leave or lapse again.
	for (const auto& odd : {"1e308", "99999999999999999999999", "\"many\"", "9223372036854775807"})
	{
		canned_service service;
		service.answer =
			absl::StrCat("[", member_row("entry-2", absl::StrCat("[", odd, ",0,0]")), ",7,",
						 member_row("entry-3", "[500,10,1]"), ",", member_row("entry-4", "[300,10,1]"), "]");
		platform_client platform{service.io, service.address};
		entry_settings settings;
		settings.member = member_id{"entry-1"};
		settings.operators = endpoint{asio::ip::address_v4::loopback(), 9};
		member_keeper keeper{service.io, settings, platform, incarnation{1},
							 []
							 {
								 return account_needs{};
							 }};
		keeper.start();
		bool read = false;
		REQUIRE_NOTHROW(read = service.run_until([&] { return keeper.members().contains(member_id{"entry-4"}); }));
		CHECK(read);
		const auto used = keeper.used_elsewhere(account_id{"sirr"});
		CHECK(used.cpu_milli >= 800);
		CHECK(used.memory_mib >= 20);
	}
}

TEST_CASE("an odd recorded response does not leave its caller without an answer", "[entry]")
{
	canned_service service;
	caller_request request;
	request.service = service_id{"tally"};
	request.idempotency_key = "k";
	request.deadline = boottime_now() + test_timeout;
	service.status = 409; // another request has claimed the key
	service.answer = "token\n{}";
	idempotency_claims claims{service.io, service.address};
	const auto claim = [&](instant)
	{
		return claims.claim(request);
	};
	const auto first = service.result_of<key_claim>(claim); // a mismatch, which tells the hash of the request
	REQUIRE(first.claim_result == claim_outcome::mismatch);
	service.answer = absl::StrCat("token\n", R"({"print":")", first.request_hash,
								  R"(","status":200,"body":"ran","headers":[["a","b"],[1,{}],["c"]]})");
	key_claim second;
	REQUIRE_NOTHROW(second = service.result_of<key_claim>(claim));
	CHECK(second.claim_result == claim_outcome::replayed);
	const auto& headers = second.recorded_response.headers;
	CHECK(find_header(headers, "a") == "b");
	CHECK(headers.size() == 2); // and the mark of a replay
}

TEST_CASE("a stored configuration that is no object is reported as an error", "[config]")
{
	CHECK_FALSE(change_config("[1]", "/requests/slots", "8").ok());
	CHECK_FALSE(change_config("7", "/requests/slots", "8").ok());
}

TEST_CASE("one odd instance in the platform's list does not hide the others", "[entry]")
{
	// The whole list was unreadable, so that entries no longer followed it.
	for (const auto& odd : odd_values())
	{
		canned_service service;
		const auto sound = [](const std::string& name)
		{
			return absl::StrCat(R"({"worker":")", name, R"(","requests":"127.0.0.1:1","control":"127.0.0.1:2"})");
		};
		service.answer =
			absl::StrCat("[", sound("w1"), " , ", odd, R"(,{"worker":"w2","x":)", odd, "},",
						 R"({"worker":"w3","requests":"127.0.0.1:70000","control":"127.0.0.1:2"},)",
						 R"({"worker":"w4","requests":"127.0.0.1:0","control":"127.0.0.1:2"},)", sound("w5"), "]");
		platform_client platform{service.io, service.address};
		const auto list = service.result_of<absl::StatusOr<std::vector<instance>>>(
			[&](instant deadline) { return platform.instances(deadline); });
		REQUIRE(list.ok());
		REQUIRE(list->size() == 2);
		CHECK(list->front().worker == worker_id{"w1"});
		CHECK(list->back().worker == worker_id{"w5"});
	}
}

TEST_CASE("one odd row in a scan does not hide the others", "[store]")
{
	for (const auto& odd : odd_values())
	{
		canned_service service;
		service.answer = absl::StrCat("[", member_row("entry-2", odd), R"(,{"key":"members/dc1/odd","value":)", odd,
									  "},", odd, ",", member_row("entry-3", "[1,1,1]"), "]");
		platform_client platform{service.io, service.address};
		const auto rows = service.result_of<absl::StatusOr<std::vector<table_row>>>(
			[&](instant deadline) { return platform.scan("members/", deadline); });
		REQUIRE(rows.ok());
		REQUIRE(rows->size() >= 2);
		CHECK(rows->front().key == "members/dc1/entry-2");
		CHECK(rows->back().key == "members/dc1/entry-3");
	}
}

TEST_CASE("one odd machine in the list for upkeep does not hide the others", "[upkeep]")
{
	for (const auto& odd : odd_values())
	{
		canned_service service;
		service.answer =
			absl::StrCat(R"({"x":)", odd, R"(,"machines":[{"machine":"m1","state":"up","id":"i-1"},)", odd,
						 R"(,{"state":"up"},{"machine":"m2","state":"upkeep","id":"i-2"}],"nextToken":""})");
		platform::instance_client client{service.io, service.address};
		const auto list =
			service.result_of<absl::StatusOr<instance_list>>([&](instant deadline) { return client.list(deadline); });
		REQUIRE(list.ok());
		CHECK(list->instances.size() == 2);
		CHECK(list->instances.contains(instance_id{"m1"}));
		CHECK(list->instances.contains(instance_id{"m2"}));
		CHECK_FALSE(list->complete);
	}
}

TEST_CASE("an instance that a list with unreadable entries does not name is not taken for gone", "[upkeep]")
{
	upkeep_wave wave{wave_id{"1"}, {instance_id{"m1"}}, std::chrono::minutes{1}, 1};
	const upkeep_policy policy;
	const auto start = instant{} + std::chrono::hours{1};
	auto progress = begin_wave(std::move(wave), 0, start);
	instance_list list;
	list.complete = false;
	for (auto now = start; now < start + std::chrono::minutes{5}; now += std::chrono::seconds{1})
	{
		list.requested_at = now;
		(void)apply_list(progress, list, policy, now);
	}
	CHECK_FALSE(has_removed_instances(progress));
	list.complete = true;
	for (auto now = start; now < start + std::chrono::minutes{5}; now += std::chrono::seconds{1})
	{
		list.requested_at = now;
		(void)apply_list(progress, list, policy, now);
	}
	CHECK(has_removed_instances(progress));
}
