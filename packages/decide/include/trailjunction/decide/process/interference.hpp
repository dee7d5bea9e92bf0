// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Model of how much batch tasks slow down the services on the same worker, learned from latency samples that
/// arrive late.
#pragma once

#include <trailjunction/core/ids.hpp>
#include <trailjunction/core/units.hpp>

#include <absl/container/flat_hash_map.h>

#include <span>
#include <utility>

namespace trailjunction
{
	/// \brief A service and a kind of batch task that ran on the same worker.
	struct harm_pair
	{
		service_id service;
		kind_id kind;

		[[nodiscard]] friend bool operator==(const harm_pair&, const harm_pair&) = default;
		template <typename Hash>
		friend Hash AbslHashValue(Hash state, const harm_pair& pair)
		{
			return Hash::combine(std::move(state), pair.service, pair.kind);
		}
	};

	/// \brief Estimated slowdown of a service by one task of a kind.
	struct harm_estimate
	{
		double slowdown{}; ///< Natural logarithm of the factor on the service's p99 latency.
		double weight{};   ///< Effective number of samples, at most interference_model::max_weight.
	};

	/// \brief Estimated latency of one service with no batch task on its worker.
	struct baseline_estimate
	{
		double log_latency{}; ///< Natural logarithm of its p99 in microseconds.
		double weight{};      ///< Effective number of samples, at most interference_model::max_weight.
	};

	/// \brief Learned slowdowns and baseline latencies.
	struct interference_model
	{
		double prior_slowdown{0.05}; ///< Slowdown assumed for a pair that was never measured.
		double prior_weight{4};      ///< Number of samples that the prior counts for.
		double max_weight{200};      ///< Upper bound of a weight, so that old samples lose influence.
		double max_step{0.7};        ///< Upper bound of the residual of one sample, against outliers.
		absl::flat_hash_map<harm_pair, harm_estimate> pairs;
		absl::flat_hash_map<service_id, baseline_estimate> baselines;
	};

	/// \brief Expected slowdown of a service by one task of a kind, as a natural logarithm.
	[[nodiscard]] double expected_slowdown(const interference_model& learned, const service_id& service,
										   const kind_id& kind);

	/// \brief One latency sample, attributed to the tasks that ran during its interval.
	struct latency_sample
	{
		service_id service;
		double p99_us{};
		std::span<const kind_id> colocated_kinds; ///< One element for each batch task that ran then.
	};

	/// \brief Updates the model with one sample: the residual that the current estimates do not explain is divided
	/// among the baseline and the pairs.
	void learn(interference_model& learned, const latency_sample& sample);
}
