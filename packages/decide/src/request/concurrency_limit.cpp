// SPDX-License-Identifier: MIT
#include <trailjunction/decide/request/concurrency_limit.hpp>

#include <algorithm>

namespace trailjunction
{
	bool try_acquire(concurrency_limit& limit) noexcept
	{
		if (static_cast<double>(limit.in_flight) + 1 > limit.limit)
			return false;
		++limit.in_flight;
		return true;
	}

	void release(concurrency_limit& limit, bool refused, instant now) noexcept
	{
		// The limit grows only while at least half of it is used: idle time shows nothing about a higher limit.
		const bool in_use = static_cast<double>(limit.in_flight) * 2 >= limit.limit;
		--limit.in_flight;
		if (refused && now - limit.decreased_at >= limit.decrease_interval)
		{
			limit.limit = std::max(limit.min_limit, limit.limit * limit.decrease_factor);
			limit.decreased_at = now;
		}
		else if (!refused && in_use)
		{
			limit.limit = std::min(limit.max_limit, limit.limit + 1 / limit.limit);
		}
	}
}
