// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief A TCP proxy that injects network faults.
#pragma once

#include <trailjunction/core/units.hpp>
#include <trailjunction/net/endpoint.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace trailjunction::testkit
{
	/// \brief The faults that the proxy injects; may change at any time.
	struct proxy_faults
	{
		millis delay{};            ///< One-way delay of all data.
		bool hold_all{};           ///< Data and new connections wait and nothing is closed, as in a network partition.
		bool hold_responses{};     ///< Only data from the target waits.
		bool refuse_connections{}; ///< New connections are closed immediately.
		/// Each connection is closed after this many bytes from its target; -1 for no limit.
		std::int64_t close_after_bytes{-1};
	};

	/// \brief Forwards connections to one target.
	class fault_proxy
	{
	public:
		fault_proxy(boost::asio::io_context& io, endpoint target);

		/// \brief Binds to a port that the kernel picks.
		[[nodiscard]] endpoint listen();

		[[nodiscard]] proxy_faults& faults() noexcept
		{
			return *faults_;
		}
		/// \brief Closes all open connections.
		void close_connections();
		/// \brief Blackholes all open connections: no data passes in either direction and none of them is closed.
		void blackhole_connections();
		/// \brief The number of connections that are open towards the target and not blackholed.
		[[nodiscard]] std::size_t forwarding_connections() const;

	private:
		struct connection;
		boost::asio::awaitable<void> accept();
		boost::asio::awaitable<void> serve(std::shared_ptr<connection> conn);

		boost::asio::io_context& io_;
		endpoint target_;
		boost::asio::ip::tcp::acceptor acceptor_;
		std::shared_ptr<proxy_faults> faults_;
		std::vector<std::weak_ptr<connection>> connections_;
	};
}
