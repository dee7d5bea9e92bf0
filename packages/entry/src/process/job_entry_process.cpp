// SPDX-License-Identifier: MIT
#include "../version/configuration_follower.hpp"
#include "job_owner.hpp"

#include <trailjunction/core/event.hpp>
#include <trailjunction/core/ring.hpp>
#include <trailjunction/entry/job_entry_process.hpp>
#include <trailjunction/net/coroutines.hpp>
#include <trailjunction/net/process_metrics.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <thread>

namespace trailjunction
{
	namespace asio = boost::asio;

	namespace
	{
		constexpr auto stop_poll_interval = millis{20};
		/// Time between the failing readiness check and the closing of the listener. The load balancer polls every
		/// second and needs two failures.
		constexpr auto unready_time = millis{2'300};
		/// Part of the stop timeout that is reserved for the final shutdown steps.
		constexpr auto stop_reserve = millis{500};
		constexpr std::size_t depths_ring_capacity = 64;

		/// Limits of servers that only the platform and monitoring call.
		constexpr http_limits monitoring_limits{.max_connections = 64};

		/// The servers for callers, readiness and metrics. Used only on the request thread.
		struct client_servers
		{
			client_servers(asio::io_context& io, const job_entry_settings& settings, const entry_adapters& adapters)
				: store{adapters.make_store(io, *settings.store)},
				  gateway{io, *store, metrics, settings.store_limits},
				  callers{io, http_limits{}, adapters.make_job_handler(gateway)},
				  readiness{io, monitoring_limits,
							[this](http_request) -> asio::awaitable<http_response>
							{
								const bool ready = gateway.is_ready(boottime_now()) && !stopping;
								co_return ready ? json_response(200, "{}") : error_response(503, "not ready");
							}},
				  metrics_server{io, monitoring_limits,
								 [this](http_request request) -> asio::awaitable<http_response>
								 {
									 const auto answer = answer_health(request, metrics, [] { return std::string{}; });
									 co_return answer.value_or(error_response(404, "no such path"));
								 }}
			{
			}

			[[nodiscard]] absl::Status listen(const job_entry_settings& settings)
			{
				for (const auto& status :
					 {callers.listen(*settings.callers).status(), readiness.listen(*settings.readiness).status(),
					  metrics_server.listen(*settings.metrics).status()})
					if (!status.ok())
						return status;
				return absl::OkStatus();
			}

			process_metrics metrics;
			std::unique_ptr<row_store> store;
			job_gateway gateway;
			bool stopping{};
			http_server callers;
			http_server readiness;
			http_server metrics_server;
		};

		/// Stops in order: fails the readiness check, refuses new connections, waits for the requests in flight and the
		/// owner, and ends the event loop.
		asio::awaitable<void> stop_servers(asio::io_context& io, client_servers& servers,
										   const std::atomic<bool>& owner_left, millis time_limit)
		{
			const auto until = boottime_now() + time_limit - stop_reserve;
			servers.stopping = true;
			co_await pause_for(io, std::min(unready_time, time_limit / 2));
			servers.callers.stop();
			while ((servers.callers.in_flight() > 0 || !owner_left) && boottime_now() < until)
				co_await pause_for(io, stop_poll_interval);
			co_await pause_for(io, stop_poll_interval); // lets the last responses be written
			io.stop();
		}
	}

	namespace
	{
		/// Applies changed settings as far as a running process can.
		void reload(job_entry_settings& live, const entry_settings_source& source, asio::io_context& owner_io,
					job_owner& owner)
		{
			const auto next = source.load();
			if (!next.ok())
			{
				log_event(event::settings_refused, {{"reason", std::string{next.status().message()}}});
				return;
			}
			const bool restart = !can_reload(live, *next);
			live.stop_within = next->stop_within;
			asio::post(owner_io, [&owner, kept = next->status_kept] { owner.set_status_retention(kept); });
			log_event(event::settings_reloaded, {{"needs_restart", restart ? 1 : 0}});
		}
	}

	exit_code run_job_entry(const job_entry_settings& settings, const entry_settings_source& source,
							const entry_adapters& adapters)
	{
		auto live = settings;
		asio::io_context request_io{1};
		asio::io_context owner_io{1};
		client_servers servers{request_io, settings, adapters};
		if (const auto status = servers.listen(settings); !status.ok())
		{
			log_event(event::listen_failed, {{"reason", std::string{status.message()}}});
			return exit_code::failed;
		}
		log_event(event::process_started, {{"member", settings.member.str()}});
		ring<queue_depths> depths{request_io.get_executor(), depths_ring_capacity,
								  [&](queue_depths&& value)
								  {
									  servers.gateway.record_depths(std::move(value));
								  }};
		const auto owner_store = adapters.make_store(owner_io, *settings.store);
		job_owner owner{owner_io,
						settings,
						*owner_store,
						adapters.evacuations,
						servers.metrics,
						[&](queue_depths value)
						{
							// Dropped if the ring is full: the owner sends newer depths after its next transaction.
							(void)depths.push(std::move(value));
						},
						&adapters.upkeep};
		if (!settings.upkeep)
			log_event(event::waves_not_served, {{"reason", "the settings name no service that runs instances"}});
		std::atomic<bool> owner_left{false};
		asio::co_spawn(
			owner_io,
			[&]() -> asio::awaitable<void>
			{
				co_await owner.run();
				owner_left = true;
			},
			asio::detached);
		asio::co_spawn(request_io, follow_configuration(request_io, *servers.store, adapters, servers.gateway),
					   asio::detached);
		on_settings_change(request_io, source.path, [&] { reload(live, source, owner_io, owner); });
		log_suspensions(request_io);
		on_stop_signal(request_io,
					   [&]
					   {
						   log_event(event::process_stopping, {{"member", settings.member.str()}});
						   asio::post(owner_io, [&] { owner.leave(); });
						   asio::co_spawn(request_io,
										  stop_servers(request_io, servers, owner_left, settings.stop_within),
										  asio::detached);
					   });
		std::thread owner_thread{[&]
								 {
									 owner_io.run();
								 }};
		request_io.run();
		owner_io.stop();
		owner_thread.join();
		log_event(event::process_stopped, {{"member", settings.member.str()}});
		return exit_code::ok;
	}
}
