// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief The tables and keys under which the store keeps jobs.
#pragma once

#include "job_ids.hpp"

#include <cstddef>
#include <string>

namespace trailjunction
{
	/// \brief What the owner of the one shard that there is writes; its transactions follow each other.
	inline constexpr const char* job_partition = "jobs-0";
	inline constexpr const char* agent_partition = "agents"; ///< Of agents_table.
	inline constexpr const char* owner_table = "job_owner";  ///< One row: who owns the shard.
	inline constexpr const char* owner_key = "owner";
	inline constexpr const char* submissions_table = "job_submissions"; ///< Jobs as handed in, and their cancellations.
	inline constexpr const char* progress_table = "job_progress";       ///< How far jobs are.
	inline constexpr const char* agents_table = "job_agents";           ///< Where agents take links.
	inline constexpr const char* workers_table = "job_workers";         ///< Which worker each agent was seen with.
	inline constexpr const char* pressures_table = "job_pressures";     ///< One row: what was learnt of fillers.
	inline constexpr const char* pressures_key = "pairs";

	/// \brief Ends the key of a cancellation in submissions_table; sorts behind the job's own key.
	inline constexpr const char* cancellation_suffix = ".cancelled";

	/// \brief Partitions of submissions_table. The store takes the transactions of one partition one after another, so
	/// a slow store that had them all in one would take none: 60 times slower than usual, one partition takes five a
	/// second. Eight take what both deployments hand in then, and cost a new owner eight reads side by side.
	inline constexpr std::size_t submission_partitions = 8;

	/// \brief The name of one of submission_partitions.
	[[nodiscard]] std::string submission_partition(std::size_t number);

	/// \brief The partition in which a job's rows of submissions_table are.
	[[nodiscard]] std::string submission_partition(const job_id& id);

	/// \brief The key of a job's cancellation.
	[[nodiscard]] inline std::string cancellation_key(const job_id& id)
	{
		return id.str() + cancellation_suffix;
	}
}
