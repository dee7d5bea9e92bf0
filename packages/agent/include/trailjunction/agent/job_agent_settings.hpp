// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Settings of an agent that runs tasks of jobs; see settings.hpp for those of the agent that serves requests.
#pragma once

#include <trailjunction/core/ids.hpp>
#include <trailjunction/core/units.hpp>
#include <trailjunction/net/endpoint.hpp>

#include <absl/status/statusor.h>
#include <boost/json/value.hpp>

#include <optional>
#include <string>

namespace trailjunction
{
	/// \brief Settings of one agent; see docs/OPERATORS.md.
	struct job_agent_settings
	{
		worker_id worker; ///< Name of the worker; it stays the same after a restart.
		std::string data_centre;
		std::optional<endpoint> heartbeats; ///< Listen address for the worker's heartbeats.
		std::optional<endpoint> links;      ///< Listen address for links from owners of jobs.
		std::optional<endpoint> metrics;
		std::optional<endpoint> store;
		millis longest_run_lease{6'000}; ///< The worker shortens longer leases to this.
		/// Maximum continuous time for which fillers may hold a serving task above its target.
		millis harm_limit{4'000};
		millis stop_within{4'000}; ///< Time limit of a graceful shutdown.
	};

	/// \brief Parses and validates the settings.
	/// \returns The settings, or an error that lists every fault.
	[[nodiscard]] absl::StatusOr<job_agent_settings> read_job_agent_settings(const boost::json::value& value);
}
