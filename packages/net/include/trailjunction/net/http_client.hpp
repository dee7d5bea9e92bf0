// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief An HTTP client for one endpoint.
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
	/// \brief How far a request got.
	enum class delivery
	{
		not_sent, ///< Proved: not a byte of it left this process.
		unknown,  ///< It was sent at least in part, and no whole answer came.
		answered, ///< The whole answer came.
	};

	/// \brief What came of a request.
	struct http_result
	{
		delivery reached{delivery::not_sent};
		absl::Status status;
		http_response response;
		bool no_listener{}; ///< Not sent, since no process listens there: its instance answered so.
	};

	/// \brief Sends requests to one endpoint over kept connections; lives on one io_context.
	class http_client
	{
	public:
		/// \param connections The most connections that are kept and used at a time.
		/// \param body_bytes The largest answer that is read.
		http_client(boost::asio::io_context& io, endpoint where, std::size_t connections = 64,
					std::size_t body_bytes = 16 * 1024 * 1024);
		~http_client();
		http_client(const http_client&) = delete;
		http_client& operator=(const http_client&) = delete;

		/// \brief Sends one request and waits for its whole answer, until \p deadline at the latest.
		/// \details A kept connection that gave no answer by then is closed together with all that idle beside it:
		/// connections may fall silent without being closed, and mostly several at once.
		[[nodiscard]] boost::asio::awaitable<http_result> send(http_request request, instant deadline);

		[[nodiscard]] const endpoint& where() const noexcept;

	private:
		struct shared_state;
		std::shared_ptr<shared_state> state_;
	};
}
