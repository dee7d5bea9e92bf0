// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Adaptive (AIMD) limit of the requests that an entry has in flight.
#pragma once

#include <trailjunction/core/units.hpp>

#include <cstdint>

namespace trailjunction
{
	/// \brief The limit of requests in flight for one service at one entry.
	/// \details Increases by one for each `limit` successes and decreases by a factor when workers refuse requests for
	/// lack of capacity, at most once per interval, so that one burst of refusals counts once.
	struct concurrency_limit
	{
		double limit{64};
		double min_limit{8};
		double max_limit{4096};
		double decrease_factor{0.9};
		millis decrease_interval{100};
		std::int64_t in_flight{};
		instant decreased_at{};
	};

	/// \brief Acquires a place under the limit for one request.
	/// \returns False if the limit is reached; the request is then refused as not run.
	[[nodiscard]] bool try_acquire(concurrency_limit& limit) noexcept;

	/// \brief Releases a place and adapts the limit.
	/// \param refused Whether workers refused this request for lack of capacity.
	void release(concurrency_limit& limit, bool refused, instant now) noexcept;
}
