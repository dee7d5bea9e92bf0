// SPDX-License-Identifier: MIT
#include "run_ages.hpp"

#include <algorithm>

namespace trailjunction
{
	namespace
	{
		millis between(instant from, instant to)
		{
			return std::max(millis{0}, std::chrono::duration_cast<millis>(to - from));
		}
	}

	void record_order(run_ages& ages, const task_run& run, instant now)
	{
		auto& age = ages[run];
		if (!age.ordered && !age.confirmed)
			age.ordered = now;
	}

	void record_confirmed(run_ages& ages, const task_run& run, instant now)
	{
		auto& age = ages[run];
		if (!age.confirmed)
			age.confirmed = now;
	}

	absl::flat_hash_map<task_run, crash_age> ages_at(const run_ages& ages, instant at)
	{
		absl::flat_hash_map<task_run, crash_age> out;
		for (const auto& [run, age] : ages)
		{
			auto& bounds = out[run];
			if (age.confirmed)
				bounds.lower_bound = between(*age.confirmed, at);
			if (age.ordered)
				bounds.upper_bound = between(*age.ordered, at);
		}
		return out;
	}
}
