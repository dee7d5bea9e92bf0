// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Waves of upkeep: operators ask that each of some instances gets its upkeep in time, a few at once.
#pragma once

#include "job_ids.hpp"

#include <trailjunction/core/ids.hpp>
#include <trailjunction/core/units.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace trailjunction
{
	using wave_id = strong_id<struct wave_tag>;         ///< One wave; chosen by the operator.
	using instance_id = strong_id<struct instance_tag>; ///< One instance; outlives the workers on it.

	/// \brief What an operator asks for.
	struct upkeep_wave
	{
		wave_id id;
		std::vector<instance_id> instances;
		millis within{};               ///< From the request to the last upkeep's begin.
		std::uint32_t most_at_once{1}; ///< Instances of the wave that may be down for their upkeep at a time.
	};

	/// \brief Where one instance of a wave stands; kept in a row, so that a successor goes on there.
	enum class upkeep_stage : std::uint8_t
	{
		waiting = 0,  ///< Nothing was done about it.
		emptying = 1, ///< Its worker gets nothing new, and what callers would miss goes elsewhere.
		ordered = 2,  ///< The order may have been carried out.
		down = 3,     ///< The instance is down for its upkeep.
		done = 4,     ///< A new worker runs there.
		gone = 5,     ///< The instance is there no more.
	};

	/// \brief One instance of a wave.
	struct instance_upkeep
	{
		instance_id instance;
		upkeep_stage stage{upkeep_stage::waiting};
		worker_life worker; ///< Beside it, when its upkeep was ordered.
		instant since{};    ///< Of the present stage; of this process only.
	};

	/// \brief How a wave stands.
	struct wave_progress
	{
		upkeep_wave wave;
		std::vector<instance_upkeep> instances; ///< One for each of the wave's.
		instant asked{};                        ///< When this process learnt of it.
	};

	/// \brief Whether each instance of the wave that is still there has had its upkeep.
	[[nodiscard]] bool is_completed(const wave_progress& wave) noexcept;

	/// \brief Instances that may be down now, by what may have been ordered.
	[[nodiscard]] std::uint32_t may_be_down(const wave_progress& wave) noexcept;
}
