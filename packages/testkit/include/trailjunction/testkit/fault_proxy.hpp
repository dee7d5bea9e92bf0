// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief A TCP proxy that injects faults.
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
	/// \brief What the proxy does to traffic now.
	struct proxy_faults
	{
		millis delay{};             ///< One way, on all data.
		bool hold{};                ///< Data and new connections wait, nothing is closed: a partition.
		bool hold_answers{};        ///< Only data from the target waits.
		bool refuse{};              ///< New connections are closed at once.
		std::int64_t cut_after{-1}; ///< Each connection is cut after so many bytes from its target.
	};

	/// \brief Passes connections on to one target.
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
		/// \brief Cuts all connections that are open.
		void cut_all();
		/// \brief From now on nothing passes on the connections that are open, either way, and none of them is closed.
		void silence_all();
		/// \brief Connections that are open towards the target and pass data.
		[[nodiscard]] std::size_t working_connections() const;

	private:
		struct connection;
		boost::asio::awaitable<void> accept();
		boost::asio::awaitable<void> serve(std::shared_ptr<connection> one);

		boost::asio::io_context& io_;
		endpoint target_;
		boost::asio::ip::tcp::acceptor acceptor_;
		std::shared_ptr<proxy_faults> faults_;
		std::vector<std::weak_ptr<connection>> connections_;
	};
}
