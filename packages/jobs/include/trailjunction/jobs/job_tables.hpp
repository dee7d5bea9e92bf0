// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Names of the store's tables, partitions and keys for jobs.
/// \details job_table.hpp holds the jobs in memory; job_rows.hpp encodes the rows.
#pragma once

#include "job_ids.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace trailjunction
{
	/// \brief Partition of the rows that the owner of the only shard writes; its transactions are serialized.
	inline constexpr const char* job_partition = "jobs-0";
	inline constexpr const char* agent_partition = "agents"; ///< Partition of agents_table.
	/// The row of the owner of the shard, and further rows with depths and forecasts that do not fit into it. A further
	/// row is valid if it has the version of the owner's row.
	inline constexpr const char* owner_table = "job_owner";
	inline constexpr const char* owner_key = "owner";
	inline constexpr const char* submissions_table = "job_submissions"; ///< Submitted jobs, and their cancellations.
	/// Ids of jobs that were cancelled before their submission was stored; no such submission is stored any more. In
	/// the partition of the submission, and a table of its own, so that owners neither follow nor load it.
	inline constexpr const char* cancelled_ids_table = "job_cancelled_ids";
	inline constexpr const char* progress_table = "job_progress";   ///< Progress of jobs.
	inline constexpr const char* agents_table = "job_agents";       ///< Addresses at which agents accept connections.
	inline constexpr const char* workers_table = "job_workers";     ///< The worker that each agent was last seen with.
	inline constexpr const char* pressures_table = "job_pressures"; ///< The learnt pressures of fillers.
	inline constexpr const char* pressures_key = "digests";         ///< The pressures by digests of image names.
	inline constexpr const char* named_pressures_key = "pairs";     ///< The row of earlier versions, with the names.

	/// \brief Suffix of the key of a cancellation in submissions_table; sorts after the job's own key.
	inline constexpr const char* cancellation_suffix = ".cancelled";

	/// \brief Number of partitions of submissions_table. The store serializes the transactions of one partition: when
	/// it is 60 times slower than usual, one partition accepts five a second, too few for all submissions. Eight accept
	/// what both deployments submit even then, and cost a new owner eight parallel reads.
	inline constexpr std::size_t submission_partitions = 8;

	/// \brief The name of one of submission_partitions.
	[[nodiscard]] std::string submission_partition(std::size_t number);

	/// \brief The partition that holds a job's rows in submissions_table.
	[[nodiscard]] std::string submission_partition(const job_id& id);

	/// \brief The key of a row of owner_table.
	/// \param row Its index, from 0; the first row is that of the owner and sorts before the others.
	[[nodiscard]] std::string ownership_key(std::size_t row);

	/// \brief The key of a row with the progress of a job.
	/// \param row Its index, from 0; the first row has the id of the job as its key and sorts before the others.
	[[nodiscard]] std::string progress_key(const job_id& id, std::size_t row);

	/// \brief The job whose progress a row holds, by the key of the row.
	[[nodiscard]] job_id job_of_progress_key(std::string_view key);

	/// \brief The key of a job's cancellation.
	[[nodiscard]] inline std::string cancellation_key(const job_id& id)
	{
		return id.str() + cancellation_suffix;
	}
}
