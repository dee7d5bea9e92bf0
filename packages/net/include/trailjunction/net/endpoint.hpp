// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief An IP address and a port.
#pragma once

#include <absl/status/statusor.h>
#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <string_view>

namespace trailjunction
{
	using endpoint = boost::asio::ip::tcp::endpoint;

	/// \brief Reads `127.0.0.1:8080` or `[::1]:8080`; names are refused, since processes talk by IP.
	[[nodiscard]] absl::StatusOr<endpoint> parse_endpoint(std::string_view text);

	/// \brief The text that parse_endpoint() reads.
	[[nodiscard]] std::string to_string(const endpoint& where);
}
