// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief How much fillers slow serving tasks down, learnt by pairs of images from what workers measure.
/// \details The model is ln(strain) = base of the serving task + sum over the fillers beside it of the pressure of the
/// pair of images x processors used, where strain is the task's latency tail as a share of its target. Tails grow by
/// factors under load, hence the logarithm; of the forms tried it left the least error (docs/DECISIONS.md).
///
/// The tasks of a group serve the same users, so their load swings together and they share one base: what those without
/// fillers show tells apart, for the others, what the load does from what fillers do.
///
/// Each base and each pair's pressure is kept with its variance, and one measurement corrects what is least certain
/// most: a Kalman filter whose covariances are left out. Figures below were fitted to half-second samples of a calm
/// and a busy day of both deployments (docs/MEASUREMENTS.md).
#pragma once

#include "job_ids.hpp"
#include "load_forecast.hpp"

#include <trailjunction/core/units.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/hash/hash.h>

#include <array>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace trailjunction
{
	/// \brief How fast the model learns, and what it takes for granted. Variances are of ln(strain).
	struct pressure_policy
	{
		double prior{0.06};              ///< Per processor, of a pair never seen: within the fits of both calm days.
		double prior_variance{0.01};     ///< Of a pair never seen; the pressures found lie between 0 and 0.5.
		double drift{0.001};             ///< Variance that a pair gains a second: images change how they press.
		double most{1.0};                ///< Per processor: one sample must not ban a pair for good.
		double first_base{-0.9};         ///< ln(strain) of a serving task alone: its median on both calm days is 0.4.
		double first_base_variance{0.3}; ///< Of a serving task that was never measured.
		/// Variance that a base gains a second: load swings by a factor of two or three within seven seconds.
		double base_drift{0.05};
		/// Variance of one measurement: tasks of a group without fillers differ by 0.11 to 0.14 (standard deviation),
		/// and what is told of a task may be half a second and a fifth of its value behind.
		double noise{0.06};
		/// A task so far over its target works through what has piled up: more strain than this says no more.
		double most_strain{4.0};
		/// A measurement covers half a second; one taken sooner than this after the one before says nothing new.
		millis least_gap{400};
		load_policy load; ///< What is kept of each group's load, and how it is foreseen.
	};

	/// \brief Moments of a filler's run, from the time at which its place is chosen: its start takes some 0.3 s, and
	/// those that press hardest run for about two seconds.
	inline constexpr std::array<millis, 3> run_moments{millis{500}, millis{1'250}, millis{2'000}};

	/// \brief ln(strain) of a serving task without fillers at each of run_moments.
	using strain_ahead = std::array<double, run_moments.size()>;

	/// \brief The load of a group of serving tasks, as it was and as it is expected.
	struct group_load
	{
		load_track track;
		strain_ahead ahead{}; ///< From the latest measurement on.
	};

	/// \brief What one filler used while strains were measured.
	struct filler_use
	{
		std::string image;
		double cpus{};
	};

	/// \brief What one serving task showed.
	struct serving_strain
	{
		task_key task;
		std::string image;
		double strain{}; ///< Above 0; its latency tail as a share of its target.
	};

	/// \brief A figure that is not known for sure.
	struct estimate
	{
		double mean{};
		double variance{};
		instant corrected_at{};
	};

	/// \brief An image of serving tasks and one of fillers.
	using image_pair = std::pair<std::string, std::string>;
	/// \brief The same, without copies: placement looks up some pairs for each worker.
	using image_pair_view = std::pair<std::string_view, std::string_view>;

	/// \brief Hashes pairs of images, whoever owns their texts.
	struct image_pair_hash
	{
		using is_transparent = void;

		[[nodiscard]] std::size_t operator()(const image_pair_view& pair) const noexcept
		{
			return absl::HashOf(pair.first, pair.second);
		}
	};

	/// \brief Compares pairs of images, whoever owns their texts.
	struct image_pair_equal
	{
		using is_transparent = void;

		[[nodiscard]] bool operator()(const image_pair_view& left, const image_pair_view& right) const noexcept
		{
			return left == right;
		}
	};

	/// \brief What was learnt.
	struct pressure_model
	{
		/// By the image of the serving task and that of the filler; per processor.
		absl::flat_hash_map<image_pair, estimate, image_pair_hash, image_pair_equal> pairs;
		absl::flat_hash_map<task_key, estimate> bases;      ///< Of each group of serving tasks, by its first task.
		absl::flat_hash_map<task_key, group_load> loads;    ///< Of each group, by its first task.
		absl::flat_hash_map<task_key, instant> measured_at; ///< When each task that was measured was so last.
	};

	/// \brief What one processor of a filler adds to ln(strain) of a serving task beside it, by their images.
	[[nodiscard]] double pressure_of(const pressure_model& model, const std::string& serving, const std::string& filler,
									 const pressure_policy& policy);

	/// \brief ln(strain) of a serving task without fillers: that of its whole group.
	[[nodiscard]] double base_of(const pressure_model& model, const task_key& task, const pressure_policy& policy);

	/// \brief The same within the run of a filler that is placed now: where its group was never measured, as it is.
	[[nodiscard]] strain_ahead bases_ahead(const pressure_model& model, const task_key& task,
										   const pressure_policy& policy);

	/// \brief Makes one measurement of those of one group's tasks on one worker: beside the same fillers they hardly
	/// differ.
	/// \returns The geometric mean of each group's strains, under the name of its first task here.
	[[nodiscard]] std::vector<serving_strain> mean_by_group(std::vector<serving_strain> measured);

	/// \brief Corrects the model by one measurement of one serving task.
	/// \param fillers All that ran beside it; those of one image may stand in several rows.
	void learn_pressure(pressure_model& model, const serving_strain& measured, std::span<const filler_use> fillers,
						const pressure_policy& policy, instant now);

	/// \brief Drops what is known of a job's own tasks.
	void forget_bases(pressure_model& model, const job_id& job);
}
