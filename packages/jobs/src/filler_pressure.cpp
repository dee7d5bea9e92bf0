// SPDX-License-Identifier: MIT
#include <trailjunction/jobs/filler_pressure.hpp>

#include <algorithm>
#include <cmath>

namespace trailjunction
{
	double pressure_of(const pressure_model& model, const std::string& serving, const std::string& filler,
					   const pressure_policy& policy)
	{
		const auto found = model.pairs.find(std::make_pair(serving, filler));
		return found == model.pairs.end() ? policy.prior : found->second;
	}

	double base_of(const pressure_model& model, const task_key& task, const pressure_policy& policy)
	{
		const auto found = model.bases.find(task);
		return found == model.bases.end() ? policy.first_base : found->second;
	}

	void learn_pressure(pressure_model& model, const serving_strain& measured, std::span<const filler_use> fillers,
						const pressure_policy& policy)
	{
		const auto base = base_of(model, measured.task, policy);
		double expected = base;
		double square = 0.0;
		double used = 0.0;
		for (const auto& filler : fillers)
		{
			expected += pressure_of(model, measured.image, filler.image, policy) * filler.cpus;
			square += filler.cpus * filler.cpus;
			used += filler.cpus;
		}
		const auto error = std::log(measured.strain) - expected;
		model.bases[measured.task] = base + policy.base_rate * error;
		if (used < policy.least_cpus)
			return;
		for (const auto& filler : fillers)
		{
			const auto step = policy.rate * error * filler.cpus / square;
			const auto before = pressure_of(model, measured.image, filler.image, policy);
			model.pairs[std::make_pair(measured.image, filler.image)] = std::clamp(before + step, 0.0, policy.most);
		}
	}
}
