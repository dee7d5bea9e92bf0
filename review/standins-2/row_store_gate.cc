// SPDX-License-Identifier: MIT
#include "row_store_gate.hh"

#include <trailjunction/core/json.hpp>
#include <trailjunction/net/coroutines.hpp>

#include <absl/strings/escaping.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

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
		: io_{io},
		  client_{io, std::move(store), max_idle_connections, max_body_bytes},
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

	bool row_store_gate::writes_late_table(const std::string& body) const
	{
		const auto parsed = parse_json(body);
		if (late_table.empty() || !parsed.ok() || !parsed->is_object())
			return false;
		const auto* rows = parsed->get_object().if_contains("put");
		return rows != nullptr && rows->is_array() &&
			   std::any_of(rows->get_array().begin(), rows->get_array().end(),
						   [&](const auto& row) { return text_or(row.get_object(), "table") == late_table; });
	}

	asio::awaitable<void> row_store_gate::apply_late(http_request request, millis delay)
	{
		co_await pause_for(io_, delay);
		(void)co_await client_.send(std::move(request), boottime_now() + call_timeout);
	}

	asio::awaitable<http_response> row_store_gate::answer(http_request request)
	{
		if (path_of(request.target) == "/rows-tx" && !is_within_limits(request.body))
		{
			++rejected;
			co_return error_response(400, "beyond a limit of the store");
		}
		const bool is_transaction = path_of(request.target) == "/rows-tx";
		total += is_transaction ? 1 : 0;
		const bool late = is_transaction && writes_late_table(request.body);
		http_request forwarded;
		forwarded.method = request.method;
		forwarded.target = request.target;
		forwarded.headers = {{"Content-Type", "application/json"}};
		forwarded.body = std::move(request.body);
		if (late)
		{
			++made_late;
			asio::co_spawn(io_, apply_late(std::move(forwarded), late_by), asio::detached);
			co_await pause_for(io_, call_timeout); // once an answer is lost, the connection says nothing more
			co_return http_response{0, {}, ""};
		}
		auto result = co_await client_.send(std::move(forwarded), boottime_now() + call_timeout);
		if (result.delivery != delivery_status::answered)
			co_return http_response{0, {}, ""}; // closes the connection without an answer
		co_return http_response{result.response.status, {{"Content-Type", "application/json"}}, std::move(result.response.body)};
	}
}
