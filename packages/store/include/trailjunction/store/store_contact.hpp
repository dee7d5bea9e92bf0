// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief How long the store has been unreachable, for decisions after a sustained loss of contact. For logging, see
/// store_monitor.hpp.
#pragma once

#include <trailjunction/core/units.hpp>

#include <optional>

namespace trailjunction
{
	/// \brief Whether recent calls to the store were answered.
	struct store_contact
	{
		std::optional<instant> failing_since; ///< First failure since the last answered call; nullopt: no failure.
	};

	/// \brief Records whether a call was answered.
	constexpr void record_store_call(store_contact& contact, bool answered, instant now) noexcept
	{
		if (answered)
			contact.failing_since.reset();
		else if (!contact.failing_since)
			contact.failing_since = now;
	}

	/// \brief Whether all calls have failed for \p timeout or longer.
	[[nodiscard]] constexpr bool store_contact_lost(const store_contact& contact, millis timeout, instant now) noexcept
	{
		return contact.failing_since && now - *contact.failing_since >= timeout;
	}
}
