// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief What a client asks for when it hands in a job.
#pragma once

#include <trailjunction/core/units.hpp>

#include <absl/status/status.h>

#include <cstdint>
#include <string>
#include <vector>

namespace trailjunction
{
	/// \brief A number of like tasks.
	struct task_group
	{
		std::uint32_t count{1};
		resources claim;                  ///< Of each task.
		millis estimate{};                ///< The client's guess of a task's run time.
		std::vector<std::uint32_t> after; ///< Earlier groups that have to be done first.
		bool checkpointing{};
		bool gang{};                      ///< All tasks run together or not at all.
		bool same_rack{};                 ///< The members of a gang work faster on one rack.
		std::string required_label;       ///< A label that the worker must have; empty: any worker.
		std::string preferred_rack;       ///< The rack that holds the data; empty: none.
		std::uint32_t per_worker_limit{}; ///< The most tasks of the group on one worker; 0: no limit.
		bool speculative{};               ///< Copies may run side by side.
		bool long_running{};              ///< Runs until the job is cancelled; every end is followed by a new run.
		std::string image;                ///< Tasks of one image behave alike.
		millis latency_target{};          ///< Of a task that serves callers; 0 for others.
		bool filler{};                    ///< Lives on processor time that others leave; its cpu claim is not counted.
		std::uint32_t may_be_away{};      ///< Tasks of a long-running group that the system may take away at a time.
	};

	/// \brief What a task of the group takes of its worker's room: fillers live on processor time that others leave.
	[[nodiscard]] constexpr resources counted_claim(const task_group& group) noexcept
	{
		auto claim = group.claim;
		if (group.filler)
			claim.cpu_milli = 0;
		return claim;
	}

	/// \brief A job.
	struct job_spec
	{
		std::string payload; ///< Handed to each task unread.
		std::vector<task_group> groups;
		std::uint32_t occurrences{1};
		std::int64_t first_due_ms{}; ///< Of occurrence 0, in Unix time; only where the job is repeated.
		millis interval{};           ///< Between the due times of two occurrences.
		bool repeated{};             ///< Its occurrences wait for their due times.
	};

	/// \brief When an occurrence of a repeated job is due, in Unix time.
	[[nodiscard]] constexpr std::int64_t due_ms(const job_spec& spec, std::uint32_t occurrence) noexcept
	{
		return spec.first_due_ms + occurrence * spec.interval.count();
	}

	/// \brief The most tasks that one job may have over all occurrences; bounds the row that its progress takes.
	inline constexpr std::uint64_t most_tasks = 20'000;

	/// \brief Checks what no queue could carry out: a graph that is not ordered, no tasks, too many tasks.
	/// \returns invalid_argument that names the group and the fault.
	[[nodiscard]] absl::Status check(const job_spec& spec);
}
