// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief A client connection to one agent that reconnects automatically; used for requests and tasks.
/// \details An owner of jobs uses agent_peer instead.
#pragma once

#include <trailjunction/core/ids.hpp>
#include <trailjunction/core/units.hpp>
#include <trailjunction/net/endpoint.hpp>
#include <trailjunction/wire/link.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace trailjunction
{
	/// \brief Connects to an agent, and reconnects with exponential backoff and jitter.
	/// \details Runs on one io_context. Sends a keepalive once a second; either side closes a connection on which it
	/// receives nothing for too long.
	class agent_connection : public std::enable_shared_from_this<agent_connection>
	{
	public:
		/// \brief Callbacks for the owner of the connection.
		struct handlers
		{
			std::function<void(const std::shared_ptr<link>&)> on_open;
			std::function<void(const std::shared_ptr<link>&, wire::envelope&&)> on_message;
			std::function<void(const std::shared_ptr<link>&)> on_close;
		};

		agent_connection(boost::asio::io_context& io, endpoint address, member_id own_member,
						 incarnation own_incarnation);

		/// \brief Starts connecting.
		void start(handlers callbacks);

		/// \brief Closes the connection permanently; no callback is called afterwards.
		void stop();

		/// \brief The open link, or null while not connected.
		[[nodiscard]] const std::shared_ptr<link>& current_link() const noexcept
		{
			return link_;
		}
		[[nodiscard]] const endpoint& agent_address() const noexcept
		{
			return address_;
		}

	private:
		boost::asio::awaitable<void> keep_connected();
		boost::asio::awaitable<void> send_keepalives(std::shared_ptr<link> open_link);

		boost::asio::io_context& io_;
		endpoint address_;
		member_id own_member_;
		incarnation own_incarnation_;
		handlers callbacks_;
		std::shared_ptr<link> link_;
		boost::asio::steady_timer timer_;
		bool stopped_{};
	};
}
