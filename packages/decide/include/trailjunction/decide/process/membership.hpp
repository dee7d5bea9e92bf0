// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Who is alive, as far as one entry can tell.
#pragma once

#include "protocol_times.hpp"

#include <trailjunction/core/ids.hpp>

#include <absl/container/flat_hash_map.h>

#include <string>
#include <vector>

namespace trailjunction
{
	/// \brief A member's row as this entry saw it last.
	struct member_sighting
	{
		std::string token;    ///< Changes with every renewal.
		std::string address;  ///< Where it serves operators.
		instant seen_first{}; ///< When this token was first seen, by this entry's clock.
		bool leaving{};
	};

	/// \brief All members that this entry has seen.
	using member_table = absl::flat_hash_map<member_id, member_sighting>;

	/// \brief Notes a row that was read at \p now.
	void note_member(member_table& members, const member_id& member, const member_sighting& row, instant now);

	/// \brief Whether a rival may take over: the row did not change for M plus the margin.
	/// \details No clocks are compared: the member itself counts M from before it sent the renewing write, this entry
	/// from after it read the result.
	[[nodiscard]] bool has_lapsed(const member_sighting& member, const protocol_times& times, instant now) noexcept;

	/// \brief Whether this entry's own lease allows it to act as an owner.
	/// \param renewed_before When the last write that succeeded was about to be sent.
	[[nodiscard]] bool may_own(instant renewed_before, const protocol_times& times, instant now) noexcept;

	/// \brief The members that may own shards, in the order that all members agree on.
	[[nodiscard]] std::vector<member_id> live_members(const member_table& members, const protocol_times& times,
													  instant now);

	/// \brief Who should own a shard: rendezvous hashing, so that a change of members moves few shards.
	[[nodiscard]] member_id preferred_owner(shard_id shard, const std::vector<member_id>& live);
}
