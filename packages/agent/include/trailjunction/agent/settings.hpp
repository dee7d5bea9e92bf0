// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Settings of the agent.
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
	/// \brief What one agent is told at its start; see docs/OPERATORS.md.
	struct agent_settings
	{
		worker_id worker;
		data_centre_id data_centre;
		rack_id rack;
		service_id service;               ///< That the upstream serves.
		std::optional<endpoint> requests; ///< Where request links are taken.
		std::optional<endpoint> control;  ///< Where control links are taken.
		std::optional<endpoint> admin;    ///< Where metrics and health are served.
		std::optional<endpoint> upstream;
		std::optional<endpoint> platform;
		std::optional<endpoint> collector; ///< Of traces; absent: nowhere.
		resources capacity{4'000, 8'192, 0};
		protocol_times times;
		millis stop_within{15'000};     ///< The longest that a planned stop takes.
		millis checkpoint_every{2'000}; ///< Between two checkpoints of a task.
	};

	/// \brief Checks everything and names every fault.
	[[nodiscard]] absl::StatusOr<agent_settings> read_agent_settings(const boost::json::value& value);
}
