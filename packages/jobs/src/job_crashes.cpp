// SPDX-License-Identifier: MIT
#include "job_tasks.hpp"

#include <trailjunction/jobs/job_crashes.hpp>

#include <algorithm>
#include <span>

namespace trailjunction
{
	namespace
	{
		/// The run of a task with something against it that its worker has confirmed.
		job_task* suspected_run(const job_table& table, const task_run& what)
		{
			auto* task = placed_run(table, what);
			return task == nullptr || task->phase != task_stage::running || task->crashes.workers.empty() ? nullptr
																										  : task;
		}

		/// The tasks that are judged together with one: the members of its gang, or it alone.
		std::span<job_task> judged_with(job_state& job, const task_key& key, job_task& task)
		{
			return group_of(job, key).gang ? siblings_of(job, key) : std::span{&task, 1};
		}

		/// Counts a crash against a task, and against its gang once a run.
		void count_crash(job_state& job, job_task& task, const worker_life& worker, const lost_run& lost)
		{
			const auto run = task.run;
			for (auto& member : judged_with(job, lost.what.task, task))
			{
				if (member.crashed_run >= run)
					continue;
				note_crash(member.crashes, worker, *lost.age, lost.blame);
				member.crashed_run = run;
			}
		}

		millis between(instant from, instant to)
		{
			return std::max(millis{0}, std::chrono::duration_cast<millis>(to - from));
		}

		/// How long a run had been there by what its worker confirmed to this process: it began no later than that.
		std::optional<millis> confirmed_age(const job_task& task, const lost_worker& worker)
		{
			if (task.phase != task_stage::running || !worker.heard)
				return std::nullopt;
			return between(task.since, *worker.heard);
		}

		/// As age_at_crash(), and after a change of the owner as far as its successor can tell.
		std::optional<millis> age_of_run(const job_task& task, const lost_worker& worker, const crash_policy& policy)
		{
			const auto age = age_at_crash(task.ordered, worker, policy);
			const bool is_known = worker.heard && task.ordered != instant{};
			if (is_known || !age)
				return age;
			const auto confirmed = confirmed_age(task, worker).value_or(millis{0});
			return confirmed > policy.longest_age ? std::nullopt : std::optional{confirmed};
		}

		/// What a run weighs by its age. Where nobody knows when it began, a worker's confirmation tells the least that
		/// its age was.
		double weight_by_age(const job_task& task, millis age, const lost_worker& worker, const crash_policy& policy)
		{
			const bool is_known = task.ordered != instant{} && (worker.heard || task.phase == task_stage::ordered);
			const auto weight = weight_at(age, policy);
			return is_known ? weight : std::min(weight, policy.unknown_age_weight);
		}

		/// Whether the same work has gone on for long elsewhere, or ended.
		bool has_survived(const job_state& job, const task_key& key, const lost_worker& worker,
						  const crash_policy& policy)
		{
			const auto siblings = siblings_of(job, key);
			return std::any_of(
				siblings.begin(), siblings.end(),
				[&](const job_task& one)
				{
					if (one.phase == task_stage::done || one.crashes.longest_age >= policy.clear_after)
						return true;
					const bool is_elsewhere = one.phase == task_stage::running && one.worker != worker.life;
					return is_elsewhere && worker.heard && between(one.since, *worker.heard) >= policy.clear_after;
				});
		}

		double weight_in_crash(const job_state& job, const lost_run& lost, const lost_worker& worker,
							   const crash_policy& policy)
		{
			const auto& task = job.tasks[place_of(job, lost.what.task)];
			const auto at_age = weight_by_age(task, *lost.age, worker, policy);
			const bool survived = has_survived(job, lost.what.task, worker, policy);
			return at_age * (1.0 + policy.repeat_gain * task.crashes.blame) * (survived ? policy.survived_factor : 1.0);
		}

		/// Shares one crash among the runs that may have to do with it and the worker itself.
		void share_blame(const job_table& table, std::vector<lost_run>& lost, const lost_worker& worker,
						 const crash_policy& policy)
		{
			double all = policy.by_itself_weight;
			for (auto& run : lost)
			{
				if (!run.age)
					continue;
				run.blame = weight_in_crash(*find_job(table, run.what.task.job), run, worker, policy);
				all += run.blame;
			}
			for (auto& run : lost)
				run.blame /= all;
		}
	}

	suspicion start_suspicion(const job_state& job, const task_key& key)
	{
		if (!group_of(job, key).gang)
			return suspicion_of(job.tasks[place_of(job, key)].crashes);
		const auto members = siblings_of(job, key);
		const bool any =
			std::any_of(members.begin(), members.end(),
						[](const job_task& member) { return suspicion_of(member.crashes) != suspicion::none; });
		return any ? suspicion::suspected : suspicion::none;
	}

	suspicion how_to_start(const job_state& job, const task_key& key, instant now)
	{
		const auto held = start_suspicion(job, key);
		const auto waited = now - job.tasks[place_of(job, key)].since;
		constexpr crash_policy policy{};
		const auto patience = group_of(job, key).long_running ? policy.patience : policy.patience_ending;
		return waited >= patience ? std::min(held, suspicion::suspected) : held;
	}

	suspicion suspicion_there(const job_state& job, const task_key& key)
	{
		return std::min(job.tasks[place_of(job, key)].started, start_suspicion(job, key));
	}

	std::vector<lost_run> runs_lost_with(const job_table& table, const lost_worker& worker, bool crashed,
										 const crash_policy& policy)
	{
		std::vector<lost_run> out;
		const auto placed = table.placed.find(worker.life);
		if (placed == table.placed.end())
			return out;
		bool alone = false;
		for (const auto& key : placed->second)
		{
			const auto& task = *find_task(table, key);
			lost_run lost{{key, task.run}, suspicion_there(*find_job(table, key.job), key), std::nullopt, 0.0};
			if (crashed)
				lost.age = age_of_run(task, worker, policy);
			alone = alone || (lost.before == suspicion::likely && lost.age);
			out.push_back(std::move(lost));
		}
		if (alone)
			for (auto& lost : out)
				if (lost.before != suspicion::likely)
					lost.age.reset();
		share_blame(table, out, worker, policy);
		return out;
	}

	end_effect lose_run(job_table& table, const lost_run& lost, const worker_life& worker, const crash_policy& policy,
						instant now)
	{
		auto* task = placed_run(table, lost.what);
		if (task == nullptr)
			return end_effect::ignored;
		auto& job = *find_job(table, lost.what.task.job);
		if (lost.age)
			count_crash(job, *task, worker, lost);
		const auto effect = end_run(table, lost.what, run_outcome::lapsed, "", now);
		// Members of a gang never start alone, and are judged together.
		const bool alone = lost.before == suspicion::likely || group_of(job, lost.what.task).gang;
		if (has_ended(job.status) || !is_given_up(task->crashes, alone, policy))
			return effect;
		task->phase = task_stage::failed;
		job.status = job_status::failed;
		table.watched.insert(job.id);
		return end_effect::job_over;
	}

	bool clear_crashes(job_table& table, const task_run& what, const crash_policy& policy, instant heard)
	{
		auto* task = suspected_run(table, what);
		if (task == nullptr || !clears(task->crashes, between(task->since, heard), policy))
			return false;
		task->crashes = {};
		table.changed.insert(task->worker);
		table.unsaved.insert(what.task.job);
		return true;
	}

	bool lift_blame(job_table& table, const task_run& what, const crash_policy& policy, instant heard)
	{
		auto* task = suspected_run(table, what);
		if (task == nullptr || task->started == suspicion::none || between(task->since, heard) < policy.blameless_after)
			return false;
		task->started = suspicion::none;
		task->crashes.blame = 0.0;
		table.changed.insert(task->worker);
		table.unsaved.insert(what.task.job);
		return true;
	}

	bool is_held_against(const job_table& table, const task_key& key, const worker_life& worker) noexcept
	{
		const auto* task = find_task(table, key);
		return task != nullptr && std::find(task->crashes.workers.begin(), task->crashes.workers.end(), worker) !=
									  task->crashes.workers.end();
	}

	bool forgive_crash(job_table& table, const task_key& key, const worker_life& worker)
	{
		auto* task = find_task(table, key);
		if (task == nullptr)
			return false;
		bool any = false;
		for (auto& member : judged_with(*find_job(table, key.job), key, *task))
			any = take_back_crash(member.crashes, worker) || any;
		if (any)
			table.unsaved.insert(key.job);
		return any;
	}
}
