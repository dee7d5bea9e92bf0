// SPDX-License-Identifier: MIT
#include "heartbeat_relay.hh"

#include <trailjunction/core/json.hpp>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace review
{
	namespace asio = boost::asio;
	using namespace trailjunction;

	namespace
	{
		constexpr std::size_t max_idle_connections = 4;
		constexpr auto call_timeout = millis{1'000}; // a worker takes a later acknowledgement for none
	}

	heartbeat_relay::heartbeat_relay(asio::io_context& io, endpoint agent, std::string kind, std::string rack)
		: client_{io, std::move(agent), max_idle_connections},
		  kind_{std::move(kind)},
		  rack_{std::move(rack)},
		  server_{io, http_limits{},
				  [this](http_request request)
				  {
					  return answer(std::move(request));
				  }}
	{
	}

	endpoint heartbeat_relay::listen()
	{
		return server_.listen(endpoint{asio::ip::address_v4::loopback(), 0}).value();
	}

	asio::awaitable<http_response> heartbeat_relay::answer(http_request request)
	{
		http_request forwarded;
		forwarded.method = request.method;
		forwarded.target = request.target;
		forwarded.headers = {{"Content-Type", "application/json"}};
		forwarded.body = request.body;
		auto parsed = parse_json(request.body);
		if (parsed.ok() && parsed->is_object())
		{
			parsed->get_object()["labels"] = boost::json::array{kind_, rack_};
			forwarded.body = boost::json::serialize(*parsed);
		}
		auto result = co_await client_.send(std::move(forwarded), boottime_now() + call_timeout);
		if (result.delivery != delivery_status::answered)
			co_return http_response{0, {}, ""}; // closes the connection without an answer
		co_return http_response{result.response.status, {{"Content-Type", "application/json"}}, std::move(result.response.body)};
	}
}
