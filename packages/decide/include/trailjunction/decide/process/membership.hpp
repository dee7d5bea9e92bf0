// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Liveness of the entries (members), as observed by one entry through the member rows in the store.
#pragma once

#include "protocol_times.hpp"

#include <trailjunction/core/ids.hpp>

#include <absl/container/flat_hash_map.h>

#include <string>
#include <vector>

namespace trailjunction
{
	/// \brief A member's row as this entry last read it.
	struct observed_member
	{
		std::string token;       ///< Changes with every renewal.
		std::string address;     ///< Address at which it serves operators.
		instant first_seen_at{}; ///< When this token was first read, by this entry's clock.
		bool leaving{};
	};

	/// \brief All members that this entry has read rows of.
	using member_table = absl::flat_hash_map<member_id, observed_member>;

	/// \brief Records a row that was read at \p now.
	void record_member(member_table& members, const member_id& member, const observed_member& row, instant now);

	/// \brief Whether the member's lease has expired: its row has not changed for member_lease plus the margin.
	/// \details Another entry may then take over its shards. No clocks are compared: the member counts its lease from
	/// before it sends the renewing write, this entry from after it has read the result.
	[[nodiscard]] bool lease_expired(const observed_member& member, const protocol_times& times, instant now) noexcept;

	/// \brief Whether this entry's own lease allows it to act as an owner.
	/// \param renewed_before Time just before the last successful renewal was sent.
	[[nodiscard]] bool may_own(instant renewed_before, const protocol_times& times, instant now) noexcept;

	/// \brief The members that may own shards, sorted by name so that all members see the same order.
	[[nodiscard]] std::vector<member_id> live_members(const member_table& members, const protocol_times& times,
													  instant now);

	/// \brief The member that should own a shard, by rendezvous hashing, so that a change of members moves few shards.
	/// \returns An empty id where \p live is empty.
	[[nodiscard]] member_id preferred_owner(shard_id shard, const std::vector<member_id>& live);
}
