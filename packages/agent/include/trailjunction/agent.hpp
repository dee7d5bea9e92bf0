// SPDX-License-Identifier: MIT
/// \file
/// \brief Umbrella header of the agent package.
#pragma once

#include "agent/agent_process.hpp"
#include "agent/settings.hpp"
