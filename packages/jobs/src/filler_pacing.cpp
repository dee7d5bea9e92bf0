// SPDX-License-Identifier: MIT
#include <trailjunction/jobs/filler_pacing.hpp>

#include <algorithm>
#include <cmath>
#include <vector>

namespace trailjunction
{
	namespace
	{
		constexpr int full_pace = 100;

		double weight_of(const paced_filler& filler) noexcept
		{
			return filler.pressure * filler.cpus;
		}

		void slow(paced_filler& filler, double share, const pacing_policy& policy) noexcept
		{
			const auto next = static_cast<int>(filler.percent * (1.0 - share));
			filler.percent = next < policy.least_percent ? 0 : next;
		}

		/// Takes what is needed from the heaviest, and half from everybody where the model explains too little.
		void slow_heaviest(std::span<paced_filler> fillers, double needed, const pacing_policy& policy)
		{
			std::vector<paced_filler*> order;
			double known = 0.0;
			for (auto& filler : fillers)
			{
				order.push_back(&filler);
				known += weight_of(filler);
			}
			if (known < needed)
			{
				for (auto* filler : order)
					slow(*filler, std::max(0.5, std::min(1.0, needed / 2.0)), policy);
				return;
			}
			std::sort(order.begin(), order.end(), [](const paced_filler* left, const paced_filler* right)
					  { return left->pressure > right->pressure; });
			for (auto* filler : order)
			{
				const auto weight = weight_of(*filler);
				if (needed <= 0.0)
					break;
				if (weight <= 0.0)
					continue;
				slow(*filler, std::min(1.0, needed / weight), policy);
				needed -= weight;
			}
		}
	}

	bool adjust_paces(std::span<paced_filler> fillers, double strain, const pacing_policy& policy)
	{
		std::vector<int> before;
		for (const auto& filler : fillers)
			before.push_back(filler.percent);
		if (strain > policy.slow_above)
			slow_heaviest(fillers, std::log(strain / policy.aim), policy);
		else if (strain < policy.recover_below)
			for (auto& filler : fillers)
				filler.percent = std::min(full_pace, filler.percent + policy.recover_step);
		return !std::equal(before.begin(), before.end(), fillers.begin(),
						   [](int percent, const paced_filler& filler) { return percent == filler.percent; });
	}
}
