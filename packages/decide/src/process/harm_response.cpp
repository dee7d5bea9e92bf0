// SPDX-License-Identifier: MIT
#include <trailjunction/decide/process/harm_response.hpp>

#include <algorithm>

namespace trailjunction
{
	namespace
	{
		constexpr double smoothing = 0.5;
		/// A sample counts as recovered below this fraction of the throttling threshold; the gap keeps throttling and
		/// unthrottling from alternating.
		constexpr double recovery_fraction = 0.7;
		constexpr int throttle_after_samples = 2;
		constexpr int evict_after_samples = 4;
		constexpr int unthrottle_after_samples = 10;
		/// Minimum time between two steps: latency samples arrive late, so a step takes this long to show in them.
		constexpr auto settle_time = millis{1'500};

		/// The candidate with the most predicted slowdown for the least lost work; long-running tasks come last.
		std::optional<std::size_t> worst_candidate(std::span<const harm_candidate> candidates, bool throttled,
												   const service_id& service, const interference_model& learned)
		{
			std::optional<std::size_t> found;
			double best = 0;
			for (std::size_t i = 0; i < candidates.size(); ++i)
			{
				const auto& candidate = candidates[i];
				if (candidate.throttled != throttled)
					continue;
				const double lost_s = std::chrono::duration<double>(candidate.since_checkpoint).count();
				const double harm = expected_slowdown(learned, service, candidate.kind);
				const double value = (harm + 0.01) / (1 + lost_s / 60) * (candidate.long_running ? 0.1 : 1);
				if (!found || value > best)
				{
					found = i;
					best = value;
				}
			}
			return found;
		}
	}

	void record_latency(harm_state& state, double p99_us, double target_us, const placement_weights& weights) noexcept
	{
		const double ratio = p99_us / std::max(target_us, 1.0);
		state.latency_ratio =
			state.latency_ratio == 0 ? ratio : state.latency_ratio + smoothing * (ratio - state.latency_ratio);
		state.samples_over_throttle = state.latency_ratio >= weights.throttle_at ? state.samples_over_throttle + 1 : 0;
		state.samples_over_evict = state.latency_ratio >= weights.evict_at ? state.samples_over_evict + 1 : 0;
		state.samples_recovered =
			state.latency_ratio < recovery_fraction * weights.throttle_at ? state.samples_recovered + 1 : 0;
	}

	harm_step respond_to_harm(harm_state& state, std::span<const harm_candidate> candidates, const service_id& service,
							  const interference_model& learned, const placement_weights&, bool may_evict, instant now)
	{
		if (now - state.last_action_at < settle_time)
			return {};
		harm_step step;
		std::optional<std::size_t> index;
		if (state.samples_over_evict >= evict_after_samples && may_evict)
		{
			step.action = harm_action::evict;
			index = worst_candidate(candidates, true, service, learned);
		}
		if (!index && state.samples_over_throttle >= throttle_after_samples)
		{
			step.action = harm_action::throttle;
			index = worst_candidate(candidates, false, service, learned);
		}
		if (!index && state.samples_recovered >= unthrottle_after_samples)
		{
			step.action = harm_action::unthrottle;
			index = worst_candidate(candidates, true, service, learned);
			state.samples_recovered = 0;
		}
		if (!index)
			return {};
		step.index = *index;
		state.last_action_at = now;
		state.samples_over_evict = 0;
		state.samples_over_throttle = 0;
		return step;
	}
}
