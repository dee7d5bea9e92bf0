// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Settings of an agent that runs tasks of jobs.
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
	/// \brief What one agent is told at its start; see docs/OPERATORS.md.
	struct job_agent_settings
	{
		worker_id worker; ///< Its name, the same after a restart.
		std::string data_centre;
		std::optional<endpoint> heartbeats; ///< Where its worker sends heartbeats.
		std::optional<endpoint> links;      ///< Where owners of jobs connect.
		std::optional<endpoint> metrics;
		std::optional<endpoint> store;
		millis longest_run_lease{6'000}; ///< The worker cuts longer ones down.
		millis harm_limit{4'000};        ///< The longest that fillers may keep a serving task over its target on end.
		millis stop_within{4'000};       ///< The longest that a planned stop takes.
	};

	/// \brief Checks everything and names every fault.
	[[nodiscard]] absl::StatusOr<job_agent_settings> read_job_agent_settings(const boost::json::value& value);
}
