// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Identifiers of jobs, their tasks and queues.
#pragma once

#include "worker_incarnation.hpp"

#include <trailjunction/core/strong_id.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace trailjunction
{
	using job_id = strong_id<struct job_tag>;     ///< One job; chosen by the client, never reused.
	using queue_id = strong_id<struct queue_tag>; ///< One queue of jobs.

	/// \brief Identifies one task.
	struct task_key
	{
		job_id job;
		std::uint32_t occurrence{}; ///< Occurrence of a repeated job, counted from 0.
		std::uint32_t group{};      ///< Group in the job's graph, counted from 0.
		std::uint32_t index{};      ///< Index within the group, counted from 0.

		[[nodiscard]] friend auto operator<=>(const task_key&, const task_key&) = default;

		template <typename Hash>
		friend Hash AbslHashValue(Hash state, const task_key& key)
		{
			return Hash::combine(std::move(state), key.job, key.occurrence, key.group, key.index);
		}
	};

	/// \brief Whether two tasks belong to the same occurrence of the same job.
	[[nodiscard]] inline bool same_occurrence(const task_key& left, const task_key& right) noexcept
	{
		return left.job == right.job && left.occurrence == right.occurrence;
	}

	/// \brief Whether two tasks belong to the same group of the same occurrence.
	[[nodiscard]] inline bool same_group(const task_key& left, const task_key& right) noexcept
	{
		return same_occurrence(left, right) && left.group == right.group;
	}

	/// \brief The first task of a task's group and occurrence; used as the key of the group.
	[[nodiscard]] inline task_key first_of_group(task_key task) noexcept
	{
		task.index = 0;
		return task;
	}

	/// \brief Identifies one run of a task.
	struct task_run
	{
		task_key task;
		std::uint32_t run{}; ///< Counted from 1.

		[[nodiscard]] friend auto operator<=>(const task_run&, const task_run&) = default;

		template <typename Hash>
		friend Hash AbslHashValue(Hash state, const task_run& run_id)
		{
			return Hash::combine(std::move(state), run_id.task, run_id.run);
		}
	};

	/// \brief `JOB/OCCURRENCE/GROUP/INDEX`, for logs.
	[[nodiscard]] std::string to_string(const task_key& key);
}
