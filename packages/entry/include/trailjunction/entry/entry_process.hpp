// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief The process of an entry that serves requests and tasks.
#pragma once

#include "settings.hpp"

#include <trailjunction/net/program.hpp>

namespace trailjunction
{
	/// \brief Runs an entry until a stop signal.
	/// \details Uses one thread each for requests, for control (tasks, workers, operators) and for the export of
	/// traces. The threads communicate through bounded rings.
	[[nodiscard]] exit_code run_entry(const entry_settings& settings);
}
