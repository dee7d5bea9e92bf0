// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Forecast of the load of a group of serving tasks: a level and, where the samples show one, a periodic swing.
/// \details The load is ln(latency ratio) without fillers. It may change by half of its level within seconds, so a
/// filler that is placed while the load is low may still run when it peaks.
///
/// The forecast is a curve plus the distance of the latest samples from it, which decays with time. The curve is the
/// mean of the samples, or the sine whose period leaves the smallest error if that error is smaller by more than chance
/// explains. A jump of the level or the end of a swing is therefore followed at once through the latest samples, and by
/// the curve as old samples expire.
#pragma once

#include <trailjunction/core/units.hpp>

#include <optional>
#include <vector>

namespace trailjunction
{
	/// \brief One sample of the load.
	struct load_sample
	{
		instant at{};
		double log_ratio{};
		/// Variance of the sample, above 0; high because the contribution of fillers is known only roughly.
		double variance{0.06};
	};

	/// \brief A fitted curve: a constant level or a sine around it.
	struct load_curve
	{
		instant origin{}; ///< Time at which the phase of the swing is 0.
		double level{};
		double cosine{};
		double sine{};
		std::optional<millis> period; ///< Empty if the samples show no swing.
		double variance{};            ///< Variance of the samples around the curve.
	};

	/// \brief The samples and the fitted curve of the load of one group of serving tasks.
	struct load_track
	{
		std::vector<load_sample> samples; ///< The latest samples, the oldest first; bounded by load_policy.
		std::optional<load_curve> curve;
		std::optional<instant> fitted_at; ///< When the curve was fitted.
	};

	/// \brief Parameters of the load forecast.
	struct load_policy
	{
		millis window{30'000}; ///< Age up to which samples are kept.
		/// Beyond this time the forecast is the level alone: longer than the run of fillers with high pressure, and a
		/// third of a typical period.
		millis horizon{5'000};
		std::size_t max_samples{64};
		/// Samples within this time are merged: the tasks of a group on several workers report the same load, and a
		/// worker measures every half second.
		millis merge_interval{450};
		millis fit_interval{1'000}; ///< A fit takes about 25 us, so hundreds of groups cost one percent of a processor.
		/// Range of periods that are fitted. A period much longer than half of the window is indistinguishable from a
		/// trend.
		millis min_period{4'000};
		millis max_period{24'000};
		/// Factor between consecutive periods: a phase difference of less than a tenth of a turn within the window.
		double period_factor{1.1};
		/// No swing is fitted to fewer samples, or to samples that cover a smaller share of a period.
		std::size_t min_swing_samples{14};
		double min_swing_turns{0.9};
		/// A swing's gain in fit must exceed this multiple of the Bayesian information criterion's penalty for its
		/// three parameters beyond the level. On a day of 19 groups whose loads all swing, a forecast 2 s ahead was off
		/// by 0.286 with 2.5 and by 0.304 with 1.3, where the first bend is taken for a swing
		/// (docs/design/load-forecast.md).
		double swing_penalty{2.5};
		/// Time constant with which the distance of the latest samples from the curve decays.
		millis residual_decay{3'000};
		millis residual_window{1'000}; ///< Samples at most this much older than the newest one are the latest samples.
		bool fits_swing{true};         ///< Whether swings are fitted at all.
	};

	/// \brief A forecast load.
	struct load_expectation
	{
		double log_ratio{};
		double variance{};
	};

	/// \brief Adds a sample; ignores one that is older than the newest.
	void note_load(load_track& track, const load_sample& sample, const load_policy& policy);

	/// \brief The forecast load at \p when; the level beyond the horizon, empty without samples.
	[[nodiscard]] std::optional<load_expectation> load_at(const load_track& track, instant when,
														  const load_policy& policy);
}
