// SPDX-License-Identifier: MIT
#include "consume_fault.hpp"

#include <trailjunction/core/json.hpp>
#include <trailjunction/net/coroutines.hpp>
#include <trailjunction/testkit/instances_standin.hpp>

#include <absl/strings/numbers.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <string>

namespace trailjunction::testkit
{
	namespace asio = boost::asio;
	namespace json = boost::json;

	namespace
	{
		constexpr auto never = std::chrono::hours{24};
		constexpr std::string_view token_field = "pageToken=";
		constexpr int no_answer = 0;

		http_response refusal(const char* reason)
		{
			return json_response(409, json::serialize(json::object{{"reason", reason}}));
		}
	}

	instances_standin::instances_standin(asio::io_context& io)
		: io_{io},
		  server_{io, http_limits{},
				  [this](http_request request)
				  {
					  return answer(std::move(request));
				  }}
	{
	}

	endpoint instances_standin::listen()
	{
		return server_.listen(endpoint{asio::ip::address_v4::loopback(), 0}).value();
	}

	void instances_standin::add(const std::string& name, worker_standin& worker)
	{
		machines_[name].worker = &worker;
	}

	int instances_standin::machines_down(std::int64_t wave) const
	{
		const auto now = boottime_now();
		return static_cast<int>(std::count_if(machines_.begin(), machines_.end(),
											  [&](const auto& entry)
											  { return entry.second.wave == wave && now < entry.second.back_at; }));
	}

	asio::awaitable<http_response> instances_standin::answer(http_request request)
	{
		if (faults.call_latency.count() > 0)
			co_await pause_for(io_, faults.call_latency);
		if (consume_fault(faults.rate_limited_calls))
			co_return json_response(429, "{}");
		if (request.method == "GET")
			co_return consume_fault(faults.refused_lists) ? json_response(503, "{}") : list(request.target);
		co_return order(request);
	}

	http_response instances_standin::list(const std::string& target) const
	{
		const auto at = target.find(token_field);
		const auto from = at == std::string::npos ? std::string{} : target.substr(at + token_field.size());
		json::array rows;
		std::string next;
		for (auto it = machines_.lower_bound(from); it != machines_.end(); ++it)
		{
			if (rows.size() == page_size)
			{
				next = it->first;
				break;
			}
			const bool is_down = boottime_now() < it->second.back_at;
			rows.push_back(json::object{{"machine", it->first},
										{"state", is_down ? "upkeep" : "up"},
										{"id", is_down ? std::string{} : it->second.worker->id()}});
		}
		json::object body{{"machines", std::move(rows)}};
		body["nextToken"] = next.empty() ? json::value{} : json::value(next);
		return json_response(200, json::serialize(body));
	}

	http_response instances_standin::order(const http_request& request)
	{
		const auto body = parse_json(request.body);
		if (!body.ok() || !body->is_object())
			return json_response(400, "{}");
		const auto name = text_or(body->get_object(), "machine");
		const auto wave = number_or(body->get_object(), "wave");
		const auto found = machines_.find(name);
		if (found == machines_.end())
			return json_response(400, "{}");
		std::int64_t token{};
		if (!absl::SimpleAtoi(std::string{find_header(request.headers, "Fencing-Token")}, &token) ||
			token < found->second.token)
			return refusal("fence");
		found->second.token = token;
		fencing_tokens.push_back(token);
		lease_holders.emplace(find_header(request.headers, "Lease-Holder"));
		if (consume_fault(faults.busy_refusals))
			return refusal("busy");
		if (consume_fault(faults.wave_refusals))
			return refusal("wave");
		if (consume_fault(faults.lost_orders))
			return http_response{no_answer, {}, {}};
		if (consume_fault(faults.late_orders))
		{
			asio::co_spawn(io_, execute_late(name, wave), asio::detached);
			return http_response{no_answer, {}, {}};
		}
		auto out = execute(name, wave);
		return consume_fault(faults.lost_responses) ? http_response{no_answer, {}, {}} : out;
	}

	asio::awaitable<void> instances_standin::execute_late(std::string name, std::int64_t wave)
	{
		co_await pause_for(io_, faults.late_delay);
		(void)execute(name, wave);
	}

	http_response instances_standin::execute(const std::string& name, std::int64_t wave)
	{
		auto& target = machines_[name];
		if (upkeep_begun[wave].contains(name))
			return json_response(200, "{}");
		if (boottime_now() < target.back_at)
			return refusal("busy");
		upkeep_begun[wave].insert(name);
		target.wave = wave;
		target.back_at = boottime_now() + (name == faults.lost_machine ? millis{never} : upkeep_duration);
		target.worker->restart_delay = std::chrono::duration_cast<millis>(target.back_at - boottime_now());
		target.worker->crash();
		max_machines_down[wave] = std::max(max_machines_down[wave], machines_down(wave));
		return json_response(200, "{}");
	}
}
