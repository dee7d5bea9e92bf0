// SPDX-License-Identifier: MIT
#include <trailjunction/decide/process/protocol_times.hpp>

namespace trailjunction
{
	namespace
	{
		constexpr allowed_range time_range{10, 600'000};
		constexpr allowed_range hold_range{0, 86'400'000};
	}

	void read_times(field_reader& reader, protocol_times& out)
	{
		reader.read_object(
			"times",
			[&](field_reader& times)
			{
				times.read("member_lease_ms", out.member_lease, time_range);
				times.read("run_lease_ms", out.run_lease, time_range);
				times.read("platform_lease_ms", out.platform_lease, time_range);
				times.read("margin_ms", out.margin, time_range);
				times.read("heartbeat_ms", out.heartbeat, time_range);
				times.read("lost_after_ms", out.lost_after, time_range);
				times.read("paused_hold_ms", out.paused_hold, hold_range);
				if (out.heartbeat * 2 > out.run_lease)
					times.add_error("heartbeat_ms",
									"is more than half of run_lease_ms: one lost heartbeat would pause runs");
				if (out.heartbeat * 2 > out.platform_lease)
					times.add_error("heartbeat_ms",
									"is more than half of platform_lease_ms: one lost call would stop runs");
			});
	}
}
