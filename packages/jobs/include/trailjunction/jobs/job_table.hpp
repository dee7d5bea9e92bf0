// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief All jobs of a shard, and the functions that change them.
/// \details The in-memory state of the shard's owner. job_tables.hpp names the tables of the store, job_rows.hpp
/// encodes their rows.
#pragma once

#include "job_merit.hpp"
#include "job_state.hpp"
#include "planned_moves.hpp"
#include "recent_crashes.hpp"
#include "run_times.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace trailjunction
{
	/// \brief How a run ended.
	enum class run_outcome : std::uint8_t
	{
		done,
		failed,          ///< By its own fault or its worker's.
		stopped,         ///< On order.
		lapsed,          ///< Its lease expired, or its worker is gone.
		gang_broken,     ///< Another member of its gang ended.
		gang_incomplete, ///< Its gang did not become complete.
	};

	[[nodiscard]] std::string_view to_string(run_outcome outcome) noexcept;

	/// \brief The jobs that the owner of a shard manages.
	/// \details Every function below that changes a job adds it to unsaved. A change may only be acted upon, or
	/// reported, once a transaction has made it durable.
	struct job_table
	{
		absl::flat_hash_map<job_id, std::unique_ptr<job_state>> jobs;
		absl::flat_hash_set<job_id> unsaved;
		/// Ordered and running runs by worker. The runs of an ended job stay here until the worker reports that they
		/// are gone.
		absl::flat_hash_map<worker_incarnation, absl::flat_hash_set<task_key>> placed;
		/// Jobs that have ended, run nothing and are stored so, with the time of their end in ms of the store's clock.
		/// No other data of them is kept: all but some dozens of a day's 1,300 jobs are in this state.
		absl::flat_hash_map<job_id, std::int64_t> ended;
		/// Workers whose entry in placed has changed since the caller last cleared this set.
		absl::flat_hash_set<worker_incarnation> changed_workers;
		/// Jobs that runs_to_stop() inspects: those that ended while they had runs, and those with gangs.
		absl::flat_hash_set<job_id> stop_candidates;
		/// Tasks whose job_task::held_until has not passed when release_held_back() last inspected them.
		absl::flat_hash_set<task_key> held_back;
		planned_moves moves; ///< Runs that are stopped so that their tasks continue elsewhere.
		recent_crashes crashes;
		run_times run_time_model; ///< Measured run times of tasks, by queue.
		mean_work_by_queue queue_mean_work;
	};

	/// \brief Expected run time of the tasks of each group of a job: that of a finished task of the group, otherwise an
	/// estimate from the queue's run times.
	[[nodiscard]] std::vector<millis> expected_times(const job_table& table, const job_state& job);

	/// \brief Core-seconds of one occurrence of a job, without long-running tasks.
	/// \param times Run time of a task, by group.
	[[nodiscard]] double total_work(const job_spec& spec, std::span<const millis> times) noexcept;

	/// \brief Core-seconds of one task.
	[[nodiscard]] double task_work(const task_group& group, millis time) noexcept;

	/// \brief The job of that id, or nullptr.
	[[nodiscard]] job_state* find_job(const job_table& table, const job_id& id) noexcept;

	/// \brief Whether the table has the job, ended or not.
	[[nodiscard]] bool is_known(const job_table& table, const job_id& id) noexcept;

	/// \brief Moves jobs that have ended, are saved and run nothing to job_table::ended.
	/// \returns The jobs that were moved.
	std::vector<job_id> archive_ended_jobs(job_table& table);

	/// \brief The task with that key, or nullptr.
	[[nodiscard]] job_task* find_task(const job_table& table, const task_key& key) noexcept;

	/// \brief Adds a job; does nothing if the table has it already.
	/// \returns Whether it is new.
	bool add_job(job_table& table, job_state job);

	/// \brief Cancels a job on its client's request; does nothing if it has ended already.
	/// \returns Whether this changed anything.
	bool cancel_job(job_table& table, const job_id& id);

	/// \brief Ends a job as failed although its tasks may go on until they are stopped; does nothing if it has ended.
	/// \returns Whether this changed anything.
	bool fail_job(job_table& table, const job_id& id);

	/// \brief Assigns a waiting task to a worker under the next run number, which the members of a gang share.
	task_run assign(job_table& table, const task_key& key, const worker_incarnation& worker, instant now);

	/// \brief Records that a worker has confirmed a run.
	void confirm_run(job_table& table, const task_run& run_id, instant now);

	/// \brief Effect of the end of a run.
	enum class end_effect : std::uint8_t
	{
		ignored,   ///< Not the latest run, or it had ended before.
		recorded,  ///< The job continues.
		held_back, ///< The job continues, and its task is held back; see held_tasks.hpp.
		job_over,  ///< The job has ended with this run.
	};

	/// \brief Records that a task has had no run since \p when, earlier than its latest run was found to be lost.
	void note_idle_since(job_table& table, const task_key& key, instant when) noexcept;

	/// \brief Records the end of a run. If one member of a gang is done, all its members are.
	/// \param checkpoint Where the next run may resume; empty keeps the previous checkpoint.
	end_effect end_run(job_table& table, const task_run& run_id, run_outcome outcome, const std::string& checkpoint,
					   instant now);

	/// \brief Releases a run that certainly never began; it does not count as an attempt.
	void release_run(job_table& table, const task_run& run_id, instant now);

	/// \brief The runs that are placed on a worker.
	[[nodiscard]] std::vector<task_run> runs_on(const job_table& table, const worker_incarnation& worker);

	/// \brief Places a run on another incarnation of its worker, which has carried out the order; it stays the same
	/// run.
	void transfer_run(job_table& table, const task_run& run_id, const worker_incarnation& to);

	/// \brief Records a newer checkpoint of a run; it is saved with the next change of the job.
	void record_checkpoint(job_table& table, const task_run& run_id, const std::string& checkpoint);

	/// \brief Tasks that are due and not placed.
	[[nodiscard]] std::vector<task_key> waiting_tasks(const job_table& table, std::int64_t unix_ms);

	/// \brief Runs that have to stop: those of ended jobs, members of an incomplete gang, and those whose tasks are to
	/// continue elsewhere.
	/// \details Inspects only stop_candidates and planned moves, and removes jobs without runs from the former: nearly
	/// all of 2,000 placed runs belong to jobs that continue.
	[[nodiscard]] std::vector<task_run> runs_to_stop(job_table& table);

	/// \brief Number of jobs of each queue of which no task has begun.
	[[nodiscard]] absl::flat_hash_map<queue_id, std::int64_t> count_waiting_jobs(const job_table& table);
}
