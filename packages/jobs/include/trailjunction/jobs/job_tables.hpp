// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief The tables and keys under which the store keeps jobs.
#pragma once

#include "job_ids.hpp"

#include <string>

namespace trailjunction
{
	inline constexpr const char* job_partition = "jobs-0";  ///< Of the one shard that there is.
	inline constexpr const char* owner_table = "job_owner"; ///< One row: who owns the shard.
	inline constexpr const char* owner_key = "owner";
	inline constexpr const char* submissions_table = "job_submissions"; ///< Jobs as handed in, and their cancellations.
	inline constexpr const char* progress_table = "job_progress";       ///< How far jobs are.
	inline constexpr const char* agents_table = "job_agents";           ///< Where agents take links.
	inline constexpr const char* workers_table = "job_workers";         ///< Which worker each agent was seen with.

	/// \brief Ends the key of a cancellation in submissions_table; sorts behind the job's own key.
	inline constexpr const char* cancellation_suffix = ".cancelled";

	/// \brief The key of a job's cancellation.
	[[nodiscard]] inline std::string cancellation_key(const job_id& id)
	{
		return id.str() + cancellation_suffix;
	}
}
