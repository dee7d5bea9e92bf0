// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Opens listening sockets.
#pragma once

#include "endpoint.hpp"

#include <absl/status/status.h>
#include <boost/asio/ip/tcp.hpp>

namespace trailjunction
{
	/// \brief Opens and binds an acceptor, with address reuse, and starts to listen.
	/// \returns unavailable, with the address and the reason, if the address cannot be bound.
	[[nodiscard]] absl::Status open_listener(boost::asio::ip::tcp::acceptor& acceptor, const endpoint& address);
}
