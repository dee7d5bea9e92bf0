// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief How much users of serving tasks will ask for: a level and, where the samples show one, a swing.
/// \details The load of a serving task may swing by half of its level within seconds, while a filler that is placed
/// beside it in a trough works into the peak.
///
/// What is expected is a curve, and the latest samples' distance from it, which fades with time. The curve is the mean
/// of the samples, or a sine of the period that leaves the least error, where that is so much less that chance hardly
/// explains it. So a level that jumps, or a swing that ends, is followed by the latest samples at once and by the curve
/// as old samples fade.
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
		double variance{0.06}; ///< How uncertain it is, above 0: what fillers add is known badly.
	};

	/// \brief What a swing or a level was found to be.
	struct load_curve
	{
		instant origin{}; ///< Where the swing's phase counts from.
		double level{};
		double cosine{};
		double sine{};
		std::optional<millis> period; ///< Nothing: the samples show no swing.
		double variance{};            ///< Of the samples around it.
	};

	/// \brief What is known of the load of one group of serving tasks.
	struct load_track
	{
		std::vector<load_sample> samples; ///< The latest ones, the oldest first; bounded by load_policy.
		std::optional<load_curve> curve;
		std::optional<instant> fitted_at; ///< Of the curve.
	};

	/// \brief Bounds of what is kept and believed.
	struct load_policy
	{
		millis window{30'000}; ///< How far back samples are kept.
		/// How far ahead anything but the level is told: longer than fillers run that press hard, and a third of a
		/// swing.
		millis horizon{5'000};
		std::size_t most_samples{64};
		/// Samples within this time become one: the tasks of a group on several workers tell the same load, and a
		/// worker measures each half second.
		millis gap{450};
		millis fit_every{1'000}; ///< A fit takes some 25 us, so hundreds of groups cost a percent of a processor.
		/// Periods that are looked for. One much longer than half of the window cannot be told from a trend.
		millis shortest_period{4'000};
		millis longest_period{24'000};
		double period_step{1.1}; ///< The factor from one to the next: less than a tenth of a turn within the window.
		/// Fewer samples, or ones over less than this share of a period, show no swing.
		std::size_t least_samples{14};
		double least_turns{0.9};
		/// By how much more than its four figures' share of chance a swing has to explain (Bayesian information
		/// criterion). On a day of 19 groups whose loads all swing, a forecast 2 s ahead was off by 0.286 with 2.5 and
		/// by 0.304 with 1.3, which takes the first bend that it sees for a swing (docs/design/load-forecast.md).
		double doubt{2.5};
		/// The latest samples' distance from the curve fades with this time constant.
		millis fade{3'000};
		millis latest{1'000}; ///< Samples this close to the newest one are the latest.
		bool swings{true};    ///< Whether swings are looked for at all.
	};

	/// \brief A load that is expected.
	struct load_expectation
	{
		double log_strain{};
		double variance{};
	};

	/// \brief Takes in a sample; one older than the newest is left out.
	void note_load(load_track& known, const load_sample& sample, const load_policy& policy);

	/// \brief The load at a moment; the level where nothing better is known, nothing without samples.
	[[nodiscard]] std::optional<load_expectation> load_at(const load_track& known, instant when,
														  const load_policy& policy);
}
