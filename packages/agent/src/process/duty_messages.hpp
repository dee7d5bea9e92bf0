// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief What the agent's two duties tell each other.
#pragma once

#include <trailjunction/core/units.hpp>

#include <cstdint>

namespace trailjunction
{
	/// \brief From the control duty to the request duty.
	struct request_rules
	{
		std::int64_t slots{8};
		std::int64_t queue{16};
		bool leaving{};
	};

	/// \brief From the request duty to the control duty: how requests fared in one interval.
	struct request_summary
	{
		instant from{};
		instant to{};
		std::int64_t count{};
		std::int64_t p50_us{};
		std::int64_t p99_us{};
		std::int64_t held{}; ///< Requests running and queued at the end of it.
	};
}
