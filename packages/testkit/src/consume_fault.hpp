// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Faults that apply to a number of calls.
#pragma once

namespace trailjunction::testkit
{
	/// \brief Decrements the number of calls to which a fault still applies.
	/// \returns Whether it applies to this call.
	[[nodiscard]] inline bool consume_fault(int& left) noexcept
	{
		if (left == 0)
			return false;
		--left;
		return true;
	}
}
