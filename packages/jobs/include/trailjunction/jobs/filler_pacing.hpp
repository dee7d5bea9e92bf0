// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief How an agent slows fillers down so that the serving tasks beside them keep their latency targets.
#pragma once

#include "job_ids.hpp"

#include <trailjunction/core/units.hpp>

#include <span>
#include <vector>

namespace trailjunction
{
	/// \brief When fillers are slowed and when they recover.
	struct pacing_policy
	{
		double slow_above{0.8};    ///< Of a target: fillers are slowed at once.
		double recover_below{0.6}; ///< Of a target: fillers get more again.
		double slow_factor{0.5};   ///< By which the pace falls.
		int recover_step{15};      ///< Percent by which it rises.
		millis settle{700};        ///< Between two changes: a measure covers half a second and a change takes a tenth.
		int least_percent{5};      ///< Below this a filler stands still.
	};

	/// \brief A serving task and its last measure.
	struct serving_measure
	{
		millis target{};
		std::int64_t tail_ms{};
	};

	/// \brief The pace of all fillers of one worker.
	struct pacing_state
	{
		int percent{100};
		instant changed{};
	};

	/// \brief The pace that the fillers should have now.
	/// \returns Whether it differs from before.
	bool adjust_pace(pacing_state& state, std::span<const serving_measure> serving, const pacing_policy& policy,
					 instant now) noexcept;
}
