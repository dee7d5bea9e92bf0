// SPDX-License-Identifier: MIT
#include <trailjunction/jobs/ownership.hpp>

#include <algorithm>

namespace trailjunction
{
	namespace
	{
		constexpr double delay_ms_of_one_processor = 60.0;
		/// Shorter than the interval between two reads, so that a fleet of small instances loses less than one
		/// interval.
		constexpr auto max_takeover_delay = millis{500};
	}

	millis takeover_delay_for(double processors) noexcept
	{
		const auto max_delay_ms = static_cast<double>(max_takeover_delay.count());
		if (processors * max_delay_ms <= delay_ms_of_one_processor)
			return max_takeover_delay;
		return millis{static_cast<std::int64_t>(delay_ms_of_one_processor / processors)};
	}

	void record_observation(ownership_observation& observation, std::int64_t version, row_writer writer,
							instant answered) noexcept
	{
		if (observation.version != version || !observation.unchanged_since)
			observation.unchanged_since = answered;
		observation.version = version;
		observation.released = writer.released;
		observation.by_predecessor = writer.by_predecessor;
		observation.lease = writer.lease;
	}

	millis lease_for(std::optional<millis> usual_commit, const ownership_times& times) noexcept
	{
		// Leaves nine times the usual time to a renewal that is sent after a quarter of the lease.
		constexpr int commits_per_lease = 12;
		if (!usual_commit)
			return times.lease;
		return std::clamp(commits_per_lease * *usual_commit, std::min(times.min_lease, times.lease), times.lease);
	}

	millis observation_interval(const ownership_observation& observation, const ownership_times& times,
								double draw) noexcept
	{
		const auto longest = observation.unchanged_since ? times.observe_every : times.observe_again_after;
		return std::chrono::duration_cast<millis>((0.5 + 0.5 * draw) * longest);
	}

	void record_failed_read(ownership_observation& observation) noexcept
	{
		observation.unchanged_since.reset();
	}

	std::optional<instant> takeover_due(const ownership_observation& observation, const ownership_times& times) noexcept
	{
		if (!observation.unchanged_since)
			return std::nullopt;
		if (observation.by_predecessor && !observation.released)
			return *observation.unchanged_since;
		if (observation.version == 0 || observation.released)
			return *observation.unchanged_since + times.takeover_delay;
		return *observation.unchanged_since + observation.lease.value_or(times.lease) + times.margin +
			   times.takeover_delay;
	}

	bool may_take_over(const ownership_observation& observation, const ownership_times& times, instant now) noexcept
	{
		const auto due = takeover_due(observation, times);
		return due && now >= *due;
	}

	bool holds_lease(instant renewal_sent, millis lease, instant now) noexcept
	{
		return now - renewal_sent < lease;
	}

	void note_lag(owner_lag& state, std::chrono::nanoseconds lag, const handover_policy& policy, instant now) noexcept
	{
		note_behind(state, lag > policy.max_lag, now);
	}

	void note_behind(owner_lag& state, bool behind, instant now) noexcept
	{
		if (behind)
			state.behind_since = state.behind_since.value_or(now);
		else
			state.behind_since.reset();
	}

	bool should_hand_over(const owner_lag& state, std::optional<millis> since_last, const handover_policy& policy,
						  instant now) noexcept
	{
		if (since_last && *since_last < policy.min_interval)
			return false;
		return state.behind_since && now - *state.behind_since >= policy.hand_over_after;
	}
}
