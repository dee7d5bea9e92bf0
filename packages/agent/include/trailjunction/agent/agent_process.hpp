// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief The agent as a process.
#pragma once

#include "settings.hpp"

#include <trailjunction/net/program.hpp>

namespace trailjunction
{
	/// \brief Runs an agent until it is told to stop.
	/// \details Two duties, each a thread: requests, and control of runs. They are joined by two bounded rings.
	[[nodiscard]] exit_code run_agent(const agent_settings& settings);
}
