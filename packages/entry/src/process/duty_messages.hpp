// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Messages between the entry's control duty and its request duty, which run on separate threads.
#pragma once

#include <trailjunction/core/ids.hpp>
#include <trailjunction/core/units.hpp>
#include <trailjunction/decide/version/config_document.hpp>
#include <trailjunction/net/endpoint.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace trailjunction
{
	/// \brief One worker as a target of requests.
	struct request_target
	{
		worker_id worker;
		data_centre_id data_centre;
		service_id service;
		endpoint request_endpoint;
		bool leaving{};
		/// Predicted slowdown of the service by the batch work that runs on the worker, as a fraction: with 0.1, its
		/// latency is 10 % higher.
		double predicted_slowdown{};
	};

	/// \brief From the control duty to the request duty: all targets, and the request configuration.
	struct directory
	{
		std::vector<request_target> request_targets;
		config_version version;
		request_config rules;
	};

	/// \brief From the request duty to the control duty: one completed request.
	struct completed_request
	{
		std::string id;
		service_id service;
		worker_id worker; ///< Of the last try; empty if the request was never sent.
		std::string outcome;
		int status{};
		int tries{};
		std::int64_t duration_us{};
		std::string reason;
	};
}
