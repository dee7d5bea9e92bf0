// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief What batch work does to the services beside it, learned from late measurements.
#pragma once

#include <trailjunction/core/ids.hpp>
#include <trailjunction/core/units.hpp>

#include <absl/container/flat_hash_map.h>

#include <span>
#include <utility>

namespace trailjunction
{
	/// \brief A service and a kind of batch task that ran beside it.
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

	/// \brief What was learned about one pair.
	struct harm_estimate
	{
		double slowdown{}; ///< Natural logarithm of the factor on the service's latency.
		double weight{};   ///< Measurements that count, older ones less.
	};

	/// \brief What was learned about one service alone.
	struct alone_estimate
	{
		double log_latency{}; ///< Of its p99 in microseconds, with nothing harmful beside it.
		double weight{};
	};

	/// \brief The learned table of interference.
	struct interference
	{
		double prior_slowdown{0.05}; ///< Of a pair that was never measured.
		double prior_weight{4};      ///< Measurements that the prior counts for.
		double memory{200};          ///< Measurements after which an old one has faded.
		double largest_step{0.7};    ///< A single measurement moves an estimate by this at the most: outliers.
		absl::flat_hash_map<harm_pair, harm_estimate> pairs;
		absl::flat_hash_map<service_id, alone_estimate> alone;
	};

	/// \brief The expected logarithmic slowdown of a service by one task of a kind.
	[[nodiscard]] double expected_slowdown(const interference& learned, const service_id& service, const kind_id& kind);

	/// \brief One late measurement, attributed to what ran at the time that it speaks of.
	struct late_sample
	{
		service_id service;
		double p99_us{};
		std::span<const kind_id> beside; ///< One entry for each task that ran then.
	};

	/// \brief Learns from one measurement: what the parts known so far do not explain is shared among them.
	void learn(interference& learned, const late_sample& sample);
}
