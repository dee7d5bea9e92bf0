// SPDX-License-Identifier: MIT
#include "owner_meter.hpp"

#include <numeric>
#include <utility>

namespace trailjunction
{
	std::string_view to_string(owner_duty duty) noexcept
	{
		switch (duty)
		{
		case owner_duty::reports:
			return "reports";
		case owner_duty::placing:
			return "placing";
		case owner_duty::saving:
			return "saving";
		case owner_duty::acting:
			return "acting";
		case owner_duty::reading:
			return "reading";
		case owner_duty::idle_search:
			return "idle_search";
		}
		return "unnamed";
	}

	double busy_share(const owner_load& load) noexcept
	{
		if (load.interval.count() <= 0)
			return 0.0;
		const auto busy = std::accumulate(load.busy.begin(), load.busy.end(), std::chrono::nanoseconds{0});
		return static_cast<double>(busy.count()) / static_cast<double>(load.interval.count());
	}

	owner_meter::owner_meter(process_metrics& metrics, instant now)
		: lag_seconds_{metrics.gauge("owner_lag_seconds", "How late the owner's loop was at the most, in 2 s.")},
		  interval_began_{now}
	{
		for (std::size_t i = 0; i < owner_duty_count; ++i)
			busy_seconds_[i] = &metrics.counter("owner_busy_seconds", "Time that an owner's thread spent, by duty.",
												"duty", std::string{to_string(static_cast<owner_duty>(i))});
	}

	owner_load owner_meter::finish_interval(instant now)
	{
		load.interval = now - interval_began_;
		interval_began_ = now;
		for (std::size_t i = 0; i < owner_duty_count; ++i)
			busy_seconds_[i]->Increment(std::chrono::duration<double>{load.busy[i]}.count());
		lag_seconds_.Set(std::chrono::duration<double>{load.longest_lag}.count());
		return std::exchange(load, {});
	}
}
