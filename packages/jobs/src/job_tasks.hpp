// SPDX-License-Identifier: MIT
/// \file
/// \brief Finds the tasks, runs and gang members that a change of a job affects.
/// \details Internal helpers of job_table.cpp and job_crashes.cpp.
#pragma once

#include <trailjunction/jobs/job_table.hpp>

#include <span>

namespace trailjunction
{
	[[nodiscard]] inline const task_group& group_of(const job_state& job, const task_key& key)
	{
		return job.spec.groups[key.group];
	}

	/// \brief Whether a worker has, or is about to get, a run of the task.
	[[nodiscard]] inline bool is_placed(const job_task& task) noexcept
	{
		return task.phase == task_stage::ordered || task.phase == task_stage::running;
	}

	/// \brief The task if the named run is its latest one and still placed; otherwise nullptr.
	[[nodiscard]] inline job_task* placed_run(const job_table& table, const task_run& run_id)
	{
		auto* task = find_task(table, run_id.task);
		return task != nullptr && task->run == run_id.run && is_placed(*task) ? task : nullptr;
	}

	/// \brief All tasks of a task's group and occurrence; for a gang, its members.
	template <typename Job>
	[[nodiscard]] auto siblings_of(Job& job, const task_key& key)
	{
		const auto first = task_index(job, {key.job, key.occurrence, key.group, 0});
		return std::span{job.tasks}.subspan(first, group_of(job, key).count);
	}
}
