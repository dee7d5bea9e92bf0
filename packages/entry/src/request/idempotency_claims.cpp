// SPDX-License-Identifier: MIT
#include "idempotency_claims.hpp"

#include <trailjunction/core/json.hpp>
#include <trailjunction/core/random.hpp>
#include <trailjunction/net/coroutines.hpp>

#include <absl/strings/str_cat.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>

#include <algorithm>

namespace trailjunction
{
	namespace asio = boost::asio;
	namespace json = boost::json;

	namespace
	{
		constexpr auto claim_timeout = millis{2'000};
		/// How long a claim waits for an earlier request with the same key to end; also the delay between tries to
		/// release a claim.
		constexpr auto unresolved_wait = millis{400};
		constexpr int max_claim_attempts = 3;
		constexpr auto unresolved_poll_interval = millis{50};
		constexpr auto record_timeout = std::chrono::seconds{60};
		constexpr std::size_t max_recorded_body_bytes = std::size_t{16} * 1024;

		std::string hash_request(const caller_request& request)
		{
			const auto text =
				absl::StrCat(request.message.method, " ", request.message.target, "\n", request.message.body);
			return absl::StrCat(absl::Hex(stable_hash(text), absl::kZeroPad16));
		}

		std::string encode_claim(const std::string& request_hash, const http_response* response)
		{
			json::object out;
			out["print"] = request_hash;
			out["unix_s"] =
				std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch())
					.count();
			if (response != nullptr)
			{
				out["status"] = response->status;
				out["body"] = response->body;
				json::array headers;
				for (const auto& header : response->headers)
					headers.push_back(json::array{header.name, header.value});
				out["headers"] = std::move(headers);
			}
			return json::serialize(out);
		}

		http_response decode_response(const json::object& object)
		{
			http_response response;
			response.status = static_cast<int>(number_or(object, "status"));
			response.body = text_or(object, "body");
			if (const auto* headers = object.if_contains("headers"); headers != nullptr && headers->is_array())
				for (const auto& header : headers->get_array())
					if (const auto* pair = header.if_array();
						pair != nullptr && pair->size() == 2 && pair->at(0).is_string() && pair->at(1).is_string())
						response.headers.push_back(
							{std::string{pair->at(0).as_string()}, std::string{pair->at(1).as_string()}});
			response.headers.push_back({"Idempotent-Replay", "yes"});
			return response;
		}

		constexpr std::string_view released_mark = "free";

		/// Sets the outcome of a claim by comparing the existing row with the request.
		void compare_with_row(key_claim& claim, const table_row& row)
		{
			const auto parsed = parse_json(row.data);
			claim.claim_result = claim_outcome::unresolved;
			if (!parsed.ok() || !parsed->is_object())
				return;
			const auto& object = parsed->get_object();
			if (text_or(object, "print") != claim.request_hash)
				claim.claim_result = claim_outcome::mismatch;
			else if (object.contains("status"))
			{
				claim.claim_result = claim_outcome::replayed;
				claim.recorded_response = decode_response(object);
			}
		}
	}

	idempotency_claims::idempotency_claims(asio::io_context& io, endpoint platform)
		: io_{io},
		  platform_{io, std::move(platform)}
	{
	}

	asio::awaitable<key_claim> idempotency_claims::claim(const caller_request& request)
	{
		key_claim claim;
		claim.row_key = absl::StrCat("claims/", request.service.str(), "/", percent_encode(request.idempotency_key));
		claim.write_token = random_token();
		claim.request_hash = hash_request(request);
		const auto deadline = std::min(request.deadline, boottime_now() + claim_timeout);
		std::int64_t expected = 0;
		write_result result;
		for (int attempt = 0; attempt < max_claim_attempts; ++attempt)
		{
			result = co_await platform_.put(claim.row_key, encode_claim(claim.request_hash, nullptr), expected,
											claim.write_token, deadline);
			if (result.outcome != write_outcome::conflict || result.row.data != released_mark)
				break;
			expected = result.row.version;
		}
		if (result.outcome == write_outcome::applied)
		{
			claim.claim_result = claim_outcome::claimed;
			claim.row_version = result.row.version;
			co_return claim;
		}
		// The claim may have been written, and the request will not be sent.
		if (result.outcome == write_outcome::unknown)
			asio::co_spawn(io_, release(claim), asio::detached);
		if (result.outcome != write_outcome::conflict)
			co_return claim;
		compare_with_row(claim, result.row);
		const auto wait_end = std::min(deadline, boottime_now() + unresolved_wait);
		while (claim.claim_result == claim_outcome::unresolved && boottime_now() < wait_end)
		{
			asio::steady_timer timer{io_, unresolved_poll_interval};
			(void)co_await timer.async_wait(as_result);
			const auto row = co_await platform_.get(claim.row_key, wait_end);
			if (row.ok() && row->version != 0)
				compare_with_row(claim, *row);
		}
		co_return claim;
	}

	void idempotency_claims::record_outcome(key_claim claim, request_outcome outcome, const http_response& response)
	{
		if (outcome == request_outcome::not_run)
			asio::co_spawn(io_, release(std::move(claim)), asio::detached);
		else if (outcome == request_outcome::done && response.body.size() <= max_recorded_body_bytes)
		{
			auto data = encode_claim(claim.request_hash, &response);
			asio::co_spawn(io_, record_response(std::move(claim), std::move(data)), asio::detached);
		}
	}

	asio::awaitable<void> idempotency_claims::record_response(key_claim claim, std::string data)
	{
		(void)co_await platform_.put(claim.row_key, std::move(data), claim.row_version, random_token(),
									 boottime_now() + record_timeout);
	}

	asio::awaitable<void> idempotency_claims::release(key_claim claim)
	{
		const auto until = boottime_now() + record_timeout;
		while (boottime_now() < until)
		{
			const auto row = co_await platform_.get(claim.row_key, until);
			if (row.ok() && row->token != claim.write_token)
				co_return; // the claim was never written, or is already released
			if (row.ok())
			{
				const auto result = co_await platform_.put(claim.row_key, std::string{released_mark}, row->version,
														   random_token(), until);
				if (result.outcome == write_outcome::applied || result.outcome == write_outcome::conflict)
					co_return;
			}
			asio::steady_timer timer{io_, unresolved_wait};
			(void)co_await timer.async_wait(as_result);
		}
	}
}
