// SPDX-License-Identifier: MIT
/// \file
/// \brief Umbrella header of the agent package.
#pragma once

#include "agent/agent_process.hpp"
#include "agent/job_agent_process.hpp"
#include "agent/job_agent_settings.hpp"
#include "agent/settings.hpp"
#include "agent/worker_port.hpp"
