// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief HTTP messages as plain structures, independent of Boost.Beast.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace trailjunction
{
	/// \brief One header field.
	struct http_header
	{
		std::string name;
		std::string value;
	};

	/// \brief A complete request.
	struct http_request
	{
		std::string method{"GET"};
		std::string target{"/"};
		std::vector<http_header> headers;
		std::string body;
	};

	/// \brief A complete response.
	struct http_response
	{
		int status{200};
		std::vector<http_header> headers;
		std::string body;
	};

	/// \brief The value of a header field, or empty if it is absent; names are compared case-insensitively.
	[[nodiscard]] std::string_view find_header(const std::vector<http_header>& headers, std::string_view name) noexcept;

	/// \brief Creates a JSON response.
	[[nodiscard]] http_response json_response(int status, std::string body);

	/// \brief Creates a JSON response `{"error": reason}`.
	[[nodiscard]] http_response error_response(int status, std::string_view reason);

	/// \brief The path of a target, without the query.
	[[nodiscard]] std::string_view path_of(std::string_view target) noexcept;

	/// \brief One decoded parameter of a target's query, or empty if it is absent.
	[[nodiscard]] std::string query_parameter(std::string_view target, std::string_view name);

	/// \brief Percent-encodes a text for use in a target.
	[[nodiscard]] std::string percent_encode(std::string_view text);
}
