// SPDX-License-Identifier: MIT
#include "job_tasks.hpp"

#include <trailjunction/jobs/job_crashes.hpp>

#include <algorithm>
#include <span>

namespace trailjunction
{
	namespace
	{
		void remove_placement(job_table& table, const task_key& key, const worker_incarnation& worker)
		{
			const auto found = table.placed.find(worker);
			if (found == table.placed.end())
				return;
			table.changed_workers.insert(worker);
			found->second.erase(key);
			if (found->second.empty())
				table.placed.erase(found);
		}

		void remove_from_worker(job_table& table, const task_key& key, job_task& task)
		{
			remove_placement(table, key, task.worker);
			table.moves.erase({key, task.run});
			task.worker = worker_incarnation{};
			task.is_serving = false;
			task.stop_ordered_at = instant{};
			task.measurement = 0;
		}

		/// The run number for a task that is about to be placed. Members of a gang are placed one after the other: the
		/// first begins a new run, the others join it.
		std::uint32_t next_run(job_state& job, const task_key& key, const job_task& task)
		{
			if (!group_of(job, key).gang)
				return task.run + 1;
			std::uint32_t highest = 0;
			bool placed = false;
			for (const auto& member : siblings_of(job, key))
			{
				if (member.run > highest)
					placed = false;
				highest = std::max(highest, member.run);
				placed = placed || (is_placed(member) && member.run == highest);
			}
			return placed && task.run < highest ? highest : highest + 1;
		}

		/// Whether a member of a gang waits for members that are no longer placed.
		bool has_lost_members(job_state& job, const task_key& key, std::uint32_t run)
		{
			if (!group_of(job, key).gang)
				return false;
			const auto members = siblings_of(job, key);
			return !std::all_of(members.begin(), members.end(),
								[&](const job_task& member) { return is_placed(member) && member.run == run; });
		}

		/// All members of a gang resume from the same checkpoint, whichever of them wrote it.
		void store_checkpoint(job_state& job, const task_key& key, job_task& task, const std::string& checkpoint)
		{
			if (checkpoint.empty())
				return;
			task.checkpoint = checkpoint;
			if (group_of(job, key).gang)
				for (auto& member : siblings_of(job, key))
					member.checkpoint = checkpoint;
		}

		/// A gang fails as a whole, and at most once per run, however many of its members report a failure.
		void count_failure(job_state& job, const task_key& key, job_task& task, const worker_incarnation& worker)
		{
			task.failed_on = worker;
			if (!group_of(job, key).gang)
			{
				++task.failures;
				return;
			}
			for (auto& member : siblings_of(job, key))
			{
				if (member.failed_run < task.run)
					++member.failures;
				member.failed_run = std::max(member.failed_run, task.run);
			}
		}

		bool all_done(const job_state& job)
		{
			return std::all_of(job.tasks.begin(), job.tasks.end(),
							   [](const job_task& task) { return task.phase == task_stage::done; });
		}

		/// Ends all members of a gang after one of them has ended `done`.
		void finish_gang(job_table& table, job_state& job, const task_key& key, instant now)
		{
			auto other = key;
			for (other.index = 0; other.index < group_of(job, key).count; ++other.index)
			{
				auto& member = *find_task(table, other);
				if (is_placed(member))
					remove_from_worker(table, other, member);
				member.phase = task_stage::done;
				member.crashes = {};
				member.phase_since = now;
			}
		}

		/// Appends the runs of one job that have to stop.
		/// \returns Whether the job has any runs.
		bool append_runs_to_stop(job_state& job, std::vector<task_run>& out)
		{
			bool any = false;
			for (std::size_t i = 0; i < job.tasks.size(); ++i)
			{
				if (!is_placed(job.tasks[i]))
					continue;
				any = true;
				auto key = task_key_at(job, i);
				if (has_ended(job.status) || has_lost_members(job, key, job.tasks[i].run))
					out.push_back({std::move(key), job.tasks[i].run});
			}
			return any;
		}

		/// Records the run time of a successful run. Later runs resume and members of a gang wait for each other, so
		/// their times are ignored.
		void record_run_time(job_table& table, job_state& job, const task_run& run_id, const job_task& task,
							 instant now)
		{
			const auto& group = group_of(job, run_id.task);
			if (run_id.run != 1 || group.gang || task.ordered_at == instant{})
				return;
			auto& took = job.first_run_times[run_id.task.group];
			if (took.count() > 0)
				return; // the first run to end had the least delay
			took = std::max(millis{1}, std::chrono::duration_cast<millis>(now - task.ordered_at));
			learn_run_time(table.run_time_model, job.queue.queue, group.estimate, took);
		}

		/// Ends a job on request; its runs are stopped later.
		bool end_job(job_table& table, const job_id& id, job_status status)
		{
			auto* job = find_job(table, id);
			if (job == nullptr || has_ended(job->status))
				return false;
			job->status = status;
			table.stop_candidates.insert(id);
			table.unsaved.insert(id);
			return true;
		}

		/// The phase of a task after a run that did not end `done`.
		task_stage phase_after(const job_state& job, const task_group& group, const job_task& task)
		{
			const bool attempts_used_up = task.failures >= static_cast<std::uint32_t>(job.queue.max_attempts);
			return attempts_used_up && !group.long_running ? task_stage::failed : task_stage::waiting;
		}
	}

	std::string_view to_string(run_outcome outcome) noexcept
	{
		switch (outcome)
		{
		case run_outcome::done:
			return "done";
		case run_outcome::failed:
			return "failed";
		case run_outcome::stopped:
			return "stopped";
		case run_outcome::lapsed:
			return "lapsed";
		case run_outcome::gang_broken:
			return "broken";
		case run_outcome::gang_incomplete:
			return "alone";
		}
		return "unnamed";
	}

	job_state* find_job(const job_table& table, const job_id& id) noexcept
	{
		const auto found = table.jobs.find(id);
		return found == table.jobs.end() ? nullptr : found->second.get();
	}

	bool is_known(const job_table& table, const job_id& id) noexcept
	{
		return table.jobs.contains(id) || table.ended.contains(id);
	}

	std::vector<job_id> archive_ended_jobs(job_table& table)
	{
		std::vector<job_id> out;
		for (const auto& [id, job] : table.jobs)
		{
			if (!has_ended(job->status) || job->ended_ms == 0 || table.unsaved.contains(id))
				continue;
			if (std::none_of(job->tasks.begin(), job->tasks.end(), is_placed))
				out.push_back(id);
		}
		for (const auto& id : out)
		{
			const auto found = table.jobs.find(id);
			table.ended[id] = found->second->ended_ms;
			table.stop_candidates.erase(id);
			table.jobs.erase(found);
		}
		return out;
	}

	job_task* find_task(const job_table& table, const task_key& key) noexcept
	{
		auto* job = find_job(table, key.job);
		if (job == nullptr)
			return nullptr;
		const auto position = task_index(*job, key);
		return position < job->tasks.size() ? &job->tasks[position] : nullptr;
	}

	bool add_job(job_table& table, job_state job)
	{
		if (is_known(table, job.id))
			return false;
		for (std::size_t i = 0; i < job.tasks.size(); ++i)
			if (is_placed(job.tasks[i]))
			{
				table.placed[job.tasks[i].worker].insert(task_key_at(job, i));
				table.changed_workers.insert(job.tasks[i].worker);
			}
			else if (job.tasks[i].held_until != instant{})
				table.held_back.insert(task_key_at(job, i));
		const bool gangs = std::any_of(job.spec.groups.begin(), job.spec.groups.end(),
									   [](const task_group& group) { return group.gang; });
		if (gangs || has_ended(job.status))
			table.stop_candidates.insert(job.id);
		note_work(table.queue_mean_work[job.queue.queue], total_work(job.spec, expected_times(table, job)));
		auto id = job.id;
		table.jobs.emplace(std::move(id), std::make_unique<job_state>(std::move(job)));
		return true;
	}

	bool cancel_job(job_table& table, const job_id& id)
	{
		return end_job(table, id, job_status::cancelled);
	}

	bool fail_job(job_table& table, const job_id& id)
	{
		return end_job(table, id, job_status::failed);
	}

	task_run assign(job_table& table, const task_key& key, const worker_incarnation& worker, instant now)
	{
		auto& job = *find_job(table, key.job);
		auto& task = *find_task(table, key);
		task.suspicion_at_start = effective_suspicion(job, key, now);
		task.phase = task_stage::ordered;
		task.worker = worker;
		task.phase_since = now;
		task.ordered_at = now;
		task.held_until = instant{};
		task.held_until_ms = 0;
		task.stop_ordered_at = instant{};
		task.is_listed = false;
		task.run = next_run(job, key, task);
		if (job.status == job_status::queued)
			job.status = job_status::running;
		table.placed[worker].insert(key);
		table.changed_workers.insert(worker);
		table.unsaved.insert(key.job);
		return {key, task.run};
	}

	void confirm_run(job_table& table, const task_run& run_id, instant now)
	{
		auto* task = placed_run(table, run_id);
		if (task == nullptr || task->phase == task_stage::running)
			return;
		task->phase = task_stage::running;
		task->phase_since = now;
	}

	void note_idle_since(job_table& table, const task_key& key, instant when) noexcept
	{
		if (auto* task = find_task(table, key); task != nullptr)
			task->idle_since = std::min(task->idle_since, when);
	}

	end_effect end_run(job_table& table, const task_run& run_id, run_outcome outcome, const std::string& checkpoint,
					   instant now)
	{
		auto* task = placed_run(table, run_id);
		if (task == nullptr)
			return end_effect::ignored;
		auto& job = *find_job(table, run_id.task.job);
		const auto& group = group_of(job, run_id.task);
		const auto worker = task->worker;
		if (task->phase == task_stage::running)
			task->idle_since = now;
		if (outcome == run_outcome::done && !group.long_running)
			record_run_time(table, job, run_id, *task, now);
		remove_from_worker(table, run_id.task, *task);
		task->phase_since = now;
		table.unsaved.insert(job.id);
		store_checkpoint(job, run_id.task, *task, checkpoint);
		if (outcome == run_outcome::done && !group.long_running)
		{
			task->phase = task_stage::done;
			task->crashes = {};
			if (group.gang)
				finish_gang(table, job, run_id.task, now);
			if (has_ended(job.status) || !all_done(job))
				return end_effect::recorded;
			job.status = job_status::completed;
			return end_effect::job_over;
		}
		if (outcome == run_outcome::failed)
			count_failure(job, run_id.task, *task, worker);
		task->phase = phase_after(job, group, *task);
		if (task->phase != task_stage::failed || has_ended(job.status))
			return end_effect::recorded;
		job.status = job_status::failed;
		table.stop_candidates.insert(job.id);
		return end_effect::job_over;
	}

	void release_run(job_table& table, const task_run& run_id, instant now)
	{
		auto* task = placed_run(table, run_id);
		if (task == nullptr)
			return;
		remove_from_worker(table, run_id.task, *task);
		task->phase = task_stage::waiting;
		task->phase_since = now;
		table.unsaved.insert(run_id.task.job);
	}

	std::vector<task_run> runs_on(const job_table& table, const worker_incarnation& worker)
	{
		std::vector<task_run> out;
		if (const auto placed = table.placed.find(worker); placed != table.placed.end())
			for (const auto& key : placed->second)
				out.push_back({key, find_task(table, key)->run});
		return out;
	}

	void transfer_run(job_table& table, const task_run& run_id, const worker_incarnation& to)
	{
		auto* task = placed_run(table, run_id);
		if (task == nullptr)
			return;
		remove_placement(table, run_id.task, task->worker);
		task->worker = to;
		table.placed[to].insert(run_id.task);
		table.changed_workers.insert(to);
		table.unsaved.insert(run_id.task.job);
	}

	void record_checkpoint(job_table& table, const task_run& run_id, const std::string& checkpoint)
	{
		auto* task = placed_run(table, run_id);
		if (task != nullptr)
			store_checkpoint(*find_job(table, run_id.task.job), run_id.task, *task, checkpoint);
	}

	double task_work(const task_group& group, millis time) noexcept
	{
		constexpr double cpu_milli = 1'000.0;
		const std::chrono::duration<double> seconds = time;
		return static_cast<double>(group.claim.cpu_milli) / cpu_milli * seconds.count();
	}

	double total_work(const job_spec& spec, std::span<const millis> times) noexcept
	{
		double out = 0.0;
		for (std::size_t i = 0; i < spec.groups.size(); ++i)
			if (!spec.groups[i].long_running)
				out += spec.groups[i].count * task_work(spec.groups[i], times[i]);
		return out;
	}

	std::vector<millis> expected_times(const job_table& table, const job_state& job)
	{
		std::vector<millis> out;
		out.reserve(job.spec.groups.size());
		for (std::size_t i = 0; i < job.spec.groups.size(); ++i)
			out.push_back(job.first_run_times[i].count() > 0
							  ? job.first_run_times[i]
							  : expected_run_time(table.run_time_model, job.queue.queue, job.spec.groups[i].estimate));
		return out;
	}

	std::vector<task_key> waiting_tasks(const job_table& table, std::int64_t unix_ms)
	{
		std::vector<task_key> out;
		for (const auto& [id, job] : table.jobs)
		{
			if (has_ended(job->status))
				continue;
			std::size_t position = 0;
			for (std::uint32_t occurrence = 0; occurrence < job->spec.occurrences; ++occurrence)
				for (std::uint32_t group = 0; group < job->spec.groups.size(); ++group)
				{
					const auto count = job->spec.groups[group].count;
					const auto begin = job->tasks.begin() + static_cast<std::ptrdiff_t>(position);
					const bool any = std::any_of(
						begin, begin + count, [](const job_task& task) { return task.phase == task_stage::waiting; });
					if (any && is_due(*job, occurrence, group, unix_ms))
						for (std::uint32_t index = 0; index < count; ++index)
							if (job->tasks[position + index].phase == task_stage::waiting)
								out.push_back({id, occurrence, group, index});
					position += count;
				}
		}
		return out;
	}

	std::vector<task_run> runs_to_stop(job_table& table)
	{
		std::vector<task_run> out;
		for (const auto& [run_id, move] : table.moves)
			if (const auto* job = find_job(table, run_id.task.job); job != nullptr && !has_ended(job->status))
				out.push_back(run_id);
		absl::erase_if(table.stop_candidates,
					   [&](const job_id& id)
					   {
						   auto* job = find_job(table, id);
						   return job == nullptr || (!append_runs_to_stop(*job, out) && has_ended(job->status));
					   });
		return out;
	}

	absl::flat_hash_map<queue_id, std::int64_t> count_waiting_jobs(const job_table& table)
	{
		absl::flat_hash_map<queue_id, std::int64_t> out;
		for (const auto& [id, job] : table.jobs)
			if (job->status == job_status::queued)
				++out[job->queue.queue];
		return out;
	}
}
