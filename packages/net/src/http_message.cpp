// SPDX-License-Identifier: MIT
#include <trailjunction/net/http_message.hpp>

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace trailjunction
{
	namespace
	{
		std::string percent_decode(std::string_view text)
		{
			std::string out;
			for (std::size_t i = 0; i < text.size(); ++i)
			{
				const bool escape = text[i] == '%' && i + 2 < text.size() && absl::ascii_isxdigit(text[i + 1]) &&
									absl::ascii_isxdigit(text[i + 2]);
				if (escape)
				{
					out += absl::HexStringToBytes(std::string{text.substr(i + 1, 2)});
					i += 2;
				}
				else
				{
					out += text[i] == '+' ? ' ' : text[i];
				}
			}
			return out;
		}
	}

	std::string_view find_header(const std::vector<http_header>& headers, std::string_view name) noexcept
	{
		for (const auto& header : headers)
			if (absl::EqualsIgnoreCase(header.name, absl::string_view{name.data(), name.size()}))
				return header.value;
		return {};
	}

	http_response json_response(int status, std::string body)
	{
		return {status, {{"Content-Type", "application/json"}}, std::move(body)};
	}

	http_response error_response(int status, std::string_view reason)
	{
		return json_response(status, boost::json::serialize(boost::json::value{{"error", reason}}));
	}

	std::string_view path_of(std::string_view target) noexcept
	{
		return target.substr(0, target.find('?'));
	}

	std::string query_parameter(std::string_view target, std::string_view name)
	{
		const auto question_mark = target.find('?');
		if (question_mark == std::string_view::npos)
			return {};
		const std::vector<std::string> pairs = absl::StrSplit(std::string{target.substr(question_mark + 1)}, '&');
		for (const auto& pair : pairs)
		{
			const auto equals = pair.find('=');
			if (pair.substr(0, equals) == name)
				return equals == std::string::npos ? "" : percent_decode(std::string_view{pair}.substr(equals + 1));
		}
		return {};
	}

	std::string percent_encode(std::string_view text)
	{
		std::string out;
		for (const char c : text)
		{
			if (absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.' || c == '~')
				out += c;
			else
				out += "%" + absl::BytesToHexString(std::string(1, c));
		}
		return out;
	}
}
