// SPDX-License-Identifier: MIT
#include <trailjunction/net/endpoint.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace trailjunction
{
	absl::StatusOr<endpoint> parse_endpoint(std::string_view text)
	{
		const auto invalid = [&]
		{
			return absl::InvalidArgumentError(
				absl::StrCat("'", std::string{text}, "' is not an address; expected IP:PORT"));
		};
		const auto colon = text.rfind(':');
		if (colon == std::string_view::npos)
			return invalid();
		auto host = text.substr(0, colon);
		if (host.size() >= 2 && host.front() == '[' && host.back() == ']')
			host = host.substr(1, host.size() - 2);
		boost::system::error_code error;
		const auto address = boost::asio::ip::make_address(host, error);
		unsigned port{};
		constexpr unsigned max_port = 65535;
		if (error || !absl::SimpleAtoi(std::string{text.substr(colon + 1)}, &port) || port > max_port)
			return invalid();
		return endpoint{address, static_cast<unsigned short>(port)};
	}

	absl::StatusOr<endpoint> parse_remote_endpoint(std::string_view text)
	{
		auto out = parse_endpoint(text);
		if (out.ok() && out->port() == 0)
			return absl::InvalidArgumentError(absl::StrCat("'", std::string{text}, "' has no port to connect to"));
		return out;
	}

	std::string to_string(const endpoint& value)
	{
		const auto host = value.address().to_string();
		return value.address().is_v6() ? absl::StrCat("[", host, "]:", value.port())
									   : absl::StrCat(host, ":", value.port());
	}
}
