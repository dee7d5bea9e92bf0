// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief The versioned configuration of the whole system.
#pragma once

#include "../request/balance.hpp"

#include <trailjunction/core/field_reader.hpp>
#include <trailjunction/core/ids.hpp>
#include <trailjunction/core/units.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>
#include <boost/json/value.hpp>

#include <string>
#include <string_view>

namespace trailjunction
{
	/// \brief Limits of requests.
	struct request_config
	{
		std::int64_t slots{8};        ///< A worker's, for its upstream.
		std::int64_t queue{16};       ///< Requests that wait at an agent.
		std::int64_t connections{64}; ///< From an agent to its upstream.
		double retry_share{0.09};     ///< Extra tries for each first try.
		bool hedge{true};
		millis deadline{10'000}; ///< Of a request that names none.
		double eject_latency_factor{4};
		double eject_at_most{0.3};
		double far_data_centre_us{1'000};
	};

	/// \brief The weights of placement; presets are in docs/OPERATORS.md.
	struct placement_weights
	{
		double harm{4};                       ///< Predicted slowdown of services on the worker.
		double packing{0.5};                  ///< Preference for workers that are partly full.
		double overuse{2};                    ///< Real use beyond the declared one.
		double spread{1};                     ///< Replicas of one service on one rack.
		double failures{2};                   ///< Failures on the worker lately.
		double throttle_at{1.0};              ///< Share of a service's target at which its neighbours are throttled.
		double evict_at{1.3};                 ///< Share of the target at which one of them is moved.
		std::int64_t evictions_per_minute{6}; ///< Budget of moves for the sake of services, a shard.
	};

	/// \brief One worker's declarations by operators.
	struct worker_config
	{
		bool drained{};
		resources reserved; ///< For the operators' own scripts.
	};

	/// \brief One service's target.
	struct service_config
	{
		millis target{100}; ///< p99 that should not be exceeded.
	};

	/// \brief One account's quota.
	struct account_config
	{
		resources quota;
	};

	/// \brief One version of the configuration.
	struct config_document
	{
		config_version version;
		request_config requests;
		placement_weights placement;
		std::string preset{"grangemouth"};
		absl::flat_hash_map<account_id, account_config> accounts;
		absl::flat_hash_map<worker_id, worker_config> workers;
		absl::flat_hash_map<service_id, service_config> services;
	};

	/// \brief Reads a document; every fault is named with its path.
	[[nodiscard]] absl::StatusOr<config_document> parse_config(std::string_view text, config_version version);

	/// \brief Changes one path of a document: `/requests/slots` to `4`.
	/// \param value JSON, or null to remove the member.
	/// \returns The whole new document's text; invalid_argument where it would not be valid.
	[[nodiscard]] absl::StatusOr<std::string> change_config(std::string_view text, std::string_view path,
															std::string_view value);

	/// \brief The part of a document that concerns one worker's agent: request limits and its own declarations.
	/// \details At the full size the whole document would be thousands of times larger than what an agent needs of it.
	/// \param document The whole document, parsed.
	[[nodiscard]] std::string config_for_agent(const boost::json::value& document, const worker_id& worker);

	/// \brief The balance policy that a configuration asks for.
	[[nodiscard]] balance_policy balance_of(const request_config& requests) noexcept;
}
