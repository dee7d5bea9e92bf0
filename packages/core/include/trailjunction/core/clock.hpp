// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief The clock by which everything expires that others rely on.
/// \details While an instance is suspended the steady clock stands still and the others' time goes on. A lease, a fence
/// or the age of news that was counted by the steady clock would then be taken for younger than it is, by the whole
/// suspension. So every instant is of a clock that goes on, and a type of its own keeps the two from being mixed.
#pragma once

#include <chrono>

namespace trailjunction
{
	/// \brief Time since the instance was started, with the time for which it was suspended. Never goes back.
	struct lasting_clock
	{
		using duration = std::chrono::nanoseconds;
		using rep = duration::rep;
		using period = duration::period;
		using time_point = std::chrono::time_point<lasting_clock>;
		static constexpr bool is_steady = true;

		[[nodiscard]] static time_point now() noexcept;
	};

	/// \brief How long this instance has been suspended since its start, as seen by this process.
	[[nodiscard]] std::chrono::nanoseconds suspended_so_far() noexcept;

	/// \brief The time at which a timer has to be set to fire at an instant. Timers count by the steady clock, so after
	/// a suspension they fire late by it: what acts on one reads the clock anew.
	[[nodiscard]] std::chrono::steady_clock::time_point timer_time(lasting_clock::time_point due) noexcept;

	/// \brief Lets this process see a suspension that did not take place: for tests.
	void pretend_suspension(std::chrono::nanoseconds time) noexcept;
}
