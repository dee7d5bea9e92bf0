// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Stand-in for an upstream.
#pragma once

#include <trailjunction/core/units.hpp>
#include <trailjunction/net/http_server.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace trailjunction::testkit
{
	/// \brief How the upstream behaves; may change at any time.
	struct upstream_behaviour
	{
		millis service_time{1}; ///< Service time of a request without `?ms=`.
		double slowdown{1};     ///< Factor on every service time.
		bool never_responds{};
		bool responds_500{};          ///< Responds with status 500 immediately.
		bool drops_response{};        ///< Executes the request, then closes the connection without a response.
		std::size_t response_bytes{}; ///< Minimum size of a response body, padded.
	};

	/// \brief Responds with `JOB path body` after the requested service time and records every execution.
	class upstream_standin
	{
	public:
		explicit upstream_standin(boost::asio::io_context& io);

		/// \brief Binds to a port that the kernel picks.
		[[nodiscard]] endpoint listen();

		[[nodiscard]] upstream_behaviour& behaviour() noexcept
		{
			return behaviour_;
		}
		/// \brief The `X-Job` of each request whose execution began, in order.
		[[nodiscard]] const std::vector<std::string>& executed_requests() const noexcept
		{
			return executed_requests_;
		}
		/// \brief The number of requests that are being executed.
		[[nodiscard]] std::int64_t running() const noexcept
		{
			return running_;
		}
		/// \brief The highest number of requests executed at the same time.
		[[nodiscard]] std::int64_t max_running() const noexcept
		{
			return max_running_;
		}

	private:
		boost::asio::awaitable<http_response> answer(http_request request);

		boost::asio::io_context& io_;
		http_server server_;
		upstream_behaviour behaviour_;
		std::vector<std::string> executed_requests_;
		std::int64_t running_{};
		std::int64_t max_running_{};
	};
}
