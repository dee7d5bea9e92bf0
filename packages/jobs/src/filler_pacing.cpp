// SPDX-License-Identifier: MIT
#include <trailjunction/jobs/filler_pacing.hpp>

#include <algorithm>
#include <cmath>
#include <vector>

namespace trailjunction
{
	namespace
	{
		constexpr int full_pace_percent = 100;

		double pressure_on(const paced_filler& filler, const std::string& image)
		{
			const auto found = filler.pressures->find(image);
			return found == filler.pressures->end() ? 0.0 : found->second;
		}

		void slow(paced_filler& filler, double share, const pacing_policy& policy) noexcept
		{
			const auto next = static_cast<int>(filler.percent * (1.0 - share));
			filler.percent = next < policy.min_percent ? 0 : next;
		}

		/// Slows the fillers with the highest pressure on one serving task until its target ratio is expected.
		void slow_fillers_for(std::span<paced_filler> fillers, const monitored_serving_task& serving,
							  const pacing_policy& policy)
		{
			auto needed_reduction = std::log(serving.latency_ratio / policy.target_ratio);
			std::vector<paced_filler*> order;
			double known_pressure = 0.0;
			for (auto& filler : fillers)
			{
				order.push_back(&filler);
				known_pressure += pressure_on(filler, serving.image) * filler.cpus;
			}
			std::sort(order.begin(), order.end(),
					  [&](const paced_filler* left, const paced_filler* right)
					  { return pressure_on(*left, serving.image) > pressure_on(*right, serving.image); });
			const bool is_explained = known_pressure >= needed_reduction;
			for (auto* filler : order)
			{
				const auto contribution = pressure_on(*filler, serving.image) * filler->cpus;
				if (!is_explained)
					slow(*filler, policy.unexplained_slowdown, policy);
				else if (needed_reduction > 0.0 && contribution > 0.0)
					slow(*filler, std::min(1.0, needed_reduction / contribution), policy);
				needed_reduction -= contribution;
			}
		}

		/// The worst values over all serving tasks of a worker.
		struct serving_summary
		{
			double worst_ratio{};
			millis longest_over{};
			millis longest_possibly_over{};
		};

		serving_summary summarize(std::span<const monitored_serving_task> serving) noexcept
		{
			serving_summary out;
			for (const auto& task : serving)
			{
				out.worst_ratio = std::max(out.worst_ratio, task.latency_ratio);
				out.longest_over = std::max(out.longest_over, task.over_target_for);
				out.longest_possibly_over = std::max(out.longest_possibly_over, task.possibly_over_for);
			}
			return out;
		}

		/// Parts of the time over target that users tolerate; see pacing_policy.
		constexpr int slow_after_divisor = 3;
		constexpr double stop_after_share = 0.5;
		constexpr double stop_after_possibly_over_share = 0.65;

		millis part_of(millis whole, double share) noexcept
		{
			return std::chrono::duration_cast<millis>(whole * share);
		}
	}

	void record_latency_ratio(target_overrun& state, double latency_ratio, const pacing_policy& policy,
							  instant now) noexcept
	{
		if (latency_ratio > policy.slow_above)
		{
			state.certain_since = state.certain_since.value_or(now);
			state.possible_since = state.possible_since.value_or(now);
			state.below_since.reset();
			return;
		}
		state.certain_since.reset();
		if (!state.possible_since)
			return;
		state.below_since = state.below_since.value_or(now);
		if (latency_ratio < policy.clearly_below || now - *state.below_since >= policy.clear_after)
			state = {};
	}

	void record_pace(slow_since& since, int percent, const pacing_policy& policy, instant now) noexcept
	{
		if (percent > policy.move_at_percent)
			since.reset();
		else if (!since)
			since = now;
	}

	bool should_move(const slow_since& since, const pacing_policy& policy, instant now) noexcept
	{
		return since && now - *since >= policy.move_after;
	}

	pacing_policy make_pacing_policy(millis harm_limit) noexcept
	{
		pacing_policy out;
		out.slow_after = harm_limit / slow_after_divisor;
		out.stop_after = part_of(harm_limit, stop_after_share);
		out.stop_after_possibly_over = part_of(harm_limit, stop_after_possibly_over_share);
		return out;
	}

	bool must_stop_fillers(std::span<const monitored_serving_task> serving, const pacing_policy& policy) noexcept
	{
		const auto summary = summarize(serving);
		return summary.longest_over >= policy.stop_after ||
			   summary.longest_possibly_over >= policy.stop_after_possibly_over;
	}

	bool adjust_paces(std::span<paced_filler> fillers, std::span<const monitored_serving_task> serving,
					  const pacing_policy& policy)
	{
		std::vector<int> before;
		for (const auto& filler : fillers)
			before.push_back(filler.percent);
		const auto summary = summarize(serving);
		if (must_stop_fillers(serving, policy))
		{
			for (auto& filler : fillers)
				filler.percent = 0;
		}
		else if (summary.worst_ratio > policy.slow_above)
		{
			for (const auto& task : serving)
				if (task.latency_ratio > policy.slow_above && task.over_target_for >= policy.slow_after)
					slow_fillers_for(fillers, task, policy);
		}
		else if (summary.worst_ratio < policy.recover_below)
			for (auto& filler : fillers)
				filler.percent = std::min(full_pace_percent, filler.percent + policy.recover_step_percent);
		return !std::equal(before.begin(), before.end(), fillers.begin(),
						   [](int percent, const paced_filler& filler) { return percent == filler.percent; });
	}
}
