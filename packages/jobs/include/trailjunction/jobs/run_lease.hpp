// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief How long the runs of a worker may go on without a word from their owner.
/// \details An agent extends its worker's lease only on a confirmation of the owner, counted from the stamp that the
/// agent itself put on the report that is confirmed. The owner counts from when it sent the confirmation, which is
/// later. So by the owner's count nothing runs any more once it calls the lease over.
#pragma once

#include <trailjunction/core/units.hpp>

namespace trailjunction
{
	/// \brief Times of run leases.
	struct run_lease_times
	{
		millis lease{5'000};        ///< From the agent's stamp; the platform cuts longer ones down.
		double slowest_clock{0.02}; ///< The share by which a worker's clock may run slow: from the platform's pages.
		millis margin{150};         ///< For rounding and for the worker's own timers.
	};

	/// \brief When nothing of a worker can run any more, if nothing is confirmed after \p last_confirmed.
	[[nodiscard]] instant lease_over(instant last_confirmed, const run_lease_times& times) noexcept;

	/// \brief Whether a worker still has a lease under which a run may start, if it was last confirmed at
	/// \p last_confirmed. Without one its agent refuses every start.
	[[nodiscard]] bool may_start(instant last_confirmed, const run_lease_times& times, instant now) noexcept;

	/// \brief The time up to which a worker may run, on the worker's own clock.
	/// \param worker_clock_ms What the worker's clock showed in an answer that had arrived by \p read_at.
	/// \param stamp When the confirmed report was sent, on the agent's clock.
	[[nodiscard]] std::int64_t worker_deadline_ms(std::int64_t worker_clock_ms, instant read_at, instant stamp,
												  millis lease) noexcept;
}
