// SPDX-License-Identifier: MIT
#include <trailjunction/core/random.hpp>
#include <trailjunction/core/trace.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <chrono>
#include <vector>

namespace trailjunction
{
	namespace
	{
		constexpr std::size_t trace_digits = 32;
		constexpr std::size_t span_digits = 16;

		bool is_hex(std::string_view text, std::size_t digits)
		{
			const auto hex = [](char c)
			{
				return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
			};
			const auto zero = [](char c)
			{
				return c == '0';
			};
			return text.size() == digits && std::all_of(text.begin(), text.end(), hex) &&
				   !std::all_of(text.begin(), text.end(), zero);
		}

		std::string random_hex()
		{
			return absl::StrCat(absl::Hex(random_u64() | 1U, absl::kZeroPad16));
		}

		std::int64_t unix_nanos()
		{
			const auto since = std::chrono::system_clock::now().time_since_epoch();
			return std::chrono::duration_cast<std::chrono::nanoseconds>(since).count();
		}
	}

	trace_context parse_traceparent(std::string_view header)
	{
		const std::vector<std::string> parts = absl::StrSplit(std::string{header}, '-');
		if (parts.size() == 4 && is_hex(parts[1], trace_digits) && is_hex(parts[2], span_digits))
			return {parts[1], parts[2], parts[3] != "00"};
		return {absl::StrCat(random_hex(), random_hex()), "", true};
	}

	std::string to_traceparent(const trace_context& context, std::string_view span_id)
	{
		return absl::StrCat("00-", context.trace_id, "-", std::string{span_id}, context.sampled ? "-01" : "-00");
	}

	span start_span(const trace_context& context, std::string name)
	{
		return {context, random_hex(), std::move(name), unix_nanos(), 0, ""};
	}

	void end_span(span& ended, std::string_view outcome)
	{
		ended.end_unix_nanos = unix_nanos();
		ended.outcome = outcome;
	}
}
