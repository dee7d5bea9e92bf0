// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Opening a listener.
#pragma once

#include "endpoint.hpp"

#include <absl/status/status.h>
#include <boost/asio/ip/tcp.hpp>

namespace trailjunction
{
	/// \brief Binds an acceptor and starts to listen.
	/// \returns unavailable, with the address and the reason, where the address cannot be had.
	[[nodiscard]] absl::Status open_listener(boost::asio::ip::tcp::acceptor& acceptor, const endpoint& where);
}
