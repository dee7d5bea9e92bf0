// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief What a client specifies when it submits a job.
#pragma once

#include <trailjunction/core/units.hpp>

#include <absl/status/status.h>

#include <cstdint>
#include <string>
#include <vector>

namespace trailjunction
{
	/// \brief A number of identical tasks.
	struct task_group
	{
		std::uint32_t count{1};
		resources claim;                  ///< Resources of each task.
		millis estimate{};                ///< The client's estimate of a task's run time.
		std::vector<std::uint32_t> after; ///< Earlier groups that must be done first.
		bool checkpointing{};
		bool gang{};                      ///< All tasks run together or not at all.
		bool same_rack{};                 ///< The members of a gang run faster on one rack.
		std::string required_label;       ///< A label that the worker must have; empty: any worker.
		std::string preferred_rack;       ///< The rack that holds the data; empty: none.
		std::uint32_t per_worker_limit{}; ///< The most tasks of the group on one worker; 0: no limit.
		bool speculative{};               ///< Copies may run in parallel.
		bool long_running{};              ///< Runs until the job is cancelled; every end is followed by a new run.
		std::string image;                ///< Tasks of the same image behave alike.
		millis latency_target{};          ///< Of a task that serves callers; 0 for others.
		bool filler{}; ///< Runs on processor time that other tasks do not use; its cpu claim does not count.
		std::uint32_t max_unavailable{}; ///< Tasks of a long-running group that the system may stop at a time.
	};

	/// \brief The resources of its worker that a task of the group reserves: fillers run on processor time that other
	/// tasks do not use.
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
		std::string payload; ///< Opaque; passed to each task.
		std::vector<task_group> groups;
		std::uint32_t occurrences{1};
		std::int64_t first_due_ms{}; ///< Due time of occurrence 0, in Unix time; only if the job is repeated.
		millis interval{};           ///< Between the due times of two occurrences.
		bool repeated{};             ///< Its occurrences wait for their due times.
	};

	/// \brief The due time of an occurrence of a repeated job, in Unix time.
	[[nodiscard]] constexpr std::int64_t due_ms(const job_spec& spec, std::uint32_t occurrence) noexcept
	{
		return spec.first_due_ms + occurrence * spec.interval.count();
	}

	/// \brief The most tasks that one job may have over all occurrences. The progress of a task takes 34 to 50 bytes
	/// unless its runs crash, and that of all tasks has to fit into progress_limits::total_bytes.
	inline constexpr std::uint64_t max_tasks_per_job = 10'000;

	/// \brief The most tasks that a stored job may have; earlier versions accepted as many.
	inline constexpr std::uint64_t max_tasks_per_stored_job = 20'000;

	/// \brief Rejects what no queue could run: a graph in the wrong order, no tasks, too many tasks.
	/// \returns invalid_argument that names the group and the fault.
	[[nodiscard]] absl::Status validate(const job_spec& spec, std::uint64_t max_tasks = max_tasks_per_job);
}
