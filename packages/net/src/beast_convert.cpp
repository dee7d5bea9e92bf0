// SPDX-License-Identifier: MIT
#include "impl/beast_convert.hpp"

#include <absl/strings/match.h>

namespace trailjunction::impl
{
	namespace http = boost::beast::http;

	namespace
	{
		constexpr int http_1_1 = 11;

		/// Whether a header field applies to a single connection and must not be forwarded.
		bool is_hop_by_hop(std::string_view name)
		{
			for (const auto* hop_by_hop_name : {"connection", "keep-alive", "transfer-encoding", "content-length",
												"upgrade", "te", "trailer", "proxy-connection"})
				if (absl::EqualsIgnoreCase(absl::string_view{name.data(), name.size()}, hop_by_hop_name))
					return true;
			return false;
		}

		template <typename Fields>
		std::vector<http_header> headers_of(const Fields& fields)
		{
			std::vector<http_header> headers;
			for (const auto& field : fields)
				if (const std::string_view name{field.name_string()}; !is_hop_by_hop(name))
					headers.push_back({std::string{name}, std::string{field.value()}});
			return headers;
		}
	}

	http_request from_beast(beast_request message)
	{
		return {std::string{message.method_string()}, std::string{message.target()}, headers_of(message),
				std::move(message.body())};
	}

	http_response from_beast(beast_response message)
	{
		return {static_cast<int>(message.result_int()), headers_of(message), std::move(message.body())};
	}

	beast_request to_beast(const http_request& message, const std::string& host)
	{
		beast_request out{http::string_to_verb(message.method), message.target, http_1_1};
		out.method_string(message.method);
		for (const auto& header : message.headers)
			if (!is_hop_by_hop(header.name))
				out.insert(header.name, header.value);
		if (out.find(http::field::host) == out.end())
			out.set(http::field::host, host);
		out.body() = message.body;
		out.prepare_payload();
		return out;
	}

	beast_response to_beast(http_response message, bool keep_alive)
	{
		beast_response out{http::int_to_status(static_cast<unsigned>(message.status)), http_1_1};
		out.result(static_cast<unsigned>(message.status));
		for (const auto& header : message.headers)
			if (!is_hop_by_hop(header.name))
				out.insert(header.name, header.value);
		out.keep_alive(keep_alive);
		out.body() = std::move(message.body);
		out.prepare_payload();
		return out;
	}
}
