// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Token bucket that limits the rate of journal writes to the store.
#pragma once

#include <trailjunction/core/units.hpp>

#include <algorithm>

namespace trailjunction
{
	/// \brief A token bucket for journal writes.
	struct write_budget
	{
		double per_second{30}; ///< Tokens added per second.
		double burst{6};       ///< Maximum number of tokens.
		double tokens{6};
		instant refilled_at{}; ///< When tokens were last added.
	};

	/// \brief Takes a token at \p now.
	/// \returns Zero if a token was taken, otherwise the time after which to try again.
	[[nodiscard]] inline millis take_token(write_budget& budget, instant now)
	{
		const double elapsed = std::chrono::duration<double>(now - budget.refilled_at).count();
		budget.tokens = std::min(budget.burst, budget.tokens + elapsed * budget.per_second);
		budget.refilled_at = now;
		if (budget.tokens >= 1)
		{
			budget.tokens -= 1;
			return millis{0};
		}
		const double wait_ms = (1 - budget.tokens) / budget.per_second * 1'000;
		return millis{static_cast<std::int64_t>(wait_ms) + 1};
	}
}
