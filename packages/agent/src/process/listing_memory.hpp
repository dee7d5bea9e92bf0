// SPDX-License-Identifier: MIT
/// \file
/// \brief Recognises a restarted worker by its counts, for incarnations that no name tells apart.
#pragma once

#include <trailjunction/agent/worker_port.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstdint>

namespace trailjunction
{
	/// \brief What an agent remembers of the listings of the current incarnation.
	struct listing_memory
	{
		std::int64_t highest_end{};                       ///< Highest number of an end in any listing.
		absl::flat_hash_map<std::int64_t, task_run> ends; ///< Ends in the latest listing, by number.
		bool may_omit_ends{}; ///< The latest listing had as many ends as a listing has at most.
	};

	/// \brief Whether a listing contradicts what was read before, so that another incarnation has made it.
	/// \details A worker may restart under its id while its instance's clock is set back, and state the start time of
	/// its former incarnation. Within one incarnation the clock never goes back, and an end whose number is not above
	/// all before was in the listing before.
	/// \param least_clock_ms The least time that the current incarnation's clock may show in this answer; 0 if it is
	/// not known.
	[[nodiscard]] bool shows_restart(const listing_memory& memory, std::int64_t least_clock_ms,
									 const listing_result& result) noexcept;

	/// \brief Records a listing of the current incarnation.
	void record_listing(listing_memory& memory, const worker_listing& listing);
}
