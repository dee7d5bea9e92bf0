// SPDX-License-Identifier: MIT
#include <trailjunction/decide/request/retry_budget.hpp>

#include <algorithm>

namespace trailjunction
{
	void earn_retry(retry_budget& budget) noexcept
	{
		budget.tokens = std::min(budget.max_tokens, budget.tokens + budget.share);
	}

	bool spend_retry(retry_budget& budget) noexcept
	{
		if (budget.tokens < 1)
			return false;
		budget.tokens -= 1;
		return true;
	}
}
