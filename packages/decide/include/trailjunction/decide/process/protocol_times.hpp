// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief The times of the ownership and lease protocol.
#pragma once

#include <trailjunction/core/field_reader.hpp>
#include <trailjunction/core/units.hpp>

namespace trailjunction
{
	/// \brief The times that entries and agents agree on; the same on all of them, from settings.
	/// \details Why the waits are enough is in docs/design/tasks.md and proved in model/ownership.pml.
	struct protocol_times
	{
		millis member_lease{2'000};   ///< M: an entry that has not renewed for so long owns nothing.
		millis run_lease{2'500};      ///< L: an agent pauses a run that was not confirmed for so long.
		millis platform_lease{2'000}; ///< P: the platform stops a run that the agent has not renewed for so long.
		millis margin{400};           ///< For clocks that run at different rates, and for timers that fire late.
		millis heartbeat{500};        ///< Between two heartbeats of an agent.
		millis lost_after{2'000};     ///< A worker silent for so long is out of sight.

		millis paused_hold{600'000}; ///< A run whose pause the platform has answered stays on the worker so long.

		/// \brief The wait between a durable fence and the start of the next run: L + P + margin.
		[[nodiscard]] constexpr millis fence_wait() const noexcept
		{
			return run_lease + platform_lease + margin;
		}
	};

	/// \brief Reads the member "times" of a process's settings.
	void read_times(field_reader& reader, protocol_times& out);
}
