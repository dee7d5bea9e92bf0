// SPDX-License-Identifier: MIT
/// \file
/// \brief Randomised fault injection (a storm): clients submit jobs while faults from a seeded plan begin and end, one
/// after another and at the same time.
#pragma once

#include <trailjunction/testkit/job_cluster.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace trailjunction::testkit
{
	/// \brief Parameters of one storm.
	struct storm_options
	{
		std::uint64_t seed{};
		int entries{2};
		int workers{3};
		millis fault_period{20'000}; ///< Period in which faults begin.
		/// Constant delay of starts, by worker; empty for none.
		std::vector<call_delay> start_delays;
		/// Whether the plan contains faults other than restarts of workers under their ids.
		bool other_faults{true};
		/// Whether workers restart under their ids, too, and long-running tasks run during the storm. The other faults
		/// of the plan are the same in either case.
		bool restarts_in_place{};
		/// Whether workers are also cut off from their agents soon after restarts under their ids, while the owner is
		/// replaced and tasks run that outlast every lease. Their clocks begin anywhere then, and the longest lease is
		/// longer than the owners'. The other faults of the plan are the same in either case.
		bool cuts{};
	};

	/// \brief The build directory of the programs: TRAILJUNCTION_STORM_PROGRAMS, or that of the tests.
	[[nodiscard]] std::string storm_programs();

	/// \brief A random generator with the same sequence for the same seed.
	class seeded_random
	{
	public:
		explicit seeded_random(std::uint64_t seed) : engine_{seed} {}

		/// \brief A number from \p least to \p most.
		int between(int least, int most)
		{
			return least + static_cast<int>(engine_() % static_cast<std::uint64_t>(most - least + 1));
		}
		millis duration(int least_ms, int most_ms)
		{
			return millis{between(least_ms, most_ms)};
		}
		bool one_in(int many)
		{
			return between(1, many) == 1;
		}

	private:
		std::mt19937_64 engine_;
	};

	/// \brief The beginning or the end of one fault.
	struct fault_event
	{
		millis at{}; ///< Time since the beginning of the storm.
		std::string description;
		std::function<void(job_cluster&)> apply;
	};

	/// \brief Generates the fault plan of one storm, ordered by time.
	[[nodiscard]] std::vector<fault_event> generate_faults(const storm_options& options);
	/// \brief Any time that a worker's clock may show at its beginning. A later incarnation's clock may be behind it.
	[[nodiscard]] std::int64_t any_first_clock_ms(seeded_random& random);
	/// \brief Restarts a worker under the id that it has.
	/// \param downtime The time without a worker.
	void restart_in_place(job_cluster& system, int worker, millis downtime);
	/// \brief Ends all faults: resumes and restarts processes, reconnects connections and resets the stand-ins' faults.
	void clear_faults(job_cluster& system, const storm_options& options);

	/// \brief One job that a client submits.
	struct storm_job
	{
		std::string id;
		int tasks{};
		millis work{};
		bool to_cancel{};
		bool in_doubt{}; ///< An attempt to submit it was not refused with 429 or 503, so it may have been accepted.
		bool accepted{};
		bool cancelled{};       ///< The cancellation was acknowledged.
		instant submitted_at{}; ///< Of long-running jobs: when the client heard that it is accepted.
	};

	/// \brief Submits jobs and cancels some until \p is_over returns true, then resolves the jobs in doubt.
	/// \returns The accepted jobs.
	[[nodiscard]] std::vector<storm_job> submit_jobs(job_cluster& system, const storm_options& options, int client,
													 const std::function<bool()>& is_over);

	/// \brief The name of a task of a job, as workers know it.
	[[nodiscard]] std::string task_name(const storm_job& job, int index);

	/// \brief A violated invariant: the task and what was observed.
	struct violation
	{
		std::string task;
		std::string description;
	};

	/// \brief Finds a task that had two concurrent runs, or that was started after an acknowledged end `done`.
	[[nodiscard]] std::optional<violation> find_concurrent_runs(std::vector<worker_standin::started_run> runs);
	/// \brief Submits the jobs of long-running tasks; to be called before the first fault.
	/// \returns All of them; storm_job::accepted is not set if one was not accepted in time.
	[[nodiscard]] std::vector<storm_job> submit_long_running_jobs(job_cluster& system);
	/// \brief Finds a long-running task that does not have exactly one run; to be called after all faults have ended.
	/// \param after Runs that began earlier are not counted.
	[[nodiscard]] std::optional<violation> find_idle_long_running(job_cluster& system,
																  const std::vector<storm_job>& jobs, instant after);
	/// \brief When the users count a long-running task as lost: it has had no run for this long, and there was no
	/// disruption in the time before.
	/// \details Their rule for lost work, in its words: a task that lasts is lost "from 6 s after its last run",
	/// however full the service is, if the 3 s in which nothing runs "and the 4 s before them are calm". No figure here
	/// comes from a measurement.
	struct absence_bounds
	{
		millis longest_absence{6'000};
		millis calm_before{3'000 + 4'000};
	};
	/// \brief Finds a long-running task that counts as lost at \p now.
	/// \param calm_since No fault was active or began after this time.
	[[nodiscard]] std::optional<violation> find_absence(const std::vector<worker_standin::started_run>& runs,
														const std::vector<storm_job>& jobs, instant calm_since,
														instant now);
	/// \brief Looks for absences, repeatedly, from \p calm_since until \p duration after it.
	[[nodiscard]] std::optional<violation> watch_for_absences(job_cluster& system, const std::vector<storm_job>& jobs,
															  instant calm_since, millis duration);
	/// \brief Keeps the system free of faults and looks for absences meanwhile; to be called after all faults have
	/// ended.
	[[nodiscard]] std::optional<violation> watch_calm_phase(job_cluster& system, const storm_options& options,
															const std::vector<storm_job>& jobs);
	/// \brief Restarts each worker under its id without any other fault, and finds a long-running task that counts as
	/// lost or does not run again; to be called after all faults have ended.
	[[nodiscard]] std::optional<violation> find_not_restarted(job_cluster& system, const storm_options& options,
															  const std::vector<storm_job>& jobs);
	/// \brief Finds an accepted job that did not end as required; to be called after all faults have ended.
	/// \param may_give_up Whether a job may fail if workers were lost under three runs of one of its tasks.
	[[nodiscard]] std::optional<violation> find_unfinished(job_cluster& system, const std::vector<storm_job>& jobs,
														   bool may_give_up = false);
	/// \brief The report on a violation: the fault events, the starts, calls and log lines of the task, and the ends of
	/// all logs.
	[[nodiscard]] std::string report_violation(job_cluster& system, const violation& found,
											   const std::vector<std::string>& events);
	/// \brief Converts a time to the time stamps of the logs, in milliseconds since the Unix epoch.
	[[nodiscard]] std::int64_t log_time(instant time);
}
