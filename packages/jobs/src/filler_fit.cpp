// SPDX-License-Identifier: MIT
#include "filler_fit.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>

namespace trailjunction
{
	namespace
	{
		constexpr double cpu_milli = 1'000.0;

		/// Share of its full speed at which a filler is expected to run.
		double filler_speed(const worker_room& worker, const task_group& group, const placement_policy& policy) noexcept
		{
			const auto claim = std::max(1.0, static_cast<double>(group.claim.cpu_milli));
			return std::clamp(spare_cpu_milli(worker, policy) / claim, 0.0, 1.0) * worker.pace;
		}

		/// Cumulative normal distribution, interpolated in a table with an error below 0.0001.
		/// \details A round evaluates it at each forecast offset for each serving task of each worker; with std::erfc a
		/// round of 240 workers took half as long again (tools/bench rounds).
		class normal_cdf_table
		{
		public:
			normal_cdf_table() noexcept
			{
				for (std::size_t i = 0; i < values_.size(); ++i)
				{
					const double deviations = static_cast<double>(i) / steps_per_deviation - max_deviations;
					values_[i] = std::erfc(-deviations / std::numbers::sqrt2) / 2;
				}
			}

			[[nodiscard]] double up_to(double deviations) const noexcept
			{
				const double position =
					(std::clamp(deviations, -max_deviations, max_deviations) + max_deviations) * steps_per_deviation;
				const auto below = std::min(static_cast<std::size_t>(position), values_.size() - 2);
				const double fraction = position - static_cast<double>(below);
				return values_[below] + fraction * (values_[below + 1] - values_[below]);
			}

		private:
			/// Range of the table; the distribution is 0 or 1 beyond it.
			static constexpr double max_deviations = 4.0;
			static constexpr double steps_per_deviation = 32.0; ///< Table entries per standard deviation.
			std::array<double, static_cast<std::size_t>(2 * max_deviations * steps_per_deviation) + 1> values_{};
		};

		const normal_cdf_table normal_cdf;

		/// Share of time for which a serving task is expected to be over its target.
		double share_over_target(double log_ratio, const placement_policy& policy) noexcept
		{
			return normal_cdf.up_to(log_ratio / policy.log_ratio_deviation);
		}

		/// Number of forecast offsets that a run of this length reaches; at least one.
		std::size_t offsets_within(millis run_time) noexcept
		{
			const auto last = forecast_offsets.front() + run_time;
			const auto end = std::upper_bound(forecast_offsets.begin() + 1, forecast_offsets.end(), last);
			return static_cast<std::size_t>(end - forecast_offsets.begin());
		}

		/// Expected number of serving tasks over their targets because of this filler and those already placed, each
		/// weighted by its share of time over the target.
		/// \details The harm of fillers already placed counts because a task that is over its target cannot exceed it a
		/// second time. If only the additional harm of the next filler counted, fillers would concentrate on the worker
		/// that has most of them, up to six times the latency target of its serving tasks, until its agent stops them
		/// all. A fifth of the serving tasks of a fully loaded fleet were then over their targets, nearly all of them
		/// predictably. 48 simulated days earned 0.610 of their value with all harm counted and 0.589 with that of the
		/// next filler alone.
		///
		/// Each forecast offset counts separately because the load changes by half of its level within a run: judged by
		/// a low load alone, a worker would attract fillers that are still running at the peak.
		double expected_harm(const worker_room& worker, const placement_request& request, filler_pressure_cache& cache,
							 const placement_policy& policy)
		{
			const auto offset_count = offsets_within(request.run_time);
			double out = 0.0;
			for (const auto& serving : worker.serving)
			{
				const auto added = cache.pressure_on(serving.image);
				const auto pressure_of_placed = serving.log_ratio - serving.log_ratio_alone;
				const auto counted_before = added < policy.negligible_pressure ? pressure_of_placed : 0.0;
				for (std::size_t i = 0; i < offset_count; ++i)
				{
					const auto alone = serving.load_forecast[i];
					out += share_over_target(alone + pressure_of_placed + added, policy) -
						   share_over_target(alone + counted_before, policy);
				}
			}
			return out / static_cast<double>(offset_count);
		}
	}

	double filler_pressure_cache::pressure_on(const std::string& serving)
	{
		for (const auto& cached : cache_)
			if (cached.image == serving)
				return cached.added;
		const auto found = pressure_of(context_.pressures, serving, filler_.image, context_.policy.pressure) *
						   static_cast<double>(filler_.claim.cpu_milli) / cpu_milli;
		cache_.push_back({serving, found});
		return found;
	}

	double spare_cpu_milli(const worker_room& worker, const placement_policy& policy) noexcept
	{
		const auto serving = static_cast<double>(worker.serving_cpu_milli);
		const auto batch = static_cast<double>(worker.claimed.cpu_milli) - serving;
		return static_cast<double>(worker.capacity.cpu_milli) - batch - serving * policy.serving_use_share -
			   static_cast<double>(worker.filler_cpu_milli);
	}

	double allowed_harm(const placement_request& request, const placement_policy& policy) noexcept
	{
		if (request.outlook != job_outlook::in_time)
			return policy.late_harm_share * policy.max_harm;
		const auto time_pressure =
			std::clamp((request.urgency - policy.low_urgency) / (policy.high_urgency - policy.low_urgency), 0.0, 1.0);
		return (policy.low_urgency_harm_share + (1.0 - policy.low_urgency_harm_share) * time_pressure) *
			   policy.max_harm;
	}

	std::optional<filler_fit> fit_filler(const worker_room& worker, const placement_request& request,
										 const placement_policy& policy, filler_pressure_cache& cache)
	{
		filler_fit out;
		out.speed = filler_speed(worker, *request.group, policy);
		// The speed is checked first because it is cheaper to compute than the harm.
		if (!request.starving && out.speed < policy.min_speed)
			return std::nullopt;
		out.harm = expected_harm(worker, request, cache, policy);
		if (!request.starving && out.harm > allowed_harm(request, policy))
			return std::nullopt;
		return out;
	}
}
