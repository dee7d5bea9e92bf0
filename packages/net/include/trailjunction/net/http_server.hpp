// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief HTTP/1.1 server over Boost.Beast.
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
	/// \brief Limits on connections, and on the size and duration of each request.
	struct http_limits
	{
		std::size_t max_header_bytes{16 * 1024};
		std::size_t max_body_bytes{1024 * 1024};
		/// What one connection may hold of a message besides its body: a header, a chunk extension or trailers.
		std::size_t max_read_buffer_bytes{32 * 1024};
		/// Bytes of the request bodies that are held for all connections together, until they are answered. Beyond it,
		/// the incomplete requests that have taken longest are refused.
		std::size_t max_held_body_bytes{std::size_t{32} * 1024 * 1024};
		std::size_t max_connections{1024};
		std::chrono::milliseconds header_timeout{10'000}; ///< Bounds an idle connection and the reading of a header.
		std::chrono::milliseconds body_timeout{30'000};
		std::chrono::milliseconds write_timeout{30'000};
	};

	/// \brief Serves complete requests on one io_context.
	/// \details The requests of a connection are served in order. An oversized or malformed request gets an error
	/// response and closes its own connection only. stop() shuts down gracefully: idle connections are closed, and
	/// requests in flight are answered first.
	class http_server
	{
	public:
		/// \brief Answers one request; a response with status 0 closes the connection without sending a response.
		using handler = std::function<boost::asio::awaitable<http_response>(http_request)>;

		http_server(boost::asio::io_context& io, http_limits limits, handler on_request);
		~http_server();
		http_server(const http_server&) = delete;
		http_server& operator=(const http_server&) = delete;

		/// \brief Binds the address and starts to accept connections.
		/// \returns The bound address; if port 0 was requested, with the port that the kernel chose.
		[[nodiscard]] absl::StatusOr<endpoint> listen(const endpoint& address);

		/// \brief Stops accepting and closes idle connections.
		void stop();

		/// \brief Closes the connections on which no request is in flight; accepts further ones.
		void close_idle_connections();

		/// \brief Number of requests whose response has not been written yet.
		[[nodiscard]] std::size_t in_flight() const noexcept;

		/// \brief Number of open connections.
		[[nodiscard]] std::size_t connections() const noexcept;

	private:
		struct shared_state;
		std::shared_ptr<shared_state> state_;
	};
}
