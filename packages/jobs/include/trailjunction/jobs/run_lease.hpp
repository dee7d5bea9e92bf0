// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Leases under which a worker's runs continue without contact to their owner.
/// \details An agent extends its worker's lease only when the owner confirms a report, counted from the timestamp that
/// the agent put on that report. The owner counts from when it sent the confirmation, which is later. So no run
/// continues after the owner considers the lease expired.
#pragma once

#include <trailjunction/core/units.hpp>

namespace trailjunction
{
	/// \brief Durations of run leases.
	struct run_lease_times
	{
		millis lease{5'000}; ///< Counted from the agent's timestamp; the platform shortens longer leases.
		/// Maximum share by which a worker's clock runs slow; from the platform's documentation.
		double max_clock_slowness{0.02};
		millis safety_margin{150}; ///< For rounding and for delays of the worker's timers.
	};

	/// \brief When no run of a worker can continue if nothing is confirmed after \p last_confirmed.
	[[nodiscard]] instant lease_end(instant last_confirmed, const run_lease_times& times) noexcept;

	/// \brief When no run of a worker can continue that holds the longest lease which the platform grants.
	/// \param granted_by Time by which the lease was granted.
	[[nodiscard]] instant longest_lease_end(instant granted_by, millis longest_lease) noexcept;

	/// \brief Whether a worker that was last confirmed at \p last_confirmed still has a lease under which a run may
	/// start. Without a lease its agent refuses every start.
	[[nodiscard]] bool may_start(instant last_confirmed, const run_lease_times& times, instant now) noexcept;

	/// \brief The time until which a worker may run, on the worker's own clock.
	/// \param worker_clock_ms The worker's clock, from an answer that had arrived by \p read_at.
	/// \param stamp When the confirmed report was sent, on the agent's clock.
	[[nodiscard]] std::int64_t worker_deadline_ms(std::int64_t worker_clock_ms, instant read_at, instant stamp,
												  millis lease) noexcept;
}
