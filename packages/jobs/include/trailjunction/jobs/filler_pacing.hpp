// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Of the path for jobs: how an agent slows fillers down so that the serving tasks beside them keep their
/// latency targets.
#pragma once

#include "job_ids.hpp"

#include <trailjunction/core/units.hpp>

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <span>
#include <string>

namespace trailjunction
{
	/// \brief When fillers are slowed and when they recover.
	struct pacing_policy
	{
		/// Strain above which a task counts as over its target: measures are rough.
		double slow_above{0.95};
		/// Over its target for so long, a task is relieved. Short peaks pass by themselves, and slowing fillers for
		/// each of them cost batch jobs far more than it gave serving tasks (docs/MEASUREMENTS.md).
		millis patience{1'000};
		/// Over its target by every measure for so long, all fillers beside a task stand still: half of what users
		/// bear, since a measure is up to a second old when it comes and an order may have to be repeated.
		millis limit{2'000};
		/// After it may have been over for so long they do too: two thirds, since it may have been longer.
		millis doubtful_limit{2'600};
		/// A task over its target hardly shows a strain below this: measures differ by a factor of 1.35 from one to the
		/// next (standard deviation, 0.3 in its logarithm, samples of six days).
		double clearly_below{0.75};
		millis below_for{400}; ///< So long below its target, a task is not over it any more: two measures in a row.
		double aim{0.8};       ///< Strain that slowing aims at.
		double recover_below{0.85}; ///< Worst strain below which fillers get more again.
		int recover_step{40};       ///< Percent by which a pace rises.
		millis settle{600};         ///< Between two changes: a measure covers half a second and a change takes a tenth.
		int least_percent{8};       ///< Below this a filler stands still.
		/// Where the known pressures explain too little of a strain, everybody gives up this share.
		double blind_share{0.5};
		/// A filler that may work at no more than this pace is better off elsewhere, and so are the serving tasks here.
		int move_at_percent{30};
		/// After so long at such a pace: a peak may pass, and a move costs a stop and a start, 0.3 s together.
		millis move_after{500};
	};

	/// \brief Pressures of one filler on serving tasks by their images; see filler_pressure.hpp.
	using pressures_by_image = absl::flat_hash_map<std::string, double>;

	/// \brief A filler and what it does to the serving tasks.
	struct paced_filler
	{
		const pressures_by_image* pressures{};
		double cpus{};    ///< That it uses now.
		int percent{100}; ///< Its pace.
	};

	/// \brief A serving task and how it fares.
	struct watched_serving
	{
		std::string image;
		double strain{};      ///< Its latency tail as a share of its target.
		millis over_for{};    ///< How long every measure has been over its target.
		millis may_be_over{}; ///< How long it may have been over its target all the while.
	};

	/// \brief Since when a serving task is over its target, as far as rough measures can tell.
	struct overrun
	{
		std::optional<instant> in_a_row;    ///< Since when every measure says so.
		std::optional<instant> since;       ///< Since when it may be over all the while; nothing: it is not.
		std::optional<instant> below_since; ///< While it may be: since when measures say otherwise.
	};

	/// \brief Takes in one measure of a task's strain.
	/// \details One that is somewhat below the target proves little: a task may be over until measures say otherwise
	/// for a while, or one says so clearly.
	void note_strain(overrun& known, double strain, const pacing_policy& policy, instant now) noexcept;

	/// \brief Since when a filler has worked at a pace at which it is better off elsewhere; nothing: it does not.
	using slow_since = std::optional<instant>;

	/// \brief Takes in the pace that a filler has now.
	void note_pace(slow_since& known, int percent, const pacing_policy& policy, instant now) noexcept;

	/// \brief Whether a filler should give its place up and resume from its checkpoint where there is room for it.
	[[nodiscard]] bool should_move(const slow_since& known, const pacing_policy& policy, instant now) noexcept;

	/// \brief A policy for serving tasks that may be over their targets for \p harm_limit on end at the most.
	[[nodiscard]] pacing_policy make_pacing_policy(millis harm_limit) noexcept;

	/// \brief Whether all fillers beside these serving tasks have to stand still, whatever was ordered last.
	[[nodiscard]] bool must_stop_fillers(std::span<const watched_serving> serving,
										 const pacing_policy& policy) noexcept;

	/// \brief Changes the paces of a worker's fillers, those first that press hardest on the tasks that suffer.
	/// \returns Whether any pace differs from before.
	bool adjust_paces(std::span<paced_filler> fillers, std::span<const watched_serving> serving,
					  const pacing_policy& policy);
}
