// SPDX-License-Identifier: MIT
#include <trailjunction/jobs/ownership.hpp>

namespace trailjunction
{
	void note_look(ownership_sighting& seen, std::int64_t version, row_writer writer, instant answered) noexcept
	{
		if (seen.version != version || !seen.since)
			seen.since = answered;
		seen.version = version;
		seen.released = writer.released;
		seen.by_predecessor = writer.by_predecessor;
	}

	void note_failed_look(ownership_sighting& seen) noexcept
	{
		seen.since.reset();
	}

	bool may_take_over(const ownership_sighting& seen, const ownership_times& times, instant now) noexcept
	{
		if (!seen.since)
			return false;
		if (seen.version == 0 || seen.released || seen.by_predecessor)
			return true;
		return now - *seen.since >= times.lease + times.margin;
	}

	bool holds_lease(instant renewal_sent, const ownership_times& times, instant now) noexcept
	{
		return now - renewal_sent < times.lease;
	}
}
