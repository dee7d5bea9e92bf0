// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Model of how much fillers slow serving tasks down, learnt per pair of images from workers' measurements.
/// \details The model is ln(latency ratio) = base of the serving task + the sum, over the fillers beside it, of the
/// pair's pressure x processors used. The latency ratio is the task's tail latency divided by its latency target. The
/// logarithm is used because tail latencies grow by factors under load; of the forms tried it left the least error
/// (docs/DECISIONS.md).
///
/// The tasks of a group serve the same users, so their load changes together and they share one base. Measurements of
/// tasks without fillers therefore separate the effect of the load from that of the fillers on the other tasks of the
/// group.
///
/// Each base and each pair's pressure is stored with its variance, and a measurement corrects the least certain value
/// most: a Kalman filter without covariances. The constants below were fitted to half-second samples of one day of low
/// and one day of high load on both deployments (docs/MEASUREMENTS.md).
#pragma once

#include "image_digest.hpp"
#include "job_ids.hpp"
#include "load_forecast.hpp"

#include <trailjunction/core/units.hpp>

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace trailjunction
{
	/// \brief Learning rates and prior values of the model. Variances are of ln(latency ratio).
	struct pressure_policy
	{
		/// Pressure per processor of an unseen pair; within the fits of both days of low load.
		double prior_pressure{0.06};
		double prior_variance{0.01}; ///< Variance of prior_pressure; the measured pressures lie between 0 and 0.5.
		/// Variance that a pair's pressure gains per second: an image's pressure changes.
		double pressure_drift{0.001};
		/// Upper bound of a pressure per processor, so that one sample cannot exclude a pair permanently.
		double max_pressure{1.0};
		/// ln(latency ratio) of an unmeasured serving task without fillers; the median latency ratio is 0.4 on both
		/// days of low load.
		double prior_base{-0.9};
		double prior_base_variance{0.3}; ///< Variance of prior_base.
		/// Variance that a base gains per second: the load changes by a factor of two or three within seven seconds.
		double base_drift{0.05};
		/// Variance of one measurement. Tasks of a group without fillers differ by 0.11 to 0.14 (standard deviation),
		/// and a reported value may be half a second old and off by a fifth.
		double measurement_variance{0.06};
		/// The latency ratio is capped at this value: a task this far over its target works off its backlog, and a
		/// higher latency ratio carries no further information.
		double max_latency_ratio{4.0};
		/// A measurement covers half a second; one taken sooner than this after the previous one is redundant.
		millis min_sample_interval{400};
		/// Maximum number of pairs in the model; the least recently measured ones are dropped.
		std::size_t max_pairs{1'000};
		load_policy load; ///< Parameters of the load forecast of each group.
	};

	/// \brief The policy that owners use.
	inline constexpr pressure_policy default_pressure_policy{};

	/// \brief Times after the placement decision at which the load is forecast. A filler takes about 0.3 s to start,
	/// and those with the highest pressure run for about two seconds.
	inline constexpr std::array<millis, 3> forecast_offsets{millis{500}, millis{1'250}, millis{2'000}};

	/// \brief ln(latency ratio) of a serving task without fillers at each of forecast_offsets.
	using load_profile = std::array<double, forecast_offsets.size()>;

	/// \brief The measured and the forecast load of a group of serving tasks.
	struct group_load
	{
		load_track track;
		load_profile forecast{}; ///< Counted from the latest measurement.
	};

	/// \brief The processors that one filler used while latency ratios were measured.
	struct filler_use
	{
		std::string image;
		double cpus{};
	};

	/// \brief The measured latency ratio of one serving task.
	struct measured_latency
	{
		task_key task;
		std::string image;
		double latency_ratio{}; ///< Tail latency divided by the latency target; above 0.
	};

	/// \brief An estimated value with its variance.
	struct estimate
	{
		double mean{};
		double variance{};
		instant updated_at{};
	};

	/// \brief The learnt state of the model.
	struct pressure_model
	{
		/// Pressure per processor, by the images of the serving task and the filler.
		absl::flat_hash_map<image_pair, estimate> pairs;
		/// ln(latency ratio) without fillers of each group of serving tasks, by the group's first task.
		absl::flat_hash_map<task_key, estimate> bases;
		/// Load of each group of serving tasks, by the group's first task.
		absl::flat_hash_map<task_key, group_load> loads;
		absl::flat_hash_map<task_key, instant> measured_at; ///< Time of each task's latest measurement.
	};

	/// \brief The increase of a serving task's ln(latency ratio) per processor of a filler beside it, by their images.
	[[nodiscard]] double pressure_of(const pressure_model& model, const std::string& serving, const std::string& filler,
									 const pressure_policy& policy);

	/// \brief ln(latency ratio) of a serving task without fillers; shared by its group.
	[[nodiscard]] double base_of(const pressure_model& model, const task_key& task, const pressure_policy& policy);

	/// \brief ln(latency ratio) of a serving task without fillers, forecast over the run of a filler that is placed
	/// now. Equal to base_of() if its group was never measured.
	[[nodiscard]] load_profile forecast_bases(const pressure_model& model, const task_key& task,
											  const pressure_policy& policy);

	/// \brief Combines the measurements of each group's tasks on one worker into one: they run beside the same fillers
	/// and hardly differ.
	/// \returns The geometric mean of each group's latency ratios, under the key of its first measured task.
	[[nodiscard]] std::vector<measured_latency> mean_by_group(std::vector<measured_latency> measured);

	/// \brief Updates the model with one measurement of one serving task.
	/// \param fillers All fillers that ran beside the task; those of one image may occupy several elements.
	void learn_pressure(pressure_model& model, const measured_latency& measured, std::span<const filler_use> fillers,
						const pressure_policy& policy, instant now);

	/// \brief Drops the least recently measured pairs while there are more than pressure_policy::max_pairs.
	void drop_oldest_pairs(pressure_model& model, const pressure_policy& policy);

	/// \brief Removes the bases, loads and measurement times of a job's tasks.
	void forget_bases(pressure_model& model, const job_id& job);
}
