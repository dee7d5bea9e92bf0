// SPDX-License-Identifier: MIT
#include "../connection/owner_links.hpp"
#include "run_manager.hpp"

#include <trailjunction/agent/job_agent_process.hpp>
#include <trailjunction/core/event.hpp>
#include <trailjunction/jobs/job_rows.hpp>
#include <trailjunction/jobs/job_tables.hpp>
#include <trailjunction/net/coroutines.hpp>
#include <trailjunction/net/process_metrics.hpp>
#include <trailjunction/store/store_monitor.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace trailjunction
{
	namespace asio = boost::asio;

	namespace
	{
		constexpr auto idle_check_interval = millis{50};
		constexpr auto register_timeout = millis{1'000}; ///< Timeout of one attempt to write the agent's row.
		constexpr auto register_retry_delay = millis{500};
		/// Limits of the server that only monitoring calls.
		constexpr http_limits monitoring_limits{.max_connections = 64};

		/// Writes the address at which owners reach this agent. The row stays when the process ends, since its
		/// successor uses the same row.
		asio::awaitable<void> register_agent(asio::io_context& io, row_store& store, const job_agent_settings& settings)
		{
			stored::agent row;
			row.address = to_string(*settings.links);
			row.data_centre = settings.data_centre;
			row_transaction change;
			change.partition = agent_partition;
			change.put.push_back({{agents_table, settings.worker.str()}, encode_agent(row)});
			store_monitor monitor;
			while (true)
			{
				const auto result = co_await store.commit(change, boottime_now() + register_timeout);
				if (result.outcome == commit_outcome::applied)
					break;
				monitor.record_failure("register agent", result.reason);
				co_await pause_for(io, register_retry_delay);
			}
			monitor.record_success();
			log_event(event::process_ready, {{"worker", settings.worker.str()}});
		}

		asio::awaitable<void> stop_agent(asio::io_context& io, run_manager& runs, millis max_wait)
		{
			const auto deadline = boottime_now() + max_wait;
			runs.begin_shutdown();
			do
				co_await pause_for(io, idle_check_interval);
			while ((runs.open_orders() > 0 || !runs.may_exit(boottime_now())) && boottime_now() < deadline);
			io.stop();
		}
	}

	namespace
	{
		/// Reloads the settings and applies those that can change while the process runs.
		void reload(job_agent_settings& current, const agent_settings_source& source)
		{
			const auto next = source.load();
			if (!next.ok())
			{
				log_event(event::settings_refused, {{"reason", std::string{next.status().message()}}});
				return;
			}
			const bool needs_restart = next->heartbeats != current.heartbeats || next->links != current.links ||
									   next->store != current.store || next->worker != current.worker;
			current.stop_within = next->stop_within;
			log_event(event::settings_reloaded, {{"needs_restart", needs_restart ? 1 : 0}});
		}
	}

	exit_code run_job_agent(const job_agent_settings& settings, const agent_settings_source& source,
							const agent_adapters& adapters)
	{
		auto current = settings;
		asio::io_context io{1};
		process_metrics metrics;
		owner_links* started_links = nullptr;
		run_manager runs{io, [&](endpoint worker_address) { return adapters.make_worker(io, worker_address); },
						 settings.longest_run_lease, make_pacing_policy(settings.harm_limit),
						 [&started_links]
						 {
							 if (started_links != nullptr)
								 started_links->report_soon();
						 }};
		owner_links links{io, runs};
		started_links = &links;
		http_server heartbeats{io, http_limits{}, adapters.make_heartbeat_handler(runs)};
		http_server metrics_server{io, monitoring_limits,
								   [&metrics](http_request request) -> asio::awaitable<http_response>
								   {
									   const auto answer =
										   answer_health(request, metrics, [] { return std::string{}; });
									   co_return answer.value_or(error_response(404, "no such path"));
								   }};
		for (const auto& status : {heartbeats.listen(*settings.heartbeats).status(), links.listen(*settings.links),
								   metrics_server.listen(*settings.metrics).status()})
		{
			if (status.ok())
				continue;
			log_event(event::listen_failed, {{"reason", std::string{status.message()}}});
			return exit_code::failed;
		}
		log_event(event::process_started, {{"worker", settings.worker.str()}});
		const auto store = adapters.make_store(io, *settings.store);
		asio::co_spawn(io, register_agent(io, *store, settings), asio::detached);
		on_settings_change(io, source.path, [&] { reload(current, source); });
		log_suspensions(io);
		on_stop_signal(io,
					   [&]
					   {
						   log_event(event::process_stopping, {{"worker", settings.worker.str()}});
						   asio::co_spawn(io, stop_agent(io, runs, current.stop_within), asio::detached);
					   });
		io.run();
		log_event(event::process_stopped, {{"worker", settings.worker.str()}});
		return exit_code::ok;
	}
}
