// SPDX-License-Identifier: MIT
/// \file
/// \brief Conversions between plain HTTP messages and those of Boost.Beast; hop-by-hop header fields are dropped.
#pragma once

#include <trailjunction/net/http_message.hpp>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace trailjunction::impl
{
	using beast_request = boost::beast::http::request<boost::beast::http::string_body>;
	using beast_response = boost::beast::http::response<boost::beast::http::string_body>;

	[[nodiscard]] http_request from_beast(beast_request message);
	[[nodiscard]] http_response from_beast(beast_response message);
	[[nodiscard]] beast_request to_beast(const http_request& message, const std::string& host);
	[[nodiscard]] beast_response to_beast(http_response message, bool keep_alive);
}
