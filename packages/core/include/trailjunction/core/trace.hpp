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
	/// \brief The trace that a request belongs to, as carried by `traceparent`.
	struct trace_context
	{
		std::string trace;  ///< 32 hexadecimal digits.
		std::string parent; ///< 16 hexadecimal digits: the span of the hop before.
		bool sampled{true};
	};

	/// \brief One hop's part of a trace.
	struct span
	{
		trace_context context;
		std::string id; ///< 16 hexadecimal digits.
		std::string name;
		std::int64_t start_unix_nanos{};
		std::int64_t end_unix_nanos{};
		std::string outcome;
	};

	/// \brief Reads a `traceparent`; starts a new trace where it is absent or malformed.
	[[nodiscard]] trace_context parse_traceparent(std::string_view header);

	/// \brief The `traceparent` that the next hop is given.
	[[nodiscard]] std::string to_traceparent(const trace_context& context, std::string_view span_id);

	/// \brief A span that starts now.
	[[nodiscard]] span start_span(const trace_context& context, std::string name);

	/// \brief Ends a span now.
	void end_span(span& what, std::string_view outcome);
}
