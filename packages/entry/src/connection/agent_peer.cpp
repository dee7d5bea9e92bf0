// SPDX-License-Identifier: MIT
#include "agent_peer.hpp"

#include <trailjunction/core/event.hpp>
#include <trailjunction/net/coroutines.hpp>
#include <trailjunction/wire/job_messages.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <algorithm>

namespace trailjunction
{
	namespace asio = boost::asio;

	namespace
	{
		constexpr auto dial_timeout = millis{500}; ///< For a connection attempt within a region.
		constexpr auto redial_delay = millis{200}; ///< A restarted agent is reachable after a few of these.
		/// Limits the exponential backoff while an agent closes each link without a report. The agent then obeys a
		/// later owner. Without backoff, an owner that did not know of it opened 1,200 links per second to 240 agents.
		constexpr int max_backoff_doublings = 3;

		/// Agents report twice a second; a link without a message for three reports counts as dead.
		constexpr link_limits limits{.idle_timeout = millis{1'500}};
	}

	agent_peer::agent_peer(asio::io_context& io, std::string name, endpoint address, wire::job_claim claim,
						   std::function<bool()> may_claim, report_handler on_report)
		: io_{io},
		  name_{std::move(name)},
		  address_{std::move(address)},
		  claim_{std::move(claim)},
		  may_claim_{std::move(may_claim)},
		  on_report_{std::move(on_report)}
	{
	}

	void agent_peer::start()
	{
		asio::co_spawn(
			io_, [self = shared_from_this()]() -> asio::awaitable<void> { co_await self->dial_loop(); },
			asio::detached);
	}

	void agent_peer::stop()
	{
		stopped_ = true;
		if (link_)
			link_->close("the term of ownership is over");
	}

	void agent_peer::set_address(endpoint address)
	{
		if (address == address_)
			return;
		address_ = std::move(address);
		if (link_)
			link_->close("the address of the agent has changed");
	}

	void agent_peer::send(const wire::envelope& message)
	{
		if (is_connected() && link_->send(message) == 0)
			link_->close("the link is closed or its send queue is full");
	}

	void agent_peer::send_claim()
	{
		if (may_claim_())
			send(to_envelope(claim_));
		else
			link_->close("the owner's lease is over");
	}

	void agent_peer::request_full_report()
	{
		// An agent answers each claim with a full report, also one that it has obeyed before.
		if (is_connected())
			send_claim();
	}

	void agent_peer::on_message(wire::envelope&& message)
	{
		if (!message.__isset.job_status || stopped_)
			return;
		heard_at_ = boottime_now();
		// The first report that names a worker is a full one; reports before it come from an agent without a worker.
		reported_ = reported_ || !message.job_status.worker.empty();
		on_report_(*this, std::move(message.job_status));
	}

	asio::awaitable<void> agent_peer::dial_loop()
	{
		int links_without_report = 0; // consecutive
		while (!stopped_)
		{
			if (!may_claim_())
			{
				co_await pause_for(io_, redial_delay);
				continue;
			}
			boost::beast::tcp_stream stream{io_};
			stream.expires_after(dial_timeout);
			auto [error] = co_await stream.async_connect(address_, as_result);
			if (stopped_)
				co_return;
			if (error)
			{
				co_await pause_for(io_, redial_delay);
				continue;
			}
			asio::steady_timer closed{io_, std::chrono::steady_clock::time_point::max()};
			reported_ = false;
			link_ = std::make_shared<link>(stream.release_socket(), limits);
			link_->start([self = shared_from_this()](wire::envelope&& message)
						 { self->on_message(std::move(message)); },
						 [self = shared_from_this(), &closed](const std::string& reason)
						 {
							 log_event(event::link_closed, {{"agent", self->name_}, {"reason", reason}});
							 closed.cancel();
						 });
			send_claim();
			(void)co_await closed.async_wait(as_result);
			link_.reset();
			links_without_report = reported_ ? 0 : std::min(links_without_report + 1, max_backoff_doublings);
			if (!stopped_)
				co_await pause_for(io_, redial_delay * (1 << links_without_report));
		}
	}
}
