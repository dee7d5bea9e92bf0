// SPDX-License-Identifier: MIT
#include "job_tasks.hpp"

#include <trailjunction/jobs/planned_moves.hpp>

#include <algorithm>

namespace trailjunction
{
	std::string_view to_string(move_reason reason) noexcept
	{
		switch (reason)
		{
		case move_reason::arrangement:
			return "arrangement";
		case move_reason::shrunk_room:
			return "shrunk_room";
		case move_reason::upkeep:
			return "upkeep";
		}
		return "unnamed";
	}

	std::uint32_t absent_tasks(const job_state& job, std::uint32_t occurrence, std::uint32_t group)
	{
		const auto tasks = siblings_of(job, {job.id, occurrence, group, 0});
		const auto absent =
			std::count_if(tasks.begin(), tasks.end(), [](const job_task& task) { return !task.is_serving; });
		return static_cast<std::uint32_t>(absent);
	}

	bool may_move(const job_state& job, const task_key& key)
	{
		const auto& group = group_of(job, key);
		if (group.gang)
			return false;
		if (!group.long_running)
			return group.checkpointing;
		// Moving a task that does not serve adds no absence.
		const auto& task = job.tasks[task_index(job, key)];
		const auto other_absences = absent_tasks(job, key.occurrence, key.group) - (task.is_serving ? 0 : 1);
		return other_absences < group.max_unavailable;
	}

	bool begin_move(job_table& table, const task_key& key, move_reason reason, instant now)
	{
		const auto* job = find_job(table, key.job);
		auto* task = find_task(table, key);
		if (job == nullptr || task == nullptr || task->phase != task_stage::running)
			return false;
		const task_run run_id{key, task->run};
		if (has_ended(job->status) || table.moves.contains(run_id) || !may_move(*job, key))
			return false;
		table.moves.emplace(run_id, planned_move{reason, now});
		task->is_serving = false;
		return true;
	}

	void note_at_work(job_table& table, const task_run& run_id, bool at_work) noexcept
	{
		auto* task = find_task(table, run_id.task);
		if (task != nullptr && task->run == run_id.run && task->phase == task_stage::running)
			task->is_serving = at_work && !table.moves.contains(run_id);
	}
}
