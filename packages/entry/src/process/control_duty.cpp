// SPDX-License-Identifier: MIT
#include "control_duty.hpp"

#include <trailjunction/core/event.hpp>
#include <trailjunction/core/json.hpp>
#include <trailjunction/net/coroutines.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

namespace trailjunction
{
	namespace asio = boost::asio;

	namespace
	{
		constexpr std::size_t request_ring_capacity = 4096;
		constexpr auto ready_check_interval = millis{50};

	}

	control_duty::control_duty(asio::io_context& io, const entry_settings& settings, incarnation own_incarnation,
							   process_metrics& metrics, ring<directory>& directories)
		: io_{io},
		  settings_{settings},
		  metrics_{metrics},
		  platform_{io, *settings.platform},
		  workers_{io, settings, platform_, own_incarnation, directories},
		  members_{io, settings, platform_, own_incarnation,
				   [this]
				   {
					   return tasks_.needs();
				   }},
		  tasks_{io, settings, platform_, members_, workers_, metrics},
		  config_{io, settings, platform_,
				  [this](const config_document& document)
				  {
					  workers_.configure(document, config_.document_text());
					  tasks_.configure(document);
					  members_.configure(document);
				  }},
		  commands_{io, settings, tasks_, workers_, members_, config_},
		  server_{io, http_limits{},
				  [this](http_request request)
				  {
					  return answer(std::move(request));
				  }},
		  completed_requests_{io.get_executor(), request_ring_capacity,
							  [this](completed_request&& completed)
							  {
								  commands_.add_request(std::move(completed));
							  }}
	{
	}

	absl::Status control_duty::listen()
	{
		if (const auto bound = server_.listen(*settings_.operators); !bound.ok())
			return bound.status();
		config_.start();
		members_.start();
		workers_.start([this](known_worker& worker, const wire::heartbeat& beat)
					   { tasks_.handle_heartbeat(worker, beat); });
		tasks_.start();
		asio::co_spawn(io_, log_when_ready(), asio::detached);
		return absl::OkStatus();
	}

	std::string control_duty::not_ready_reason() const
	{
		if (stopping_)
			return "stopping";
		if (members_.superseded())
			return "superseded by another process with this member's name";
		if (!config_.is_confirmed())
			return "neither the store nor a peer has confirmed a configuration yet";
		if (!workers_.has_list())
			return "the platform's list of instances has not been read yet";
		return workers_.has_settled(boottime_now()) ? "" : "waiting for the agents' first heartbeats";
	}

	asio::awaitable<void> control_duty::log_when_ready()
	{
		while (!not_ready_reason().empty())
		{
			asio::steady_timer timer{io_, ready_check_interval};
			(void)co_await timer.async_wait(as_result);
		}
		log_event(event::process_ready, {{"member", settings_.member.str()}});
	}

	asio::awaitable<void> control_duty::leave()
	{
		stopping_ = true;
		members_.leave();
		co_await tasks_.hand_over();
	}

	http_response control_duty::config_page() const
	{
		if (!config_.is_confirmed())
			return error_response(503, "no configuration has been confirmed yet");
		boost::json::object out;
		out["version"] = config_.current().version.value;
		out["age_ms"] = config_.age(boottime_now()).count();
		out["row"] = "\n" + config_.document_text();
		return json_response(200, boost::json::serialize(out));
	}

	asio::awaitable<http_response> control_duty::answer(http_request request)
	{
		if (auto page = answer_health(request, metrics_, [this] { return not_ready_reason(); }); page)
			co_return std::move(*page);
		const auto path = path_of(request.target);
		if (path == "/v1/config")
			co_return config_page();
		if (path != "/v1/command")
			co_return error_response(404, "no such page");
		if (request.method != "POST")
			co_return error_response(405, "method not allowed; use POST");
		co_return co_await commands_.answer(std::move(request));
	}
}
