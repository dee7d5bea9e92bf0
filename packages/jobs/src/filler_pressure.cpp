// SPDX-License-Identifier: MIT
#include <trailjunction/jobs/filler_pressure.hpp>

#include <algorithm>
#include <cmath>

namespace trailjunction
{
	double pressure_of(const pressure_model& model, const std::string& image, const pressure_policy& policy) noexcept
	{
		const auto found = model.images.find(image);
		return found == model.images.end() ? policy.prior : found->second;
	}

	double base_of(const pressure_model& model, const worker_life& worker, const pressure_policy& policy) noexcept
	{
		const auto found = model.workers.find(worker);
		return found == model.workers.end() ? policy.first_base : found->second;
	}

	void learn_pressure(pressure_model& model, const worker_life& worker, double strain,
						std::span<const filler_use> fillers, const pressure_policy& policy)
	{
		double expected = base_of(model, worker, policy);
		double square = 0.0;
		for (const auto& filler : fillers)
		{
			expected += pressure_of(model, filler.image, policy) * filler.cpus;
			square += filler.cpus * filler.cpus;
		}
		const auto error = std::log(strain) - expected;
		model.workers[worker] = base_of(model, worker, policy) + policy.base_rate * error;
		if (square < 1.0)
			return; // too little use to tell anything
		for (const auto& filler : fillers)
		{
			const auto step = policy.rate * error * filler.cpus / square;
			model.images[filler.image] = std::clamp(pressure_of(model, filler.image, policy) + step, 0.0, policy.most);
		}
	}
}
