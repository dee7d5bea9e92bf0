// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Of the product's own path: what is done about batch work that harms a service; for jobs, see
/// filler_pacing.hpp.
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
	/// \brief How long a worker's service has been over or under its target.
	struct harm_state
	{
		double ratio{};      ///< Moving mean of p99 over target.
		int over_throttle{}; ///< Measurements in a row above the throttling share.
		int over_evict{};    ///< Measurements in a row above the evicting share.
		int calm{};          ///< Measurements in a row well below the throttling share.
		instant acted{};     ///< When something was last done about it.
	};

	/// \brief Notes one measurement of a service.
	void note_latency(harm_state& state, double p99_us, double target_us, const placement_weights& weights) noexcept;

	/// \brief A batch run beside a service.
	struct harm_suspect
	{
		task_id task;
		kind_id kind;
		bool throttled{};
		bool long_lived{};         ///< A season-long watcher: moved last.
		millis since_checkpoint{}; ///< What a move would lose.
	};

	/// \brief What to do.
	enum class harm_action
	{
		none,
		throttle,
		evict,
		unthrottle,
	};

	/// \brief One step: at most one run is touched at a time, so that its effect can be seen first.
	struct harm_step
	{
		harm_action what{harm_action::none};
		std::size_t which{}; ///< An index into the suspects.
	};

	/// \brief Chooses the next step: throttle, then move; back when the service has been calm for long.
	/// \param may_evict Whether the budget of moves allows one.
	[[nodiscard]] harm_step respond_to_harm(harm_state& state, std::span<const harm_suspect> suspects,
											const service_id& service, const interference& learned,
											const placement_weights& weights, bool may_evict, instant now);
}
