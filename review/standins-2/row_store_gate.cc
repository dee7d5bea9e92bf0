// SPDX-License-Identifier: MIT
#include "row_store_gate.hh"

#include <trailjunction/core/json.hpp>

#include <absl/strings/escaping.h>

#include <algorithm>

namespace review
{
	namespace asio = boost::asio;
	using namespace trailjunction;

	namespace
	{
		constexpr std::size_t max_idle_connections = 256;
		constexpr std::size_t max_body_bytes = 4'000'000;
		constexpr auto call_timeout = millis{31'000}; // longer than the longest wait of a feed

		std::size_t entry_count(const boost::json::object& body, const char* name)
		{
			const auto* list = body.if_contains(name);
			return list != nullptr && list->is_array() ? list->get_array().size() : 0;
		}
	}

	row_store_gate::row_store_gate(asio::io_context& io, endpoint store, store_limits limits)
		: client_{io, std::move(store), max_idle_connections, max_body_bytes},
		  limits_{limits},
		  server_{io, http_limits{.max_body_bytes = max_body_bytes, .max_connections = 4'096},
				  [this](http_request request)
				  {
					  return answer(std::move(request));
				  }}
	{
	}

	endpoint row_store_gate::listen()
	{
		return server_.listen(endpoint{asio::ip::address_v4::loopback(), 0}).value();
	}

	bool row_store_gate::is_within_limits(const std::string& body)
	{
		if (body.size() > limits_.transaction_bytes)
			return false;
		const auto parsed = parse_json(body);
		if (!parsed.ok() || !parsed->is_object())
			return true; // the store answers it
		const auto& object = parsed->get_object();
		if (entry_count(object, "expectedRev") + entry_count(object, "put") + entry_count(object, "remove") >
			limits_.transaction_entries)
			return false;
		const auto* rows = object.if_contains("put");
		if (rows == nullptr || !rows->is_array())
			return true;
		for (const auto& row : rows->get_array())
		{
			std::string value;
			(void)absl::Base64Unescape(text_or(row.get_object(), "value"), &value);
			if (value.size() > limits_.row_bytes)
			{
				rejected_table = text_or(row.get_object(), "table");
				largest_rejected = std::max(largest_rejected, value.size());
				return false;
			}
			largest_accepted = std::max(largest_accepted, value.size());
		}
		return true;
	}

	asio::awaitable<http_response> row_store_gate::answer(http_request request)
	{
		if (path_of(request.target) == "/rows-tx" && !is_within_limits(request.body))
		{
			++rejected;
			co_return error_response(400, "beyond a limit of the store");
		}
		http_request forwarded;
		forwarded.method = request.method;
		forwarded.target = request.target;
		forwarded.headers = {{"Content-Type", "application/json"}};
		forwarded.body = std::move(request.body);
		auto result = co_await client_.send(std::move(forwarded), boottime_now() + call_timeout);
		if (result.delivery != delivery_status::answered)
			co_return http_response{0, {}, ""}; // closes the connection without an answer
		co_return http_response{result.response.status, {{"Content-Type", "application/json"}}, std::move(result.response.body)};
	}
}
