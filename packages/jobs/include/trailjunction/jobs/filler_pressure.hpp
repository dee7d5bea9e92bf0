// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief How much the fillers of each image slow serving tasks down, learnt from what workers measure.
/// \details The model is ln(strain) = base of the worker + sum over its fillers of pressure of the image x processors
/// used, where strain is the worst latency tail of the worker's serving tasks as a share of its target. Tails grow by
/// factors under load, hence the logarithm.
#pragma once

#include "job_ids.hpp"

#include <absl/container/flat_hash_map.h>

#include <span>
#include <string>

namespace trailjunction
{
	/// \brief How fast the model learns, and what it takes for granted.
	struct pressure_policy
	{
		double prior{0.15};     ///< Per processor, of an image never seen: the median over both deployments' calm days.
		double most{1.5};       ///< Per processor: one sample must not ban an image for good.
		double rate{0.25};      ///< Share of an error that one sample corrects.
		double base_rate{0.15}; ///< The same for a worker's base, which drifts with its load.
		double first_base{-0.8}; ///< ln(strain) of serving tasks alone, before anything was measured.
	};

	/// \brief What one filler used while a strain was measured.
	struct filler_use
	{
		std::string image;
		double cpus{};
	};

	/// \brief What was learnt.
	struct pressure_model
	{
		absl::flat_hash_map<std::string, double> images;  ///< Pressure per processor.
		absl::flat_hash_map<worker_life, double> workers; ///< Base of each worker.
	};

	[[nodiscard]] double pressure_of(const pressure_model& model, const std::string& image,
									 const pressure_policy& policy) noexcept;

	/// \brief ln(strain) of a worker without fillers.
	[[nodiscard]] double base_of(const pressure_model& model, const worker_life& worker,
								 const pressure_policy& policy) noexcept;

	/// \brief Corrects the model by one measurement.
	/// \param strain Above 0; the worst tail of the worker's serving tasks as a share of its target.
	void learn_pressure(pressure_model& model, const worker_life& worker, double strain,
						std::span<const filler_use> fillers, const pressure_policy& policy);
}
