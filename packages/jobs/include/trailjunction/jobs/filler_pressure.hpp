// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief How much fillers slow serving tasks down, learnt by pairs of images from what workers measure.
/// \details The model is ln(strain) = base of the serving task + sum over the fillers beside it of the pressure of the
/// pair of images x processors used, where strain is the task's latency tail as a share of its target. Tails grow by
/// factors under load, hence the logarithm; of the forms tried it left the least error (docs/design/platform.md).
#pragma once

#include "job_ids.hpp"

#include <absl/container/flat_hash_map.h>

#include <span>
#include <string>
#include <utility>

namespace trailjunction
{
	/// \brief How fast the model learns, and what it takes for granted.
	struct pressure_policy
	{
		double prior{0.06};    ///< Per processor, of a pair never seen: within the fits of both calm days.
		double most{1.0};      ///< Per processor: one sample must not ban a pair for good.
		double rate{0.2};      ///< Share of an error that one sample corrects.
		double base_rate{0.2}; ///< The same for a task's base, which drifts with its load.
		double first_base{
			-0.9}; ///< ln(strain) of a serving task alone: its median on both calm days is 0.4 of a target.
		double least_cpus{1.0}; ///< Fillers that use less than this together tell nothing.
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

	/// \brief What was learnt.
	struct pressure_model
	{
		/// By the image of the serving task and that of the filler; per processor.
		absl::flat_hash_map<std::pair<std::string, std::string>, double> pairs;
		absl::flat_hash_map<task_key, double> bases; ///< Of each serving task.
	};

	[[nodiscard]] double pressure_of(const pressure_model& model, const std::string& serving, const std::string& filler,
									 const pressure_policy& policy);

	/// \brief ln(strain) of a serving task without fillers.
	[[nodiscard]] double base_of(const pressure_model& model, const task_key& task, const pressure_policy& policy);

	/// \brief Corrects the model by one measurement of one serving task.
	void learn_pressure(pressure_model& model, const serving_strain& measured, std::span<const filler_use> fillers,
						const pressure_policy& policy);
}
