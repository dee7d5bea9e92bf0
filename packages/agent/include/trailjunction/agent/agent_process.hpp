// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Process of the agent that serves requests and runs tasks under platform leases; see job_agent_process.hpp for
/// the agent that runs tasks of jobs.
#pragma once

#include "settings.hpp"

#include <trailjunction/net/program.hpp>

namespace trailjunction
{
	/// \brief Runs an agent until it receives a stop signal.
	/// \details The request duty and the control duty each run on their own thread. Two bounded rings connect them.
	[[nodiscard]] exit_code run_agent(const agent_settings& settings);
}
