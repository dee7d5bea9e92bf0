// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Units: points in time, durations and amounts of resources.
#pragma once

#include "clock.hpp"

#include <chrono>
#include <cstdint>

namespace trailjunction
{
	using instant = boottime_clock::time_point; ///< A time by this instance's own clock.
	using millis = std::chrono::milliseconds;
	using micros = std::chrono::microseconds;

	/// \brief The current time; callers of decision functions pass it to them.
	[[nodiscard]] inline instant boottime_now() noexcept
	{
		return boottime_clock::now();
	}

	/// \brief Amounts of resources that a worker has or a task claims.
	struct resources
	{
		std::int64_t cpu_milli{};    ///< Thousandths of a processor.
		std::int64_t memory_mib{};   ///< Mebibytes of memory.
		std::int64_t accelerators{}; ///< Whole accelerators.

		[[nodiscard]] friend constexpr bool operator==(const resources&, const resources&) = default;

		constexpr resources& operator+=(const resources& other) noexcept
		{
			cpu_milli += other.cpu_milli;
			memory_mib += other.memory_mib;
			accelerators += other.accelerators;
			return *this;
		}
		constexpr resources& operator-=(const resources& other) noexcept
		{
			cpu_milli -= other.cpu_milli;
			memory_mib -= other.memory_mib;
			accelerators -= other.accelerators;
			return *this;
		}
		[[nodiscard]] friend constexpr resources operator+(resources left, const resources& right) noexcept
		{
			return left += right;
		}
		[[nodiscard]] friend constexpr resources operator-(resources left, const resources& right) noexcept
		{
			return left -= right;
		}
		/// \brief Whether these amounts fit into \p space in every dimension.
		[[nodiscard]] constexpr bool fits_in(const resources& space) const noexcept
		{
			return cpu_milli <= space.cpu_milli && memory_mib <= space.memory_mib && accelerators <= space.accelerators;
		}
	};

	/// \brief Milliseconds by this instance's clock since it booted; only comparable within one process.
	[[nodiscard]] inline std::int64_t to_millis(instant now) noexcept
	{
		return std::chrono::duration_cast<millis>(now.time_since_epoch()).count();
	}
	/// \brief The inverse of to_millis().
	[[nodiscard]] inline instant from_millis(std::int64_t value) noexcept
	{
		return instant{millis{value}};
	}
}
