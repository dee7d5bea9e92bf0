// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief The right to write to the store, rationed.
#pragma once

#include <trailjunction/core/units.hpp>

#include <algorithm>

namespace trailjunction
{
	/// \brief Tokens for journal writes: so many a second, a few of them saved up.
	struct write_budget
	{
		double per_second{30};
		double most{6};
		double tokens{6};
		instant filled{};
	};

	/// \brief Takes a token at \p now.
	/// \returns How long to wait before asking again; zero where the token was taken.
	[[nodiscard]] inline millis take_token(write_budget& budget, instant now)
	{
		const double elapsed = std::chrono::duration<double>(now - budget.filled).count();
		budget.tokens = std::min(budget.most, budget.tokens + elapsed * budget.per_second);
		budget.filled = now;
		if (budget.tokens >= 1)
		{
			budget.tokens -= 1;
			return millis{0};
		}
		const double wait_ms = (1 - budget.tokens) / budget.per_second * 1'000;
		return millis{static_cast<std::int64_t>(wait_ms) + 1};
	}
}
