// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Decides when to throttle or evict batch tasks that push a service over its latency target. Used by the task
/// owner; jobs use filler_pacing.hpp.
#pragma once

#include "../version/config_document.hpp"
#include "interference.hpp"

#include <trailjunction/core/ids.hpp>
#include <trailjunction/core/units.hpp>

#include <optional>
#include <span>
#include <vector>

namespace trailjunction
{
	/// \brief Latency of one worker's service relative to its target, with the lengths of the current streaks.
	struct harm_state
	{
		double latency_ratio{};      ///< Moving mean of p99 divided by the target.
		int samples_over_throttle{}; ///< Consecutive samples at or above placement_weights::throttle_at.
		int samples_over_evict{};    ///< Consecutive samples at or above placement_weights::evict_at.
		int samples_recovered{};     ///< Consecutive samples well below the throttling threshold.
		instant last_action_at{};    ///< When a task was last throttled, evicted or unthrottled.
	};

	/// \brief Records one latency sample of a service.
	void record_latency(harm_state& state, double p99_us, double target_us, const placement_weights& weights) noexcept;

	/// \brief A batch task that runs on the same worker as the service.
	struct harm_candidate
	{
		task_id task;
		kind_id kind;
		bool throttled{};
		bool long_running{};       ///< Runs for months; evicted last.
		millis since_checkpoint{}; ///< Work that an eviction would lose.
	};

	/// \brief The action to take on one batch task.
	enum class harm_action
	{
		none,
		throttle,
		evict,
		unthrottle,
	};

	/// \brief One step. At most one task is changed per step, so that its effect is measured before the next one.
	struct harm_step
	{
		harm_action action{harm_action::none};
		std::size_t index{}; ///< Index into the candidates; unused with harm_action::none.
	};

	/// \brief Chooses the next step: throttle first, evict if the latency stays too high, and unthrottle once it has
	/// recovered.
	/// \param may_evict Whether the eviction budget allows an eviction now.
	[[nodiscard]] harm_step respond_to_harm(harm_state& state, std::span<const harm_candidate> candidates,
											const service_id& service, const interference_model& learned,
											const placement_weights& weights, bool may_evict, instant now);
}
