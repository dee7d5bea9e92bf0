// SPDX-License-Identifier: MIT
#include "listing_memory.hpp"

#include "unlisted_runs.hpp"

#include <algorithm>

namespace trailjunction
{
	bool shows_restart(const listing_memory& memory, std::int64_t least_clock_ms, const listing_result& result) noexcept
	{
		if (result.clock_ms > 0 && result.clock_ms < least_clock_ms)
			return true;
		if (result.outcome != order_outcome::done || memory.may_omit_ends)
			return false;
		return std::any_of(result.listing.ended.begin(), result.listing.ended.end(),
						   [&](const listed_end& end)
						   {
							   const auto before = memory.ends.find(end.number);
							   return before == memory.ends.end() ? end.number <= memory.highest_end
																  : before->second != end.run_id;
						   });
	}

	void record_listing(listing_memory& memory, const worker_listing& listing)
	{
		memory.ends.clear();
		for (const auto& end : listing.ended)
		{
			memory.ends.emplace(end.number, end.run_id);
			memory.highest_end = std::max(memory.highest_end, end.number);
		}
		memory.may_omit_ends = listing.ended.size() >= max_listed_ends;
	}
}
