// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Messages between the request duty and the control duty of an agent.
#pragma once

#include <trailjunction/core/units.hpp>

#include <cstdint>

namespace trailjunction
{
	/// \brief Admission limits of the request duty, set by the control duty.
	struct request_rules
	{
		std::int64_t slots{8};
		std::int64_t queue{16};
		bool leaving{};
	};

	/// \brief Request statistics of one interval, reported by the request duty to the control duty.
	struct request_summary
	{
		instant from{};
		instant to{};
		std::int64_t count{};
		std::int64_t p50_us{};
		std::int64_t p99_us{};
		std::int64_t pending{}; ///< Requests running or queued at the end of the interval.
	};
}
