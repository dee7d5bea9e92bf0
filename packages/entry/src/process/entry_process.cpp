// SPDX-License-Identifier: MIT
#include "../request/request_forwarder.hpp"
#include "control_duty.hpp"

#include <trailjunction/core/event.hpp>
#include <trailjunction/core/random.hpp>
#include <trailjunction/entry/entry_process.hpp>
#include <trailjunction/net/coroutines.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <thread>

namespace trailjunction
{
	namespace asio = boost::asio;

	namespace
	{
		constexpr auto stop_check_interval = millis{20};
		/// Time for the load balancer to notice that the entry is not ready.
		constexpr auto unready_notice_time = millis{1'000};

		asio::awaitable<void> hand_over(asio::io_context& io, control_duty& control, bool& done)
		{
			co_await control.leave();
			co_await pause_for(io, stop_check_interval);
			done = true;
		}

		/// Shuts the entry down in order: it reports that it is not ready, accepts no more connections, completes the
		/// requests in flight and stops. The shutdown takes about \p max_duration at the longest.
		asio::awaitable<void> stop_entry(asio::io_context& control_io, asio::io_context& request_io,
										 control_duty& control, request_forwarder& requests, millis max_duration)
		{
			const auto began = boottime_now();
			bool handed_over = false;
			asio::co_spawn(control_io, hand_over(control_io, control, handed_over), asio::detached);
			co_await pause_for(control_io, unready_notice_time);
			asio::post(request_io, [&requests] { requests.stop(); });
			do
				co_await pause_for(control_io, stop_check_interval);
			while ((requests.in_flight() > 0 || !handed_over) && boottime_now() - began < max_duration);
			co_await pause_for(control_io, stop_check_interval); // lets the last responses be written
			control_io.stop();
		}
	}

	exit_code run_entry(const entry_settings& settings)
	{
		asio::io_context control_io{1};
		asio::io_context request_io{1};
		process_metrics metrics;
		span_exporter spans{"trailjunction/" + settings.member.str(), settings.collector};
		// Messages carry the incarnation as a signed number, so it has to be positive as one.
		const incarnation own_incarnation{(random_u64() >> 1U) | 1U};
		request_forwarder requests{request_io, settings, own_incarnation, metrics, spans};
		control_duty control{control_io, settings, own_incarnation, metrics, requests.directories()};
		requests.set_completed_requests(control.completed_requests());
		for (const auto& status : {requests.listen(), control.listen()})
		{
			if (status.ok())
				continue;
			log_event(event::listen_failed, {{"reason", std::string{status.message()}}});
			return exit_code::failed;
		}
		log_event(event::process_started, {{"member", settings.member.str()}, {"incarnation", own_incarnation.value}});
		log_suspensions(control_io);
		on_stop_signal(control_io,
					   [&]
					   {
						   log_event(event::process_stopping, {{"member", settings.member.str()}});
						   asio::co_spawn(control_io,
										  stop_entry(control_io, request_io, control, requests, settings.stop_within),
										  asio::detached);
					   });
		std::thread request_thread{[&]
								   {
									   request_io.run();
								   }};
		control_io.run();
		request_io.stop();
		request_thread.join();
		log_event(event::process_stopped, {{"member", settings.member.str()}});
		return exit_code::ok;
	}
}
