// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Conversions between decisions about runs and the messages about them.
#pragma once

#include "shard_keeper.hpp"

#include <trailjunction/decide/process/sighting.hpp>

#include <wire_types.h>

#include <string>

namespace trailjunction
{
	[[nodiscard]] run_sighting sighting_of(const wire::run_report& report);
	[[nodiscard]] wire::confirmed_run confirmed(const run_sighting& sighting, const shard_keeper& keeper);
	[[nodiscard]] wire::envelope stop_message(const run_sighting& sighting, const shard_keeper& keeper);
	[[nodiscard]] wire::envelope start_message(const task_state& task, const shard_keeper& keeper,
											   std::int64_t stamp_ms);
	[[nodiscard]] wire::envelope order_message(const task_state& task, const shard_keeper& keeper, wire::run_order what,
											   const std::string& reason);
}
