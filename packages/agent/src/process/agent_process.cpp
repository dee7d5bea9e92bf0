// SPDX-License-Identifier: MIT
#include "../request/request_duty.hpp"
#include "control_duty.hpp"

#include <trailjunction/agent/agent_process.hpp>
#include <trailjunction/core/event.hpp>
#include <trailjunction/core/random.hpp>
#include <trailjunction/net/coroutines.hpp>
#include <trailjunction/net/program.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <thread>

namespace trailjunction
{
	namespace asio = boost::asio;

	namespace
	{
		constexpr auto idle_check_interval = millis{50};
		/// Minimum time for entries to learn that the worker is leaving.
		constexpr auto min_leave_notice = millis{1'500};

		/// Waits until no run and no request is left on the worker, at most for \p max_wait, then stops the event loop.
		asio::awaitable<void> wait_until_idle(asio::io_context& io, const control_duty& control,
											  const request_duty& requests, millis max_wait)
		{
			const auto start = boottime_now();
			while (true)
			{
				asio::steady_timer timer{io, idle_check_interval};
				(void)co_await timer.async_wait(as_result);
				const auto elapsed = boottime_now() - start;
				const bool is_idle = control.active_runs() == 0 && requests.pending_count() == 0;
				if ((is_idle && elapsed >= min_leave_notice) || elapsed >= max_wait)
					break;
			}
			io.stop();
		}
	}

	exit_code run_agent(const agent_settings& settings)
	{
		asio::io_context control_io{1};
		asio::io_context request_io{1};
		process_metrics metrics;
		span_exporter spans{"trailjunction-agent/" + settings.worker.str(), settings.collector};
		// Below 2^63, since messages carry it as a signed number.
		const incarnation own_incarnation{(random_u64() >> 1U) | 1U};
		request_duty requests{request_io, settings, own_incarnation, metrics, spans};
		control_duty control{control_io, settings, own_incarnation, metrics, requests.rules()};
		requests.report_to(control.summaries());
		for (const auto& status : {requests.listen(), control.listen()})
		{
			if (status.ok())
				continue;
			log_event(event::listen_failed, {{"reason", std::string{status.message()}}});
			return exit_code::failed;
		}
		log_event(event::process_started, {{"worker", settings.worker.str()}, {"incarnation", own_incarnation.value}});
		log_suspensions(control_io);
		on_stop_signal(control_io,
					   [&]
					   {
						   log_event(event::process_stopping, {{"worker", settings.worker.str()}});
						   control.begin_shutdown();
						   asio::co_spawn(control_io,
										  wait_until_idle(control_io, control, requests, settings.stop_within),
										  asio::detached);
					   });
		std::thread request_thread{[&]
								   {
									   request_io.run();
								   }};
		control_io.run();
		request_io.stop();
		request_thread.join();
		log_event(event::process_stopped, {{"worker", settings.worker.str()}});
		return exit_code::ok;
	}
}
