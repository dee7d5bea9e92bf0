// SPDX-License-Identifier: MIT
#include <trailjunction/core/json.hpp>

#include <absl/strings/str_cat.h>
#include <boost/json/stream_parser.hpp>

namespace trailjunction
{
	absl::StatusOr<boost::json::value> parse_json(std::string_view text)
	{
		boost::json::stream_parser parser;
		boost::system::error_code error;
		const auto read = parser.write_some(text.data(), text.size(), error);
		if (!error && read == text.size())
			parser.finish(error);
		if (error)
			return absl::InvalidArgumentError(absl::StrCat("invalid JSON at byte ", read, ": ", error.message()));
		if (read != text.size())
			return absl::InvalidArgumentError(
				absl::StrCat("invalid JSON: unexpected text after the value at byte ", read));
		return parser.release();
	}

	std::string text_or(const boost::json::object& object, std::string_view name, std::string_view fallback)
	{
		const auto* value = object.if_contains(name);
		if (value == nullptr || !value->is_string())
			return std::string{fallback};
		const auto& text = value->get_string();
		return {text.data(), text.size()};
	}

	std::int64_t number_or(const boost::json::object& object, std::string_view name, std::int64_t fallback)
	{
		const auto* value = object.if_contains(name);
		if (value == nullptr)
			return fallback;
		boost::system::error_code error;
		const auto number = value->to_number<std::int64_t>(error);
		return error ? fallback : number;
	}

	bool flag_or(const boost::json::object& object, std::string_view name, bool fallback)
	{
		const auto* value = object.if_contains(name);
		return value != nullptr && value->is_bool() ? value->get_bool() : fallback;
	}
}
