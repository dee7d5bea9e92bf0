// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief The clock for leases, fences, ages and all other times that other instances rely on.
/// \details std::chrono::steady_clock stops while an instance is suspended, but time on the other instances goes on. A
/// lease, fence or age measured by it would appear too young by the length of the suspension. Every `instant` is
/// therefore of a clock that includes suspensions, with its own type so that the two clocks cannot be mixed.
#pragma once

#include <chrono>

namespace trailjunction
{
	/// \brief Time since the instance booted (CLOCK_BOOTTIME), including the time for which it was suspended;
	/// monotonic.
	struct boottime_clock
	{
		using duration = std::chrono::nanoseconds;
		using rep = duration::rep;
		using period = duration::period;
		using time_point = std::chrono::time_point<boottime_clock>;
		static constexpr bool is_steady = true;

		[[nodiscard]] static time_point now() noexcept;
	};

	/// \brief Total time for which this instance has been suspended since it booted, including simulate_suspension().
	[[nodiscard]] std::chrono::nanoseconds total_suspended_time() noexcept;

	/// \brief Converts an instant to the steady-clock time for a timer.
	/// \details Timers use the steady clock, so a timer that is set before a suspension fires late by its length; a
	/// timer handler must read boottime_clock again.
	[[nodiscard]] std::chrono::steady_clock::time_point to_steady_time(boottime_clock::time_point due) noexcept;

	/// \brief Advances boottime_clock of this process as if the instance had been suspended; for tests.
	void simulate_suspension(std::chrono::nanoseconds length) noexcept;
}
