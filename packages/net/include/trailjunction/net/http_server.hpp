// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief An HTTP server over Boost.Beast.
#pragma once

#include "endpoint.hpp"
#include "http_message.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

namespace trailjunction
{
	/// \brief What one caller may cost at the most.
	struct http_limits
	{
		std::size_t head_bytes{16 * 1024};
		std::size_t body_bytes{1024 * 1024};
		std::size_t connections{1024};
		std::chrono::milliseconds head_time{10'000}; ///< For a whole head, once its first byte was awaited that long.
		std::chrono::milliseconds body_time{30'000};
		std::chrono::milliseconds write_time{30'000};
	};

	/// \brief Serves whole requests on one io_context.
	/// \details Each connection is served in order. An oversized or malformed request gets an error and costs its own
	/// connection only. stop() is the planned stop: idle connections close, requests in flight are answered first.
	class http_server
	{
	public:
		/// \brief Answers one request; a response with status 0 closes the connection without an answer.
		using handler = std::function<boost::asio::awaitable<http_response>(http_request)>;

		http_server(boost::asio::io_context& io, http_limits limits, handler on_request);
		~http_server();
		http_server(const http_server&) = delete;
		http_server& operator=(const http_server&) = delete;

		/// \brief Binds and starts to accept.
		/// \returns The bound address, with the port that the kernel picked where 0 was asked for.
		[[nodiscard]] absl::StatusOr<endpoint> listen(const endpoint& where);

		/// \brief Stops accepting and closes idle connections.
		void stop();

		/// \brief Requests whose answer has not been written yet.
		[[nodiscard]] std::size_t in_flight() const noexcept;

		/// \brief Connections that are open.
		[[nodiscard]] std::size_t connections() const noexcept;

	private:
		struct shared_state;
		std::shared_ptr<shared_state> state_;
	};
}
