// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief HTTP/1.1 client for one endpoint, with a connection pool.
#pragma once

#include "endpoint.hpp"
#include "http_message.hpp"

#include <trailjunction/core/units.hpp>

#include <absl/status/status.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <memory>

namespace trailjunction
{
	/// \brief How far a request got; decides whether repeating it is safe.
	enum class delivery_status
	{
		not_sent, ///< Certain: no byte of it left this process.
		unknown,  ///< It was sent at least in part, but no complete response arrived.
		answered, ///< The complete response arrived.
	};

	/// \brief The result of a request.
	struct http_result
	{
		delivery_status delivery{delivery_status::not_sent};
		absl::Status status;
		http_response response;
		bool connection_refused{}; ///< Not sent: the instance is up, but no process listens on the port.
	};

	/// \brief Connections over which a request may be sent.
	enum class connection_choice
	{
		any,       ///< An open one, or a new one.
		open_only, ///< Only one that has carried a response before: the process that sent it is still there.
	};

	/// \brief Sends requests to one endpoint over pooled connections. Bound to one io_context.
	class http_client
	{
	public:
		/// \param max_idle_connections The most idle connections that are pooled; connections in use are not limited.
		/// \param max_body_bytes The largest response body that is read.
		http_client(boost::asio::io_context& io, endpoint remote, std::size_t max_idle_connections = 64,
					std::size_t max_body_bytes = 16 * 1024 * 1024);
		~http_client();
		http_client(const http_client&) = delete;
		http_client& operator=(const http_client&) = delete;

		/// \brief Sends one request and waits for its complete response until \p deadline.
		/// \details If a pooled connection times out, it is closed together with all idle connections of the pool:
		/// connections can stop passing data without being closed, and usually several do so at once.
		/// With connection_choice::open_only the request is not sent if no open connection is idle.
		[[nodiscard]] boost::asio::awaitable<http_result> send(http_request request, instant deadline,
															   connection_choice choice = connection_choice::any);

		[[nodiscard]] const endpoint& remote_endpoint() const noexcept;

	private:
		struct shared_state;
		std::shared_ptr<shared_state> state_;
	};
}
