// SPDX-License-Identifier: MIT
#include <trailjunction/jobs/run_lease.hpp>

namespace trailjunction
{
	instant lease_end(instant last_confirmed, const run_lease_times& times) noexcept
	{
		const std::chrono::duration<double, std::milli> slowed = times.lease * (1.0 + times.max_clock_slowness);
		return last_confirmed + std::chrono::ceil<millis>(slowed) + times.safety_margin;
	}

	instant longest_lease_end(instant granted_by, millis longest_lease) noexcept
	{
		run_lease_times times;
		times.lease = longest_lease;
		return lease_end(granted_by, times);
	}

	bool may_start(instant last_confirmed, const run_lease_times& times, instant now) noexcept
	{
		return now < last_confirmed + times.lease;
	}

	std::int64_t worker_deadline_ms(std::int64_t worker_clock_ms, instant read_at, instant stamp, millis lease) noexcept
	{
		// The answer was read after the worker read its clock, so the sum is earlier than the true time of the stamp.
		const auto since_reading = std::chrono::floor<millis>(stamp - read_at);
		return worker_clock_ms + since_reading.count() + lease.count();
	}
}
