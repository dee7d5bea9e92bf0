// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief How many requests an entry holds at a time.
#pragma once

#include <trailjunction/core/units.hpp>

#include <cstdint>

namespace trailjunction
{
	/// \brief An adaptive limit of requests in flight for one service at one entry.
	/// \details Grows by one a round of successes; shrinks when workers refuse for want of room, at most once an
	/// interval, so that one burst of refusals counts once.
	struct concurrency_limit
	{
		double limit{64};
		double least{8};
		double most{4096};
		double shrink{0.9};
		millis interval{100};
		std::int64_t in_flight{};
		instant last_shrink{};
	};

	/// \brief Takes a place.
	/// \returns Whether there was one; otherwise the request is refused as not run.
	[[nodiscard]] bool enter(concurrency_limit& limit) noexcept;

	/// \brief Gives a place back. \param crowded Whether workers refused this request for want of room.
	void leave(concurrency_limit& limit, bool crowded, instant now) noexcept;
}
