// SPDX-License-Identifier: MIT
#include <trailjunction/core/random.hpp>
#include <trailjunction/decide/process/membership.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace trailjunction
{
	void record_member(member_table& members, const member_id& member, const observed_member& row, instant now)
	{
		auto& stored = members[member];
		const bool renewed = stored.token != row.token;
		const auto since = renewed ? now : stored.first_seen_at;
		stored = row;
		stored.first_seen_at = since;
	}

	bool lease_expired(const observed_member& member, const protocol_times& times, instant now) noexcept
	{
		return now - member.first_seen_at > times.member_lease + times.margin;
	}

	bool may_own(instant renewed_before, const protocol_times& times, instant now) noexcept
	{
		return now < renewed_before + times.member_lease;
	}

	std::vector<member_id> live_members(const member_table& members, const protocol_times& times, instant now)
	{
		std::vector<member_id> live;
		for (const auto& [member, observed] : members)
			if (!observed.leaving && !lease_expired(observed, times, now))
				live.push_back(member);
		std::sort(live.begin(), live.end());
		return live;
	}

	member_id preferred_owner(shard_id shard, const std::vector<member_id>& live)
	{
		const auto weight = [&](const member_id& member)
		{
			return stable_hash(absl::StrCat(shard.value, "/", member.str()));
		};
		const auto best = std::max_element(live.begin(), live.end(),
										   [&](const member_id& left, const member_id& right)
										   { return weight(left) < weight(right); });
		return best == live.end() ? member_id{} : *best;
	}
}
