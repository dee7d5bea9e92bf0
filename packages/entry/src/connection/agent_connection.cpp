// SPDX-License-Identifier: MIT
#include "agent_connection.hpp"

#include <trailjunction/core/event.hpp>
#include <trailjunction/core/random.hpp>
#include <trailjunction/net/coroutines.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace trailjunction
{
	namespace asio = boost::asio;

	namespace
	{
		constexpr auto min_reconnect_delay = millis{50};
		constexpr auto max_reconnect_delay = millis{2'000};
		constexpr auto connect_timeout = millis{1'000};
		constexpr auto keepalive_interval = millis{1'000};
		constexpr auto silence_timeout = millis{3'000};

		/// A random time between one half and all of \p time, so that an agent that restarts is not hit by all entries
		/// at once.
		millis jittered(millis time)
		{
			const auto half = static_cast<std::uint64_t>(time.count()) / 2;
			return millis{static_cast<std::int64_t>(half + random_u64() % (half + 1))};
		}
	}

	agent_connection::agent_connection(asio::io_context& io, endpoint address, member_id own_member,
									   incarnation own_incarnation)
		: io_{io},
		  address_{std::move(address)},
		  own_member_{std::move(own_member)},
		  own_incarnation_{own_incarnation},
		  timer_{io}
	{
	}

	void agent_connection::start(handlers callbacks)
	{
		callbacks_ = std::move(callbacks);
		asio::co_spawn(
			io_, [self = shared_from_this()] { return self->keep_connected(); }, asio::detached);
	}

	void agent_connection::stop()
	{
		stopped_ = true;
		callbacks_ = {};
		if (link_)
			link_->close("the connection is no longer needed");
		timer_.cancel();
	}

	asio::awaitable<void> agent_connection::keep_connected()
	{
		auto reconnect_delay = min_reconnect_delay;
		while (!stopped_)
		{
			// Shared with the handler of the timer, which may run after the connect attempt has ended.
			const auto socket = std::make_shared<asio::ip::tcp::socket>(io_);
			timer_.expires_after(connect_timeout);
			timer_.async_wait(
				[socket](const boost::system::error_code& error)
				{
					boost::system::error_code ignored;
					if (!error)
						socket->cancel(ignored);
				});
			auto [error] = co_await socket->async_connect(address_, as_result);
			timer_.cancel();
			if (!error && !stopped_)
			{
				link_limits limits;
				limits.idle_timeout = silence_timeout;
				const auto new_link = std::make_shared<link>(std::move(*socket), limits);
				link_ = new_link;
				const std::weak_ptr<link> weak_link = new_link;
				new_link->start(
					[self = weak_from_this(), weak_link](wire::envelope&& message)
					{
						const auto connection = self.lock();
						if (const auto from = weak_link.lock(); from && connection && connection->callbacks_.on_message)
							connection->callbacks_.on_message(from, std::move(message));
					},
					[self = weak_from_this()](const std::string& reason)
					{
						const auto connection = self.lock();
						if (!connection)
							return;
						log_event(event::link_closed, {{"agent", to_string(connection->address_)}, {"reason", reason}});
						connection->timer_.cancel();
					});
				log_event(event::link_opened, {{"agent", to_string(address_)}});
				if (callbacks_.on_open)
					callbacks_.on_open(new_link);
				co_await send_keepalives(new_link);
				link_.reset();
				if (callbacks_.on_close)
					callbacks_.on_close(new_link);
				reconnect_delay = min_reconnect_delay;
			}
			if (stopped_)
				break;
			timer_.expires_after(jittered(reconnect_delay));
			(void)co_await timer_.async_wait(as_result);
			reconnect_delay = std::min(reconnect_delay * 2, max_reconnect_delay);
		}
	}

	asio::awaitable<void> agent_connection::send_keepalives(std::shared_ptr<link> open_link)
	{
		wire::envelope keepalive;
		keepalive.__isset.hi = true;
		keepalive.hi.version = wire_version;
		keepalive.hi.process = own_member_.str();
		keepalive.hi.incarnation = static_cast<std::int64_t>(own_incarnation_.value);
		while (open_link->is_open() && !stopped_)
		{
			(void)open_link->send(keepalive);
			timer_.expires_after(keepalive_interval);
			(void)co_await timer_.async_wait(as_result);
		}
	}
}
