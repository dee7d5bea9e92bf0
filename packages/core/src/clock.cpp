// SPDX-License-Identifier: MIT
#include <trailjunction/core/clock.hpp>

#include <atomic>
#include <ctime>

namespace trailjunction
{
	namespace
	{
		using std::chrono::nanoseconds;

		std::atomic<nanoseconds::rep> simulated_suspension{0};

		nanoseconds read(clockid_t clock) noexcept
		{
			timespec time{};
			(void)clock_gettime(clock, &time); // fails only for unknown clocks
			return std::chrono::seconds{time.tv_sec} + nanoseconds{time.tv_nsec};
		}
	}

	boottime_clock::time_point boottime_clock::now() noexcept
	{
		return time_point{read(CLOCK_BOOTTIME) + nanoseconds{simulated_suspension.load(std::memory_order_relaxed)}};
	}

	std::chrono::nanoseconds total_suspended_time() noexcept
	{
		return boottime_clock::now().time_since_epoch() - std::chrono::steady_clock::now().time_since_epoch();
	}

	std::chrono::steady_clock::time_point to_steady_time(boottime_clock::time_point due) noexcept
	{
		return std::chrono::steady_clock::now() + (due - boottime_clock::now());
	}

	void simulate_suspension(std::chrono::nanoseconds length) noexcept
	{
		simulated_suspension.fetch_add(length.count(), std::memory_order_relaxed);
	}
}
