// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief The entry as a process.
#pragma once

#include "settings.hpp"

#include <trailjunction/net/program.hpp>

namespace trailjunction
{
	/// \brief Runs an entry until it is told to stop.
	/// \details Three duties, each a thread: requests, control (tasks, workers, operators), and export of traces. They
	/// are joined by bounded rings.
	[[nodiscard]] exit_code run_entry(const entry_settings& settings);
}
