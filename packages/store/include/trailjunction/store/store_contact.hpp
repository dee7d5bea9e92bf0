// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Whether a process has lost the store for longer than a moment.
#pragma once

#include <trailjunction/core/units.hpp>

#include <optional>

namespace trailjunction
{
	/// \brief What the calls to the store have come to lately.
	struct store_contact
	{
		std::optional<instant> failing_since; ///< Nothing: the latest call was answered.
	};

	/// \brief Takes in how one call ended.
	constexpr void note_store_call(store_contact& known, bool answered, instant now) noexcept
	{
		if (answered)
			known.failing_since.reset();
		else if (!known.failing_since)
			known.failing_since = now;
	}

	/// \brief Whether every call has failed for \p most or longer.
	[[nodiscard]] constexpr bool is_cut_off(const store_contact& known, millis most, instant now) noexcept
	{
		return known.failing_since && now - *known.failing_since >= most;
	}
}
