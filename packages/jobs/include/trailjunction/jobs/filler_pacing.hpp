// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief How an agent slows fillers down so that the serving tasks beside them keep their latency targets.
#pragma once

#include "job_ids.hpp"

#include <trailjunction/core/units.hpp>

#include <span>

namespace trailjunction
{
	/// \brief When fillers are slowed and when they recover.
	struct pacing_policy
	{
		double slow_above{0.8};    ///< Strain above which fillers are slowed at once.
		double aim{0.65};          ///< Strain that slowing aims at.
		double recover_below{0.6}; ///< Strain below which fillers get more again.
		int recover_step{20};      ///< Percent by which a pace rises.
		millis settle{600};        ///< Between two changes: a measure covers half a second and a change takes a tenth.
		int least_percent{8};      ///< Below this a filler stands still.
	};

	/// \brief A filler and what it does to the serving tasks.
	struct paced_filler
	{
		double pressure{}; ///< On ln(strain), per processor; see filler_pressure.hpp.
		double cpus{};     ///< That it uses now.
		int percent{100};  ///< Its pace.
	};

	/// \brief Changes the paces of a worker's fillers, the heaviest first.
	/// \param strain The worst latency tail of the worker's serving tasks as a share of its target.
	/// \returns Whether any pace differs from before.
	bool adjust_paces(std::span<paced_filler> fillers, double strain, const pacing_policy& policy);
}
