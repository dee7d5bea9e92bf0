// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Settings of the agent that serves requests; see job_agent_settings.hpp for those of the job agent.
#pragma once

#include <trailjunction/core/ids.hpp>
#include <trailjunction/core/units.hpp>
#include <trailjunction/decide/process/protocol_times.hpp>
#include <trailjunction/net/endpoint.hpp>

#include <absl/status/statusor.h>
#include <boost/json/value.hpp>

#include <optional>

namespace trailjunction
{
	/// \brief Settings of one agent; see docs/OPERATORS.md.
	struct agent_settings
	{
		worker_id worker;
		data_centre_id data_centre;
		rack_id rack;
		service_id service;               ///< Service that the upstream serves.
		std::optional<endpoint> requests; ///< Listen address for request links.
		std::optional<endpoint> control;  ///< Listen address for control links.
		std::optional<endpoint> admin;    ///< Listen address for metrics and health checks.
		std::optional<endpoint> upstream;
		std::optional<endpoint> platform;
		std::optional<endpoint> collector; ///< Trace collector; without one no traces are exported.
		resources capacity{4'000, 8'192, 0};
		protocol_times times;
		millis stop_within{15'000};     ///< Time limit of a graceful shutdown.
		millis checkpoint_every{2'000}; ///< Interval between two checkpoints of a task.
	};

	/// \brief Parses and validates the settings.
	/// \returns The settings, or an error that lists every fault.
	[[nodiscard]] absl::StatusOr<agent_settings> read_agent_settings(const boost::json::value& value);
}
