// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief How much users of serving tasks will ask for: a level and, where the samples show one, a swing.
/// \details The load of a serving task may swing by half of its level within seconds, while a filler that is placed
/// beside it in a trough works into the peak.
#pragma once

#include <trailjunction/core/units.hpp>

#include <optional>
#include <vector>

namespace trailjunction
{
	/// \brief One sample of the load: ln(strain) without fillers.
	struct load_sample
	{
		instant at{};
		double log_strain{};
	};

	/// \brief What is known of the load of one group of serving tasks.
	struct load_track
	{
		std::vector<load_sample> samples; ///< The latest ones, the oldest first; bounded by load_policy.
	};

	/// \brief Bounds of what is kept and believed.
	struct load_policy
	{
		millis window{30'000}; ///< How far back samples are kept.
		millis horizon{3'000}; ///< How far ahead anything but the level is told.
		std::size_t most_samples{64};
	};

	/// \brief A load that is expected.
	struct load_expectation
	{
		double log_strain{};
		double variance{};
	};

	/// \brief Takes in a sample.
	void note_load(load_track& known, const load_sample& sample, const load_policy& policy);

	/// \brief The load at a moment; the level where nothing better is known, nothing without samples.
	[[nodiscard]] std::optional<load_expectation> load_at(const load_track& known, instant when,
														  const load_policy& policy);
}
