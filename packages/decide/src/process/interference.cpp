// SPDX-License-Identifier: MIT
#include <trailjunction/decide/process/interference.hpp>

#include <algorithm>
#include <cmath>

namespace trailjunction
{
	namespace
	{
		/// The share of a new sample relative to \p weight older ones and \p prior samples of the prior.
		double step_size(double weight, double prior)
		{
			return 1 / (weight + prior + 1);
		}

		double next_weight(double weight, double limit)
		{
			return std::min(weight + 1, limit);
		}

		harm_estimate& estimate_of(interference_model& learned, const service_id& service, const kind_id& kind)
		{
			const auto [position, inserted] = learned.pairs.try_emplace(harm_pair{service, kind});
			if (inserted)
				position->second.slowdown = learned.prior_slowdown;
			return position->second;
		}
	}

	double expected_slowdown(const interference_model& learned, const service_id& service, const kind_id& kind)
	{
		const auto found = learned.pairs.find(harm_pair{service, kind});
		return found == learned.pairs.end() ? learned.prior_slowdown : found->second.slowdown;
	}

	void learn(interference_model& learned, const latency_sample& sample)
	{
		if (!(sample.p99_us > 0))
			return;
		const double observed = std::log(sample.p99_us);
		auto& baseline = learned.baselines[sample.service];
		if (baseline.weight == 0)
			baseline.log_latency = observed;
		double explained = baseline.log_latency;
		for (const auto& kind : sample.colocated_kinds)
			explained += expected_slowdown(learned, sample.service, kind);
		const double residual = std::clamp(observed - explained, -learned.max_step, learned.max_step);
		if (sample.colocated_kinds.empty())
		{
			baseline.log_latency += residual * step_size(baseline.weight, 0);
			baseline.weight = next_weight(baseline.weight, learned.max_weight);
			return;
		}
		// The baseline takes part of the residual too, less as its weight grows.
		baseline.log_latency +=
			residual * step_size(baseline.weight, static_cast<double>(sample.colocated_kinds.size()));
		baseline.weight = next_weight(baseline.weight, learned.max_weight);
		const double share = residual / static_cast<double>(sample.colocated_kinds.size());
		for (const auto& kind : sample.colocated_kinds)
		{
			auto& pair = estimate_of(learned, sample.service, kind);
			pair.slowdown = std::max(0.0, pair.slowdown + share * step_size(pair.weight, learned.prior_weight) *
															  static_cast<double>(sample.colocated_kinds.size()));
			pair.weight = next_weight(pair.weight, learned.max_weight);
		}
	}
}
