// SPDX-License-Identifier: MIT
#include <trailjunction/decide/request/balance.hpp>

#include <algorithm>
#include <cmath>

namespace trailjunction
{
	namespace
	{
		constexpr double latency_smoothing = 0.1;
		constexpr double failure_smoothing = 0.2;
		constexpr double min_start_share = 0.1;
		constexpr int max_doublings = 4;
		constexpr std::size_t median_sample = 31;
		constexpr int max_random_draws = 12; ///< Random draws before all workers are scanned.

		bool usable(const target_view& target, std::span<const worker_id> excluded)
		{
			return target.connected && !target.leaving &&
				   std::find(excluded.begin(), excluded.end(), target.worker) == excluded.end();
		}

		/// A random usable worker other than \p other: by a few random draws, then from a scan of all workers.
		std::optional<std::size_t> draw_target(std::span<const target_view> targets,
											   std::span<const worker_id> excluded, std::size_t other, instant now,
											   random_engine& random)
		{
			std::uniform_int_distribution<std::size_t> pick{0, targets.size() - 1};
			for (int i = 0; i < max_random_draws; ++i)
			{
				const auto drawn = pick(random);
				if (drawn != other && targets[drawn].ejected_until <= now && usable(targets[drawn], excluded))
					return drawn;
			}
			std::vector<std::size_t> healthy;
			std::vector<std::size_t> ejected; // used only if no other worker is left
			for (std::size_t i = 0; i < targets.size(); ++i)
				if (i != other && usable(targets[i], excluded))
					(targets[i].ejected_until <= now ? healthy : ejected).push_back(i);
			const auto& candidates = healthy.empty() ? ejected : healthy;
			if (candidates.empty())
				return std::nullopt;
			return candidates[std::uniform_int_distribution<std::size_t>{0, candidates.size() - 1}(random)];
		}

		/// Share of requests during the slow start: from min_start_share for a new worker to 1.
		double start_share(const target_view& target, const balance_policy& policy, instant now)
		{
			const auto age = std::chrono::duration<double>(now - target.first_seen_at);
			const auto share = age / std::chrono::duration<double>(policy.slow_start);
			return std::clamp(share, min_start_share, 1.0);
		}

		/// Factor on a latency estimate: 1 just after an attempt, decaying to 0, so that a worker with a bad but old
		/// estimate is tried again. For a worker without attempts, the age counts from when it was first seen.
		double freshness(const target_view& target, const balance_policy& policy, instant now)
		{
			const auto estimated_at = std::max(target.answered_at, target.first_seen_at);
			const auto age = std::chrono::duration<double>(now - estimated_at);
			return std::exp2(-age / std::chrono::duration<double>(policy.estimate_half_life));
		}

		/// The median over a sample of fewer than 2 * median_sample workers, spread evenly over all of them, which is
		/// precise enough for outlier detection. \returns 0 if fewer than 3 of the sampled workers have enough
		/// attempts.
		double median_latency(std::span<const target_view> targets, std::int64_t min_attempts)
		{
			std::vector<double> latencies;
			const auto step = std::max<std::size_t>(1, targets.size() / median_sample);
			for (std::size_t i = 0; i < targets.size(); i += step)
				if (targets[i].attempts >= min_attempts && targets[i].latency_us > 0)
					latencies.push_back(targets[i].latency_us);
			if (latencies.size() < 3)
				return 0;
			const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
			std::nth_element(latencies.begin(), middle, latencies.end());
			return *middle;
		}

		bool is_outlier(std::span<const target_view> targets, const target_view& target, const balance_policy& policy)
		{
			if (target.attempts < policy.min_attempts_to_eject)
				return false;
			if (target.failure_share > policy.eject_failure_share)
				return true;
			const auto median = median_latency(targets, policy.min_attempts_to_eject);
			return median > 0 && target.latency_us > policy.eject_latency_factor * median;
		}

		bool may_eject_one_more(std::span<const target_view> targets, const balance_policy& policy, instant now)
		{
			const auto ejected =
				std::count_if(targets.begin(), targets.end(), [&](const auto& t) { return t.ejected_until > now; });
			const auto max_ejected = std::floor(policy.eject_at_most * static_cast<double>(targets.size()));
			return static_cast<double>(ejected) + 1 <= max_ejected;
		}
	}

	double predict_latency_us(const target_view& target, const data_centre_id& own_data_centre,
							  const balance_policy& policy, instant now) noexcept
	{
		// A worker that holds requests and answers none is expected to take at least as long as it has been silent.
		const auto silence = target.in_flight > 0 ? now - target.silent_since : instant::duration{};
		const double stalled = std::chrono::duration<double, std::micro>(silence).count();
		const double learned = target.latency_us > 0 ? target.latency_us : policy.initial_latency_us;
		const double spread = target.deviation_us * (1 + target.failure_share);
		const double service = std::max(stalled, (learned + spread) * freshness(target, policy, now));
		const auto load = now - target.reported_at <= policy.report_lifetime
							  ? std::max(target.in_flight, target.reported_load)
							  : target.in_flight;
		const double slots = static_cast<double>(std::max<std::int64_t>(target.slots, 1));
		const double waiting = std::max(0.0, static_cast<double>(load) + 1 - slots) / slots;
		const double utilisation = static_cast<double>(load) / slots;
		const double distance = target.data_centre == own_data_centre ? 0 : policy.far_data_centre_us;
		return (service * (1 + waiting + utilisation) * (1 + target.batch_slowdown) + distance) /
			   start_share(target, policy, now);
	}

	void record_attempt_sent(target_view& target, instant now) noexcept
	{
		if (target.in_flight++ == 0)
			target.silent_since = now;
	}

	void record_attempt_ended(target_view& target, bool answered, instant now) noexcept
	{
		--target.in_flight;
		if (answered)
			target.silent_since = now;
	}

	std::optional<std::size_t> choose_target(std::span<const target_view> targets, std::span<const worker_id> excluded,
											 const data_centre_id& own_data_centre, const balance_policy& policy,
											 instant now, random_engine& random)
	{
		if (targets.empty())
			return std::nullopt;
		const auto first = draw_target(targets, excluded, targets.size(), now, random);
		if (!first)
			return std::nullopt;
		const auto second = draw_target(targets, excluded, *first, now, random).value_or(*first);
		const auto first_cost = predict_latency_us(targets[*first], own_data_centre, policy, now);
		const auto second_cost = predict_latency_us(targets[second], own_data_centre, policy, now);
		return first_cost <= second_cost ? *first : second;
	}

	bool learn_from_attempt(std::span<target_view> targets, std::size_t index, const attempt_result& result,
							const balance_policy& policy, instant now)
	{
		auto& target = targets[index];
		if (result.refused)
			return false;
		++target.attempts;
		target.answered_at = now;
		target.failure_share += failure_smoothing * ((result.failed ? 1.0 : 0.0) - target.failure_share);
		if (!result.failed && result.latency_us > 0)
		{
			const bool first = target.latency_us <= 0;
			const double error = first ? 0 : result.latency_us - target.latency_us;
			target.latency_us = first ? result.latency_us : target.latency_us + latency_smoothing * error;
			target.deviation_us += latency_smoothing * (std::abs(error) - target.deviation_us);
		}
		if (target.ejected_until > now)
			return false;
		if (!is_outlier(targets, target, policy))
		{
			if (target.attempts >= policy.min_attempts_to_eject)
				target.consecutive_ejections = 0;
			return false;
		}
		if (!may_eject_one_more(targets, policy, now))
			return false;
		const auto doublings = std::min(target.consecutive_ejections, max_doublings);
		target.ejected_until = now + policy.eject_time * (1 << doublings);
		++target.consecutive_ejections;
		target.attempts = 0;
		target.failure_share = 0;
		target.latency_us = 0;
		target.deviation_us = 0;
		return true;
	}
}
