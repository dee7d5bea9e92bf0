// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Pacing: how an agent slows fillers so that the serving tasks beside them meet their latency targets.
/// \details A pace is the percentage of its full speed that a filler may use.
#pragma once

#include "job_ids.hpp"

#include <trailjunction/core/units.hpp>

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <span>
#include <string>

namespace trailjunction
{
	/// \brief Parameters of pacing. The latency ratio is a task's tail latency divided by its latency target.
	struct pacing_policy
	{
		/// Latency ratio above which a task counts as over its target; below 1 because measurements are imprecise.
		double slow_above{0.95};
		/// Fillers are slowed once a task has been over its target for this long. Short peaks pass by themselves, and
		/// slowing fillers for each of them cost batch jobs much more than serving tasks gained (docs/MEASUREMENTS.md).
		millis slow_after{1'000};
		/// All fillers are stopped once every measurement of a task has been over its target for this long. It is half
		/// of what users tolerate, since a measurement is up to a second old on arrival and an order may have to be
		/// repeated.
		millis stop_after{2'000};
		/// All fillers are stopped once a task has possibly been over its target for this long. It is two thirds of
		/// what users tolerate, since the actual time may be longer.
		millis stop_after_possibly_over{2'600};
		/// A task over its target hardly ever measures a latency ratio below this, so one such measurement clears it:
		/// consecutive measurements differ by a factor of 1.35 (standard deviation; 0.3 in the logarithm, samples of
		/// six days).
		double clearly_below{0.75};
		/// A task that has measured below its target for this long, two measurements in a row, is no longer over it.
		millis clear_after{400};
		double target_ratio{0.8};     ///< Latency ratio that slowing fillers is meant to reach.
		double recover_below{0.85};   ///< Worst latency ratio below which paces are raised again.
		int recover_step_percent{40}; ///< Percentage points by which a pace rises in one step.
		/// Minimum time between two changes of paces: a measurement covers half a second, and a change takes a tenth to
		/// take effect.
		millis min_change_interval{600};
		int min_percent{8}; ///< A filler whose pace would be lower is stopped.
		/// Share by which every filler is slowed if the known pressures do not explain the latency ratio.
		double unexplained_slowdown{0.5};
		/// At this pace or below, a filler should move to another worker, which also helps the serving tasks on this
		/// one.
		int move_at_percent{30};
		/// A filler moves after this long at such a pace: a peak may pass, and a move costs a stop and a start, 0.3 s
		/// together.
		millis move_after{500};
	};

	/// \brief Pressures of one filler on serving tasks, by the serving task's image; see filler_pressure.hpp.
	using pressures_by_image = absl::flat_hash_map<std::string, double>;

	/// \brief A filler with its pressures and its pace.
	struct paced_filler
	{
		const pressures_by_image* pressures{};
		double cpus{};    ///< Processors in use.
		int percent{100}; ///< Pace.
	};

	/// \brief A serving task's measured latency ratio and how long it has been over its target.
	struct monitored_serving_task
	{
		std::string image;
		double latency_ratio{};     ///< Tail latency divided by the latency target.
		millis over_target_for{};   ///< How long every measurement has been over the target.
		millis possibly_over_for{}; ///< How long the task may have been over its target without interruption.
	};

	/// \brief Since when a serving task is over its target, allowing for imprecise measurements.
	struct target_overrun
	{
		std::optional<instant> certain_since; ///< Since when every measurement is over the target.
		/// Since when the task may be over its target without interruption; empty if it is not over it.
		std::optional<instant> possible_since;
		/// Since when measurements are below the target while the task may still be over it.
		std::optional<instant> below_since;
	};

	/// \brief Updates a task's state with one measurement of its latency ratio.
	/// \details A measurement slightly below the target proves little: the task may be over it until measurements stay
	/// below for clear_after, or until one is below clearly_below.
	void record_latency_ratio(target_overrun& state, double latency_ratio, const pacing_policy& policy,
							  instant now) noexcept;

	/// \brief Since when a filler's pace has been so low that it should move; empty if it is not.
	using slow_since = std::optional<instant>;

	/// \brief Updates \p since with a filler's current pace.
	void record_pace(slow_since& since, int percent, const pacing_policy& policy, instant now) noexcept;

	/// \brief Whether a filler should stop here and resume from its checkpoint on a worker with room.
	[[nodiscard]] bool should_move(const slow_since& since, const pacing_policy& policy, instant now) noexcept;

	/// \brief A policy for serving tasks that may be over their targets for at most \p harm_limit without interruption.
	[[nodiscard]] pacing_policy make_pacing_policy(millis harm_limit) noexcept;

	/// \brief Whether all fillers beside these serving tasks must be stopped, regardless of earlier orders.
	[[nodiscard]] bool must_stop_fillers(std::span<const monitored_serving_task> serving,
										 const pacing_policy& policy) noexcept;

	/// \brief Adjusts the paces of a worker's fillers, slowing first those with the highest pressure on the tasks that
	/// are over their targets.
	/// \returns Whether any pace has changed.
	bool adjust_paces(std::span<paced_filler> fillers, std::span<const monitored_serving_task> serving,
					  const pacing_policy& policy);
}
