// SPDX-License-Identifier: MIT
/// \file
/// \brief How the functions that change a job find its tasks.
#pragma once

#include <trailjunction/jobs/job_table.hpp>

#include <span>

namespace trailjunction
{
	[[nodiscard]] inline const task_group& group_of(const job_state& job, const task_key& key)
	{
		return job.spec.groups[key.group];
	}

	/// \brief Whether a worker has a run of the task, or is about to get it.
	[[nodiscard]] inline bool is_placed(const job_task& task) noexcept
	{
		return task.phase == task_stage::ordered || task.phase == task_stage::running;
	}

	/// \brief The latest run of the task, if it is the one named and still counts as placed.
	[[nodiscard]] inline job_task* placed_run(const job_table& table, const task_run& what)
	{
		auto* task = find_task(table, what.task);
		return task != nullptr && task->run == what.run && is_placed(*task) ? task : nullptr;
	}

	/// \brief All tasks of a task's group and occurrence: if the group is a gang, the members.
	template <typename Job>
	[[nodiscard]] auto siblings_of(Job& job, const task_key& key)
	{
		const auto first = place_of(job, {key.job, key.occurrence, key.group, 0});
		return std::span{job.tasks}.subspan(first, group_of(job, key).count);
	}
}
