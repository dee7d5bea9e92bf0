// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Leases and timeouts of the ownership protocol between entries, agents and the platform.
#pragma once

#include <trailjunction/core/field_reader.hpp>
#include <trailjunction/core/units.hpp>

namespace trailjunction
{
	/// \brief Times from the settings; entries and agents must all have the same values.
	/// \details docs/design/tasks.md explains why the waits are long enough; model/ownership.pml proves it.
	struct protocol_times
	{
		millis member_lease{2'000};   ///< M: an entry that has not renewed its row for this long owns nothing.
		millis run_lease{2'500};      ///< L: an agent pauses a run that was not confirmed for this long.
		millis platform_lease{2'000}; ///< P: the platform stops a run that the agent has not renewed for this long.
		millis margin{400};           ///< Allowance for clock drift and for timers that fire late.
		millis heartbeat{500};        ///< Interval between two heartbeats of an agent.
		millis lost_after{2'000};     ///< A worker that sent no heartbeat for this long counts as unreachable.

		millis paused_hold{600'000}; ///< How long a run whose pause is confirmed stays on the worker.

		/// \brief The wait between a durable fence and the start of the task's next run: L + P + margin.
		[[nodiscard]] constexpr millis fence_wait() const noexcept
		{
			return run_lease + platform_lease + margin;
		}
	};

	/// \brief Reads the object "times" of a process's settings.
	void read_times(field_reader& reader, protocol_times& out);
}
