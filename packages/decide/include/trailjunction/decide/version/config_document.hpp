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
	/// \brief Limits and load balancing of requests.
	struct request_config
	{
		std::int64_t slots{8};        ///< Concurrent requests to a worker's upstream.
		std::int64_t queue{16};       ///< Requests that may wait at an agent.
		std::int64_t connections{64}; ///< Connections from an agent to its upstream.
		double retry_share{0.09};     ///< Retries and hedged attempts per first attempt.
		bool hedge{true};
		millis deadline{10'000};          ///< Deadline of a request that sets none.
		double eject_latency_factor{4};   ///< See balance_policy.
		double eject_at_most{0.3};        ///< See balance_policy.
		double far_data_centre_us{1'000}; ///< See balance_policy.
	};

	/// \brief The weights of placement and the thresholds of harm response; docs/OPERATORS.md describes the presets.
	struct placement_weights
	{
		double harm{4};          ///< Predicted harm to the service on the worker.
		double packing{0.5};     ///< Preference for workers that are partly full.
		double overuse{2};       ///< Measured use above the declared use.
		double spread{1};        ///< Other replicas of the same service on the worker.
		double failures{2};      ///< Recent failures on the worker.
		double throttle_at{1.0}; ///< Ratio of p99 to target at which batch tasks on the worker are throttled.
		double evict_at{1.3};    ///< Ratio of p99 to target at which one of them is evicted.
		std::int64_t evictions_per_minute{6}; ///< Budget of evictions in favour of services, per shard.
	};

	/// \brief Operators' configuration of one worker.
	struct worker_config
	{
		bool drained{};
		resources reserved; ///< Reserved for the operators' own scripts.
	};

	/// \brief Configuration of one service.
	struct service_config
	{
		millis target{100}; ///< Target of the p99 latency.
	};

	/// \brief Configuration of one client account.
	struct account_config
	{
		resources quota;
	};

	/// \brief One version of the configuration, parsed.
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

	/// \brief Parses and validates a document; the error status names every invalid field with its path.
	[[nodiscard]] absl::StatusOr<config_document> parse_config(std::string_view text, config_version version);

	/// \brief Sets the value at one path of a document, for example `/requests/slots` to `4`.
	/// \param value JSON, or null to remove the member.
	/// \returns The text of the whole new document; invalid_argument if it would not be valid.
	[[nodiscard]] absl::StatusOr<std::string> change_config(std::string_view text, std::string_view path,
															std::string_view value);

	/// \brief The part of a document that concerns one worker's agent: request limits and its own declarations.
	/// \details In a full-size deployment the whole document is thousands of times larger than this part.
	/// \param document The whole document, parsed.
	[[nodiscard]] std::string config_for_agent(const boost::json::value& document, const worker_id& worker);

	/// \brief The balance policy that a configuration asks for.
	[[nodiscard]] balance_policy to_balance_policy(const request_config& requests) noexcept;
}
