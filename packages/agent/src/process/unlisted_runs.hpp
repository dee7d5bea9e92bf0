// SPDX-License-Identifier: MIT
/// \file
/// \brief Finds runs that a worker had and no longer lists, although it lists no end of them.
#pragma once

#include <trailjunction/agent/worker_port.hpp>

#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <vector>

namespace trailjunction
{
	/// \brief Maximum number of ends in one listing, by the platform's protocol; the worker lists later ends once
	/// earlier ones are acknowledged.
	inline constexpr std::size_t max_listed_ends = 500;

	/// \brief Runs that have disappeared from the listings, and whose ends may still be listed.
	struct disappeared_runs
	{
		absl::flat_hash_set<task_run> ids;
	};

	/// \brief Compares a listing with the runs that the worker had before.
	/// \param had Runs that an earlier listing contained, or that were confirmed before this listing was made.
	/// \returns The runs that the worker neither has nor has ended: they were lost without an end.
	[[nodiscard]] std::vector<task_run>
	find_unlisted_runs(disappeared_runs& disappeared, const std::vector<task_run>& had, const worker_listing& listing);
}
