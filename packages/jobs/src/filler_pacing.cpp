// SPDX-License-Identifier: MIT
#include <trailjunction/jobs/filler_pacing.hpp>

#include <algorithm>

namespace trailjunction
{
	namespace
	{
		constexpr int full_pace = 100;

		double worst_share(std::span<const serving_measure> serving) noexcept
		{
			double worst = 0.0;
			for (const auto& one : serving)
				if (one.target.count() > 0)
					worst = std::max(worst, static_cast<double>(one.tail_ms) / static_cast<double>(one.target.count()));
			return worst;
		}

		int slowed(int percent, const pacing_policy& policy) noexcept
		{
			const auto next = static_cast<int>(percent * policy.slow_factor);
			return next < policy.least_percent ? 0 : next;
		}
	}

	bool adjust_pace(pacing_state& state, std::span<const serving_measure> serving, const pacing_policy& policy,
					 instant now) noexcept
	{
		if (now - state.changed < policy.settle)
			return false;
		const auto share = worst_share(serving);
		auto next = state.percent;
		if (share > policy.slow_above)
			next = slowed(state.percent, policy);
		else if (share < policy.recover_below)
			next = std::min(full_pace, state.percent + policy.recover_step);
		if (next == state.percent)
			return false;
		state.percent = next;
		state.changed = now;
		return true;
	}
}
