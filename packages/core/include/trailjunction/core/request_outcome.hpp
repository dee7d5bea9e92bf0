// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief How a request ended.
#pragma once

#include <string_view>

namespace trailjunction
{
	/// \brief The outcome of a request; every request has exactly one.
	enum class request_outcome
	{
		done,    ///< The upstream's complete response was received.
		not_run, ///< The request was provably never sent to an upstream.
		unknown, ///< The request may have run.
	};

	/// \brief The value of the response header `Trailjunction-Outcome`.
	[[nodiscard]] constexpr std::string_view to_string(request_outcome outcome) noexcept
	{
		switch (outcome)
		{
		case request_outcome::done:
			return "done";
		case request_outcome::not_run:
			return "not-run";
		case request_outcome::unknown:
			break;
		}
		return "unknown";
	}
}
