// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief IP address and port, and their text form.
#pragma once

#include <absl/status/statusor.h>
#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <string_view>

namespace trailjunction
{
	using endpoint = boost::asio::ip::tcp::endpoint;

	/// \brief Parses `127.0.0.1:8080` or `[::1]:8080`.
	/// \returns invalid_argument for anything else; host names are rejected because processes address each other by IP.
	[[nodiscard]] absl::StatusOr<endpoint> parse_endpoint(std::string_view text);

	/// \brief Parses an address to connect to: like parse_endpoint(), but port 0 is an error.
	[[nodiscard]] absl::StatusOr<endpoint> parse_remote_endpoint(std::string_view text);

	/// \brief Formats an endpoint as parse_endpoint() reads it.
	[[nodiscard]] std::string to_string(const endpoint& value);
}
