// SPDX-License-Identifier: MIT
#include "job_tasks.hpp"

#include <trailjunction/jobs/held_tasks.hpp>
#include <trailjunction/jobs/job_crashes.hpp>

#include <algorithm>
#include <limits>
#include <span>

namespace trailjunction
{
	namespace
	{
		/// The named run if its worker has confirmed it and crashes count against its task; otherwise nullptr.
		job_task* find_suspected_run(const job_table& table, const task_run& run_id)
		{
			auto* task = placed_run(table, run_id);
			return task == nullptr || task->phase != task_stage::running || task->crashes.workers.empty() ? nullptr
																										  : task;
		}

		/// The tasks that share a crash record: the members of a gang, or the task alone.
		std::span<job_task> tasks_sharing_record(job_state& job, const task_key& key, job_task& task)
		{
			return group_of(job, key).gang ? siblings_of(job, key) : std::span{&task, 1};
		}

		/// For how long a task waits, without the time for which it was held back.
		instant::duration waiting_time(const job_task& task, instant now)
		{
			return now - std::max(task.phase_since, task.held_until);
		}

		millis elapsed(instant from, instant to)
		{
			return std::max(millis{0}, std::chrono::duration_cast<millis>(to - from));
		}

		/// The highest number of crashes that count against a task placed on the worker.
		std::size_t max_counted_on(const job_table& table, const worker_incarnation& worker)
		{
			const auto placed = table.placed.find(worker);
			if (placed == table.placed.end())
				return 0;
			std::size_t out = 0;
			for (const auto& key : placed->second)
				out = std::max(out, find_task(table, key)->crashes.workers.size());
			return out;
		}

		/// Number of other workers that went down at the same time, without those that ran a task with at least
		/// \p counted_limit counted crashes.
		std::size_t count_workers_down(const job_table& table, const crash_record& record,
									   const worker_incarnation& worker, instant last_response,
									   std::span<const worker_incarnation> silent, std::size_t counted_limit,
									   const crash_policy& policy)
		{
			auto own = record.workers;
			own.push_back(worker);
			const auto still_silent = std::count_if(silent.begin(), silent.end(),
													[&](const worker_incarnation& other)
													{ return max_counted_on(table, other) < counted_limit; });
			return count_correlated_crashes(table.crashes, last_response, own, counted_limit, policy) +
				   static_cast<std::size_t>(still_silent);
		}

		/// Whether another task of the group ended, or ran for longer than this run when its worker crashed.
		bool sibling_has_outlived(const job_state& job, const lost_run& lost, const worker_incarnation& worker)
		{
			const auto siblings = siblings_of(job, lost.run_id.task);
			return std::any_of(siblings.begin(), siblings.end(),
							   [&](const job_task& sibling)
							   {
								   if (sibling.phase == task_stage::done)
									   return true;
								   const bool is_elsewhere = sibling.phase == task_stage::running &&
															 sibling.worker != worker && lost.last_response;
								   return is_elsewhere && elapsed(sibling.phase_since, *lost.last_response) >=
															  lost.age_bounds.lower_bound;
							   });
		}

		/// Whether enough crashes count to check whether the crashes of other workers had a cause of their own.
		bool may_be_exempted(const crash_record& record, const crash_policy& policy) noexcept
		{
			return record.workers.size() >= policy.min_crashes_to_exempt;
		}

		/// What the crashes of other workers at the same time imply for a crash under a task.
		struct crash_correlation
		{
			bool correlated{};  ///< Enough other workers crashed.
			bool other_cause{}; ///< Enough other workers crashed for a reason that is unrelated to the task.
		};

		crash_correlation find_correlation(const job_table& table, const crash_record& record,
										   const worker_incarnation& worker, instant last_response,
										   std::span<const worker_incarnation> silent, const crash_policy& policy)
		{
			constexpr auto no_limit = std::numeric_limits<std::size_t>::max();
			const auto workers_down = [&](std::size_t counted_limit)
			{
				return count_workers_down(table, record, worker, last_response, silent, counted_limit, policy);
			};
			crash_correlation out;
			out.correlated = workers_down(no_limit) >= policy.min_correlated_workers;
			if (!out.correlated || !may_be_exempted(record, policy))
				return out;
			// a change of owner may lose one crash that would count against those tasks
			constexpr std::size_t max_uncounted = 1;
			out.other_cause = workers_down(record.workers.size() - max_uncounted) >= policy.min_correlated_workers;
			return out;
		}

		/// Counts a crash against a task, or once per run against its gang, unless the task certainly did not cause it.
		void count_crash(job_table& table, job_state& job, job_task& task, const worker_incarnation& worker,
						 const lost_run& lost, const crash_policy& policy)
		{
			const auto run = task.run;
			const crash_age bounds{lost.age_bounds.lower_bound, lost.age ? lost.age_bounds.upper_bound : std::nullopt};
			for (auto& member : tasks_sharing_record(job, lost.run_id.task, task))
				clear_outlived_crashes(member.crashes, bounds, policy);
			crash_correlation correlation;
			if (lost.last_response)
				correlation =
					find_correlation(table, task.crashes, worker, *lost.last_response, lost.silent_workers, policy);
			const bool outlived = bounds.upper_bound && has_outlived(task.crashes, *bounds.upper_bound, policy);
			const bool sibling_outlived =
				bounds.lower_bound >= policy.startup_time && sibling_has_outlived(job, lost, worker);
			const bool counts = !(correlation.correlated && outlived) && !(correlation.other_cause && sibling_outlived);
			const bool is_settled = correlation.correlated && !may_be_exempted(task.crashes, policy);
			for (auto& member : tasks_sharing_record(job, lost.run_id.task, task))
			{
				add_crash_age(member.crashes, bounds);
				if (!lost.age || member.crashed_run >= run)
					continue;
				member.crashed_run = run;
				if (!counts)
					continue;
				add_crash(member.crashes, worker, *lost.age, bounds, lost.blame);
				if (correlation.correlated)
					mark_correlated(member.crashes, worker);
			}
			if (!lost.age || !counts)
				return;
			auto* crash = find_worker_crash(table.crashes, worker);
			if (crash != nullptr)
				crash->suspects.push_back(lost.run_id.task);
			if (crash != nullptr && !is_settled)
				crash->counted_crashes.push_back({lost.run_id.task, outlived, sibling_outlived});
		}

		/// Reassesses a counted crash after more workers are known to have crashed.
		/// \param exonerated Gets the task if the crash no longer counts.
		/// \returns Whether further crashes cannot change the result.
		bool reassess_crash(job_table& table, const worker_crash& crash, const counted_crash& counted,
							const crash_policy& policy, std::vector<task_key>& exonerated)
		{
			auto* task = find_task(table, counted.task);
			if (task == nullptr)
				return true;
			auto before = task->crashes;
			(void)remove_crash(before, crash.worker);
			const auto correlation = find_correlation(table, before, crash.worker, crash.last_response, {}, policy);
			if (!correlation.correlated)
				return false;
			const bool counts = !counted.outlived && !(correlation.other_cause && counted.sibling_outlived);
			bool any = false;
			for (auto& member : tasks_sharing_record(*find_job(table, counted.task.job), counted.task, *task))
			{
				if (counts)
					mark_correlated(member.crashes, crash.worker);
				else
					any = discount_crash(member.crashes, crash.worker) || any;
			}
			if (any)
				exonerated.push_back(counted.task);
			table.unsaved.insert(counted.task.job);
			return !counts || !counted.sibling_outlived || !may_be_exempted(before, policy);
		}

		/// Lower bound of the age of a run, from its worker's confirmation to this process: the run began no later than
		/// that.
		std::optional<millis> age_since_confirmation(const job_task& task, const lost_worker& worker)
		{
			if (task.phase != task_stage::running || !worker.last_response)
				return std::nullopt;
			return elapsed(task.phase_since, *worker.last_response);
		}

		/// The age of a lost run as reported by the agent, or nullptr.
		const crash_age* reported_age(const task_run& run_id, const lost_worker& worker)
		{
			const auto found = worker.reported_ages.find(run_id);
			return found == worker.reported_ages.end() ? nullptr : &found->second;
		}

		/// Certain bounds of a run's age when its worker crashed.
		crash_age bounds_of_age(const task_run& run_id, const job_task& task, const lost_worker& worker)
		{
			if (const auto* reported = reported_age(run_id, worker))
				return *reported;
			crash_age out{age_since_confirmation(task, worker).value_or(millis{0}), std::nullopt};
			if (worker.last_response && task.ordered_at != instant{})
				out.upper_bound = elapsed(task.ordered_at, *worker.last_response);
			return out;
		}

		/// As age_at_crash(), but also uses the agent's report and, after a change of owner, the worker's confirmation.
		std::optional<millis> age_of_run(const task_run& run_id, const job_task& task, const lost_worker& worker,
										 const crash_policy& policy)
		{
			const auto within = [&](millis age)
			{
				return age > policy.max_suspect_age ? std::nullopt : std::optional{age};
			};
			if (const auto* reported = reported_age(run_id, worker))
				return within(reported->upper_bound.value_or(reported->lower_bound));
			if (worker.ages_reported)
				return std::nullopt; // its order was lost, dropped or refused
			const auto age = age_at_crash(task.ordered_at, worker, policy);
			const bool is_known = worker.last_response && task.ordered_at != instant{};
			if (is_known || !age)
				return age;
			return within(age_since_confirmation(task, worker).value_or(millis{0}));
		}

		/// Whether the worker had a run that is known to have been so young that its start may have crashed the worker.
		bool had_new_run(const job_table& table, const lost_worker& worker, const crash_policy& policy)
		{
			const auto placed = table.placed.find(worker.incarnation);
			if (placed == table.placed.end())
				return false;
			return std::any_of(placed->second.begin(), placed->second.end(),
							   [&](const task_key& key)
							   {
								   const auto& task = *find_task(table, key);
								   const auto bounds = bounds_of_age({key, task.run}, task, worker);
								   return bounds.upper_bound && *bounds.upper_bound <= policy.prompt_age;
							   });
		}

		worker_crash make_worker_crash(const job_table& table, const lost_worker& worker, const crash_policy& policy)
		{
			worker_crash out;
			out.worker = worker.incarnation;
			out.last_response = *worker.last_response;
			out.max_counted = max_counted_on(table, worker.incarnation);
			out.data_centre = worker.data_centre;
			out.had_new_run = had_new_run(table, worker, policy);
			if (const auto placed = table.placed.find(worker.incarnation); placed != table.placed.end())
				for (const auto& key : placed->second)
					out.jobs.insert(key.job);
			return out;
		}

		/// Weight of a run by its age. If its start time is unknown, a worker's confirmation gives a lower bound of its
		/// age.
		double weight_by_age(const job_task& task, const lost_run& lost, const lost_worker& worker,
							 const crash_policy& policy)
		{
			const auto* reported = reported_age(lost.run_id, worker);
			const bool is_reported = reported != nullptr && reported->upper_bound;
			const bool is_known = is_reported || (task.ordered_at != instant{} &&
												  (worker.last_response || task.phase == task_stage::ordered));
			const auto weight = crash_weight(*lost.age, policy);
			return is_known ? weight : std::min(weight, policy.unknown_age_weight);
		}

		/// Whether another task of the group has run for long elsewhere, or ended: it does the same work.
		bool sibling_has_survived(const job_state& job, const task_key& key, const lost_worker& worker,
								  const crash_policy& policy)
		{
			const auto siblings = siblings_of(job, key);
			return std::any_of(siblings.begin(), siblings.end(),
							   [&](const job_task& sibling)
							   {
								   if (sibling.phase == task_stage::done ||
									   sibling.crashes.max_age >= policy.clear_after)
									   return true;
								   const bool is_elsewhere =
									   sibling.phase == task_stage::running && sibling.worker != worker.incarnation;
								   return is_elsewhere && worker.last_response &&
										  elapsed(sibling.phase_since, *worker.last_response) >= policy.clear_after;
							   });
		}

		double weight_in_crash(const job_state& job, const lost_run& lost, const lost_worker& worker,
							   const crash_policy& policy)
		{
			const auto& task = job.tasks[task_index(job, lost.run_id.task)];
			const auto age_weight = weight_by_age(task, lost, worker, policy);
			const bool survived = sibling_has_survived(job, lost.run_id.task, worker, policy);
			return age_weight * (1.0 + policy.repeat_gain * task.crashes.blame) *
				   (survived ? policy.sibling_survived_factor : 1.0);
		}

		/// Divides the blame for one crash among the runs that may have caused it and the worker itself.
		void share_blame(const job_table& table, std::vector<lost_run>& lost, const lost_worker& worker,
						 const crash_policy& policy)
		{
			double total_weight = policy.worker_fault_weight;
			for (auto& run : lost)
			{
				if (!run.age)
					continue;
				run.blame = weight_in_crash(*find_job(table, run.run_id.task.job), run, worker, policy);
				total_weight += run.blame;
			}
			for (auto& run : lost)
				run.blame /= total_weight;
		}
	}

	suspicion task_suspicion(const job_state& job, const task_key& key)
	{
		if (!group_of(job, key).gang)
			return suspicion_of(job.tasks[task_index(job, key)].crashes);
		const auto members = siblings_of(job, key);
		const bool any =
			std::any_of(members.begin(), members.end(),
						[](const job_task& member) { return suspicion_of(member.crashes) != suspicion::none; });
		return any ? suspicion::suspected : suspicion::none;
	}

	suspicion effective_suspicion(const job_state& job, const task_key& key, instant now)
	{
		const auto level = task_suspicion(job, key);
		const auto& task = job.tasks[task_index(job, key)];
		const auto waited = waiting_time(task, now);
		constexpr crash_policy policy{};
		// A task that was held back has been missing anyway, and its next crash is likely.
		const bool is_urgent = group_of(job, key).long_running && task.held_until == instant{};
		const auto timeout = is_urgent ? policy.isolation_timeout_long_running : policy.isolation_timeout;
		return waited >= timeout ? std::min(level, suspicion::suspected) : level;
	}

	bool must_avoid_workers(const job_state& job, const task_key& key, instant now)
	{
		constexpr crash_policy policy{};
		const auto& task = job.tasks[task_index(job, key)];
		return !group_of(job, key).gang && should_avoid_any_worker(task.crashes, policy) &&
			   waiting_time(task, now) < policy.avoid_worker_timeout;
	}

	suspicion run_suspicion(const job_state& job, const task_key& key)
	{
		return std::min(job.tasks[task_index(job, key)].suspicion_at_start, task_suspicion(job, key));
	}

	std::vector<lost_run> collect_lost_runs(const job_table& table, const lost_worker& worker, bool crashed,
											const crash_policy& policy)
	{
		std::vector<lost_run> out;
		const auto placed = table.placed.find(worker.incarnation);
		if (placed == table.placed.end())
			return out;
		bool alone = false;
		for (const auto& key : placed->second)
		{
			const auto& task = *find_task(table, key);
			lost_run lost{{key, task.run}, run_suspicion(*find_job(table, key.job), key)};
			if (crashed)
			{
				lost.age = age_of_run(lost.run_id, task, worker, policy);
				lost.age_bounds = bounds_of_age(lost.run_id, task, worker);
				lost.last_response = worker.last_response;
				lost.silent_workers = worker.silent_workers;
			}
			alone = alone || (lost.suspicion_at_start == suspicion::likely && lost.age);
			out.push_back(std::move(lost));
		}
		if (alone)
			for (auto& lost : out)
				if (lost.suspicion_at_start != suspicion::likely)
					lost.age.reset();
		share_blame(table, out, worker, policy);
		return out;
	}

	std::vector<task_key> record_worker_crash(job_table& table, const lost_worker& worker, const crash_policy& policy)
	{
		std::vector<task_key> out;
		if (!worker.last_response || find_worker_crash(table.crashes, worker.incarnation) != nullptr)
			return out;
		(void)add_worker_crash(table.crashes, make_worker_crash(table, worker, policy), policy);
		for (auto& crash : table.crashes.entries)
		{
			if (!in_correlation_window(crash.last_response, *worker.last_response, policy))
				continue;
			std::erase_if(crash.counted_crashes, [&](const counted_crash& counted)
						  { return reassess_crash(table, crash, counted, policy, out); });
		}
		return out;
	}

	end_effect record_lost_run(job_table& table, const lost_run& lost, const worker_incarnation& worker,
							   const crash_policy& policy, instant now)
	{
		auto* task = placed_run(table, lost.run_id);
		if (task == nullptr)
			return end_effect::ignored;
		auto& job = *find_job(table, lost.run_id.task.job);
		if (lost.last_response)
			(void)record_worker_crash(table, {worker, lost.last_response, {}, {}}, policy);
		count_crash(table, job, *task, worker, lost, policy);
		const auto effect = end_run(table, lost.run_id, run_outcome::lapsed, "", now);
		// Members of a gang never start alone, and share their crash record.
		const bool alone = lost.suspicion_at_start == suspicion::likely || group_of(job, lost.run_id.task).gang;
		const bool counted = counts_against(table, lost.run_id.task, worker);
		if (!counted || has_ended(job.status) || !is_given_up(task->crashes, alone, policy))
			return effect;
		if (group_of(job, lost.run_id.task).long_running)
		{
			hold_back(table, lost.run_id.task, policy, now);
			return end_effect::held_back;
		}
		task->phase = task_stage::failed;
		job.status = job_status::failed;
		table.stop_candidates.insert(job.id);
		return end_effect::job_over;
	}

	bool clear_crashes(job_table& table, const task_run& run_id, const crash_policy& policy, instant last_response)
	{
		auto* task = find_suspected_run(table, run_id);
		if (task == nullptr || !is_cleared_by(task->crashes, elapsed(task->phase_since, last_response), policy))
			return false;
		task->crashes = {};
		table.changed_workers.insert(task->worker);
		table.unsaved.insert(run_id.task.job);
		return true;
	}

	bool lift_blame(job_table& table, const task_run& run_id, const crash_policy& policy, instant last_response)
	{
		auto* task = find_suspected_run(table, run_id);
		if (task == nullptr || task->suspicion_at_start == suspicion::none ||
			elapsed(task->phase_since, last_response) < policy.lift_blame_after)
			return false;
		task->suspicion_at_start = suspicion::none;
		task->crashes.blame = 0.0;
		table.changed_workers.insert(task->worker);
		table.unsaved.insert(run_id.task.job);
		return true;
	}

	bool discount_crash(job_table& table, const task_key& key, const worker_incarnation& worker)
	{
		auto* task = find_task(table, key);
		if (task == nullptr)
			return false;
		bool any = false;
		for (auto& member : tasks_sharing_record(*find_job(table, key.job), key, *task))
			any = discount_crash(member.crashes, worker) || any;
		if (any)
			table.unsaved.insert(key.job);
		return any;
	}

	bool counts_against(const job_table& table, const task_key& key, const worker_incarnation& worker) noexcept
	{
		const auto* task = find_task(table, key);
		return task != nullptr && std::find(task->crashes.workers.begin(), task->crashes.workers.end(), worker) !=
									  task->crashes.workers.end();
	}

	bool retract_crash(job_table& table, const task_key& key, const worker_incarnation& worker)
	{
		auto* task = find_task(table, key);
		if (task == nullptr)
			return false;
		remove_worker_crash(table.crashes, worker);
		bool any = false;
		for (auto& member : tasks_sharing_record(*find_job(table, key.job), key, *task))
			any = remove_crash(member.crashes, worker) || any;
		if (any)
			table.unsaved.insert(key.job);
		return any;
	}
}
