// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Divides an account's quota among the entries without a coordinator.
#pragma once

#include <trailjunction/core/ids.hpp>
#include <trailjunction/core/random.hpp>
#include <trailjunction/core/units.hpp>

#include <absl/container/flat_hash_map.h>

namespace trailjunction
{
	/// \brief One entry's share of one account's quota.
	/// \details An entry publishes a ceiling in its member row before it uses it. The ceiling becomes usable only after
	/// the entry has read all other rows later than that write and found the sum of all published ceilings within the
	/// quota. The entry that verifies last has read every ceiling, so the total use of all entries never exceeds the
	/// quota.
	struct quota_share
	{
		resources published; ///< Ceiling in the member row; never below usable.
		resources usable;    ///< Verified ceiling: the account's use at this entry may grow up to it.
	};

	/// \brief An entry's demand for an account's quota.
	struct quota_need
	{
		resources used;           ///< Claimed by the runs of its shards.
		resources demand;         ///< Used plus the claims of waiting tasks.
		resources smallest_claim; ///< The smallest claim of a waiting task; zero if no task waits.
	};

	/// \brief Returns the ceiling to publish next.
	/// \param others The sum of the other entries' published ceilings, as last read.
	/// \param members The number of live entries.
	/// \returns The demand, limited to the larger of the free quota and an equal share. If not even the smallest
	/// waiting claim fits into that, only the current use is returned in a random half of the calls, so that another
	/// entry can get the rest.
	[[nodiscard]] resources next_ceiling(const quota_need& need, const resources& quota, const resources& others,
										 std::size_t members, random_engine& random);

	/// \brief Publishes a ceiling. A lower one takes effect at once, a higher one only after verify_ceiling().
	void publish_ceiling(quota_share& share, const resources& ceiling) noexcept;

	/// \brief Makes the published ceiling usable if the sum of all ceilings is within the quota.
	/// \param others The sum of the other entries' published ceilings, read after this entry's own ceiling was written.
	void verify_ceiling(quota_share& share, const resources& quota, const resources& others) noexcept;
}
