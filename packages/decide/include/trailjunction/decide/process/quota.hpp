// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Sharing an account's quota among entries without a coordinator.
#pragma once

#include <trailjunction/core/ids.hpp>
#include <trailjunction/core/random.hpp>
#include <trailjunction/core/units.hpp>

#include <absl/container/flat_hash_map.h>

namespace trailjunction
{
	/// \brief One entry's part of one account's quota.
	/// \details A ceiling is published in the entry's member row before it is used, and used only after all other rows
	/// were read later than that write and the sum of all published ceilings was within the quota. Whoever verifies
	/// last has seen everybody's ceiling, so what all entries may use together never exceeds the quota.
	struct quota_share
	{
		resources published; ///< In the member row, never below usable.
		resources usable;    ///< New runs may start while the account's use at this entry is within it.
	};

	/// \brief What an entry needs of an account's quota.
	struct quota_need
	{
		resources used;     ///< By runs of its shards.
		resources wanted;   ///< Used, and what waits.
		resources smallest; ///< The smallest claim that waits; zero where none does.
	};

	/// \brief The ceiling to publish next.
	/// \param others The sum of the other entries' published ceilings, as read last. \param members Live entries.
	/// \returns The part that is wanted and free, but at least a fair part; what is used where that is of no use, half
	/// of the time, so that another entry may have it all.
	[[nodiscard]] resources next_ceiling(const quota_need& need, const resources& quota, const resources& others,
										 std::size_t members, random_engine& random);

	/// \brief Publishes a ceiling: a lower one is not used any more from now on, a higher one not yet.
	void publish_ceiling(quota_share& share, const resources& ceiling) noexcept;

	/// \brief Makes the published ceiling usable if all ceilings are within the quota.
	/// \param others The sum of the other entries' published ceilings, read after the own one was written.
	void verify_ceiling(quota_share& share, const resources& quota, const resources& others) noexcept;
}
