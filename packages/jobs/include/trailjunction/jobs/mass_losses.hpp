// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Clears tasks of crashes in which nearly all workers went down at the same time.
/// \details A power loss of a fleet or of a data centre says nothing about the tasks that ran there. How likely a
/// worker would have gone down without its tasks is estimated from the others of its fleet or data centre. Workers that
/// the same job, or any run that had just been started, may have crashed are no evidence, so a job that crashes all of
/// its workers at once is not cleared.
#pragma once

#include "job_table.hpp"

#include <cstddef>
#include <span>
#include <vector>

namespace trailjunction
{
	/// \brief A worker that is known to be up.
	struct worker_sighting
	{
		instant known_since{};   ///< When this incarnation became known; the epoch if a previous owner knew it.
		instant last_response{}; ///< When it last answered its agent.
		data_centre_id data_centre;
	};

	/// \brief Probability that a worker goes down if \p lost others did and \p survived did not; 0.5 without evidence.
	/// \details Laplace's rule of succession, so that a few workers prove little: 9 of 9 give 0.91.
	[[nodiscard]] constexpr double chance_of_loss(std::size_t lost, std::size_t survived) noexcept
	{
		return static_cast<double>(lost + 1) / static_cast<double>(lost + survived + 2);
	}

	/// \brief Stops counting the crashes of workers that would have gone down without their tasks.
	/// \param sightings The present incarnation of each worker. One that was known before a crash and has answered
	/// since then has survived it.
	/// \returns Tasks against which a crash no longer counts.
	std::vector<task_key> clear_mass_losses(job_table& table, std::span<const worker_sighting> sightings,
											const crash_policy& policy);
}
