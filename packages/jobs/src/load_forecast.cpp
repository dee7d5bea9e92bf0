// SPDX-License-Identifier: MIT
#include <trailjunction/jobs/load_forecast.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>

namespace trailjunction
{
	namespace
	{
		/// Coefficients of a curve: level, cosine, sine.
		using coefficients = std::array<double, 3>;
		/// Normal equations of a weighted least-squares fit: products of the terms, then products of the terms and the
		/// samples.
		using normal_equations = std::array<std::array<double, 4>, 3>;

		/// Number of parameters of a swing: level, cosine, sine and period.
		constexpr double swing_parameters = 4.0;
		/// Number of parameters of a constant level.
		constexpr double level_parameters = 1.0;
		/// Relative pivot below which the equations are treated as linearly dependent.
		constexpr double min_pivot = 1e-6;
		/// Lower bound of the variance of samples around a curve: their values are rounded to whole milliseconds.
		constexpr double min_variance = 1e-4;

		double seconds(instant::duration time) noexcept
		{
			return std::chrono::duration<double>(time).count();
		}

		/// Values of a curve's terms at a time.
		coefficients terms_at(double since_origin, double period) noexcept
		{
			const double angle = 2.0 * std::numbers::pi * since_origin / period;
			return {1.0, std::cos(angle), std::sin(angle)};
		}

		double dot_product(const coefficients& terms, const coefficients& values) noexcept
		{
			return terms[0] * values[0] + terms[1] * values[1] + terms[2] * values[2];
		}

		/// Gaussian elimination. The matrix is symmetric and positive semidefinite, so no pivoting is needed.
		/// \returns Empty if the equations are linearly dependent.
		std::optional<coefficients> solve(normal_equations rows) noexcept
		{
			const double scale = rows[0][0];
			for (std::size_t i = 0; i < rows.size(); ++i)
			{
				if (rows[i][i] <= min_pivot * scale)
					return std::nullopt;
				for (std::size_t j = i + 1; j < rows.size(); ++j)
				{
					const double factor = rows[j][i] / rows[i][i];
					for (std::size_t k = i; k < rows[i].size(); ++k)
						rows[j][k] -= factor * rows[i][k];
				}
			}
			coefficients out{};
			for (std::size_t i = rows.size(); i-- > 0;)
			{
				double rest = rows[i][3];
				for (std::size_t k = i + 1; k < rows.size(); ++k)
					rest -= rows[i][k] * out[k];
				out[i] = rest / rows[i][i];
			}
			return out;
		}

		/// Weighted mean of the samples and their variance around it.
		load_curve fit_level(const std::vector<load_sample>& samples) noexcept
		{
			load_curve out;
			out.origin = samples.back().at;
			double weights = 0.0;
			double squares = 0.0;
			for (const auto& point : samples)
			{
				const double weight = 1.0 / point.variance;
				const double deviation = point.log_ratio - out.level;
				weights += weight;
				out.level += deviation * weight / weights;
				squares += weight * deviation * (point.log_ratio - out.level);
			}
			out.variance = std::max(min_variance, squares / weights);
			return out;
		}

		/// Least-squares fit of a sine with a given period.
		std::optional<load_curve> fit_swing(const std::vector<load_sample>& samples, double period)
		{
			const auto origin = samples.back().at;
			normal_equations rows{};
			double weights = 0.0;
			double squares = 0.0;
			for (const auto& point : samples)
			{
				const double weight = 1.0 / point.variance;
				const auto terms = terms_at(seconds(point.at - origin), period);
				for (std::size_t i = 0; i < rows.size(); ++i)
				{
					for (std::size_t k = 0; k < terms.size(); ++k)
						rows[i][k] += weight * terms[i] * terms[k];
					rows[i][3] += weight * terms[i] * point.log_ratio;
				}
				weights += weight;
				squares += weight * point.log_ratio * point.log_ratio;
			}
			const auto found = solve(rows);
			if (!found)
				return std::nullopt;
			const double explained = dot_product({rows[0][3], rows[1][3], rows[2][3]}, *found);
			load_curve out{origin, (*found)[0], (*found)[1], (*found)[2], std::nullopt, 0.0};
			out.period = millis{static_cast<millis::rep>(std::lround(period * 1'000.0))};
			out.variance = std::max(min_variance, (squares - explained) / weights);
			return out;
		}

		/// Whether the swing fits the samples better than the level by more than chance explains.
		bool is_significant(const load_curve& swing, const load_curve& level, std::size_t sample_count,
							const load_policy& policy) noexcept
		{
			const auto n = static_cast<double>(sample_count);
			const double gain = n * std::log(level.variance / swing.variance);
			return gain > policy.swing_penalty * (swing_parameters - level_parameters) * std::log(n);
		}

		load_curve fit(const std::vector<load_sample>& samples, const load_policy& policy)
		{
			const auto level = fit_level(samples);
			if (!policy.fits_swing || samples.size() < policy.min_swing_samples)
				return level;
			const double covered = seconds(samples.back().at - samples.front().at);
			const double longest = std::min(seconds(policy.max_period), covered / policy.min_swing_turns);
			auto best = level;
			for (double period = seconds(policy.min_period); period <= longest; period *= policy.period_factor)
			{
				const auto swing = fit_swing(samples, period);
				if (swing && swing->variance < best.variance)
					best = *swing;
			}
			// A sine whose level lies outside the range of the samples extrapolates from a bend and is rejected.
			const auto [low, high] = std::minmax_element(samples.begin(), samples.end(),
														 [](const load_sample& left, const load_sample& right)
														 { return left.log_ratio < right.log_ratio; });
			const bool within = best.level > low->log_ratio && best.level < high->log_ratio;
			return within && is_significant(best, level, samples.size(), policy) ? best : level;
		}

		double value_at(const load_curve& curve, instant when) noexcept
		{
			if (!curve.period)
				return curve.level;
			const auto terms = terms_at(seconds(when - curve.origin), seconds(*curve.period));
			return dot_product(terms, {curve.level, curve.cosine, curve.sine});
		}

		/// Merges two samples of nearly the same time, weighted by their inverse variances.
		void merge(load_sample& into, const load_sample& other) noexcept
		{
			const double share = into.variance / (into.variance + other.variance);
			into.log_ratio += share * (other.log_ratio - into.log_ratio);
			into.variance *= 1.0 - share;
		}

		/// Weighted mean distance of the latest samples from the curve.
		double mean_residual(const load_track& track, const load_policy& policy) noexcept
		{
			double sum = 0.0;
			double weights = 0.0;
			const auto newest = track.samples.back().at;
			for (auto point = track.samples.rbegin(); point != track.samples.rend(); ++point)
			{
				if (newest - point->at > policy.residual_window)
					break;
				const double weight = 1.0 / point->variance;
				sum += weight * (point->log_ratio - value_at(*track.curve, point->at));
				weights += weight;
			}
			return sum / weights;
		}

		void drop_old(std::vector<load_sample>& samples, const load_policy& policy)
		{
			const auto oldest = samples.back().at - policy.window;
			auto kept = std::find_if(samples.begin(), samples.end(),
									 [&](const load_sample& point) { return point.at >= oldest; });
			const auto limit = static_cast<std::ptrdiff_t>(policy.max_samples);
			if (samples.end() - kept > limit)
				kept = samples.end() - limit;
			samples.erase(samples.begin(), kept);
		}
	}

	void note_load(load_track& track, const load_sample& sample, const load_policy& policy)
	{
		auto& samples = track.samples;
		if (!samples.empty() && sample.at < samples.back().at)
			return;
		if (!samples.empty() && sample.at - samples.back().at < policy.merge_interval)
			merge(samples.back(), sample);
		else
			samples.push_back(sample);
		drop_old(samples, policy);
		if (track.fitted_at && sample.at - *track.fitted_at < policy.fit_interval)
			return;
		track.curve = fit(samples, policy);
		track.fitted_at = sample.at;
	}

	std::optional<load_expectation> load_at(const load_track& track, instant when, const load_policy& policy)
	{
		if (track.samples.empty() || !track.curve)
			return std::nullopt;
		const auto& newest = track.samples.back();
		const auto ahead = when - newest.at;
		if (ahead > policy.horizon)
			return load_expectation{track.curve->level, track.curve->variance};
		const double decay = std::exp(-std::max(0.0, seconds(ahead)) / seconds(policy.residual_decay));
		const double residual = mean_residual(track, policy);
		return load_expectation{value_at(*track.curve, when) + residual * decay, track.curve->variance};
	}
}
