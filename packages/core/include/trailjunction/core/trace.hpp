// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief W3C trace context and spans.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace trailjunction
{
	/// \brief The trace that a request belongs to, as in the header `traceparent`.
	struct trace_context
	{
		std::string trace_id;  ///< 32 hexadecimal digits.
		std::string parent_id; ///< 16 hexadecimal digits: span of the previous hop; empty in a new trace.
		bool sampled{true};
	};

	/// \brief The span of one hop.
	struct span
	{
		trace_context context;
		std::string id; ///< 16 hexadecimal digits.
		std::string name;
		std::int64_t start_unix_nanos{};
		std::int64_t end_unix_nanos{};
		std::string outcome;
	};

	/// \brief Parses a `traceparent`; starts a new trace if it is empty or malformed.
	[[nodiscard]] trace_context parse_traceparent(std::string_view header);

	/// \brief The `traceparent` for the next hop.
	[[nodiscard]] std::string to_traceparent(const trace_context& context, std::string_view span_id);

	/// \brief Starts a span now.
	[[nodiscard]] span start_span(const trace_context& context, std::string name);

	/// \brief Ends a span now.
	void end_span(span& ended, std::string_view outcome);
}
