// SPDX-License-Identifier: MIT
/// \file
/// \brief A storm: jobs are handed in all the time while faults drawn from a seed come and go, in series and at once.
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
	/// \brief What one storm is made of.
	struct storm_options
	{
		std::uint64_t seed{};
		int entries{2};
		int workers{3};
		millis lasts{20'000}; ///< Faults begin for so long.
		/// How slow each worker is with starts all the time; empty where none is.
		std::vector<call_slowness> slow_starts;
	};

	/// \brief The build folder of the programs: TRAILJUNCTION_STORM_PROGRAMS, or the one of the tests.
	[[nodiscard]] std::string storm_programs();

	/// \brief Draws that are the same for the same seed.
	class storm_dice
	{
	public:
		explicit storm_dice(std::uint64_t seed) : bits_{seed} {}

		/// \brief A number from \p least to \p most.
		int between(int least, int most)
		{
			return least + static_cast<int>(bits_() % static_cast<std::uint64_t>(most - least + 1));
		}
		millis time(int least_ms, int most_ms)
		{
			return millis{between(least_ms, most_ms)};
		}
		bool one_in(int many)
		{
			return between(1, many) == 1;
		}

	private:
		std::mt19937_64 bits_;
	};

	/// \brief One change for the worse or for the better.
	struct storm_event
	{
		millis at{}; ///< From the begin of the storm.
		std::string what;
		std::function<void(job_cluster&)> act;
	};

	/// \brief Everything that goes wrong in one storm, by time.
	[[nodiscard]] std::vector<storm_event> draw_storm(const storm_options& options);
	/// \brief Ends all faults: whatever was paused, killed, cut or told to misbehave works again.
	void end_storm(job_cluster& system, const storm_options& options);

	/// \brief One job that a client chose.
	struct storm_job
	{
		std::string id;
		int tasks{};
		millis work{};
		bool to_cancel{};
		bool in_doubt{}; ///< A try got no answer.
		bool accepted{};
		bool cancelled{}; ///< The cancelling was acknowledged.
	};

	/// \brief Hands jobs in, and cancels some, until \p over says so; then learns what became of those in doubt.
	/// \returns The accepted ones.
	[[nodiscard]] std::vector<storm_job> hand_in_jobs(job_cluster& system, const storm_options& options, int client,
													  const std::function<bool()>& over);

	/// \brief A broken rule: the task, and what was seen.
	struct storm_finding
	{
		std::string task;
		std::string what;
	};

	/// \brief Whether a task had two runs at once, or began after an end `done` that was taken note of.
	[[nodiscard]] std::optional<storm_finding> find_double_run(std::vector<worker_standin::begun_run> begun);
	/// \brief Whether accepted jobs have not ended as they must, once all is calm.
	[[nodiscard]] std::optional<storm_finding> find_unfinished(job_cluster& system, const std::vector<storm_job>& jobs);
	/// \brief All that is known of a finding: the events of the storm, what workers and logs tell of the task, and the
	/// ends of all logs.
	[[nodiscard]] std::string describe(job_cluster& system, const storm_finding& finding,
									   const std::vector<std::string>& events);
	/// \brief The time of the logs for a moment.
	[[nodiscard]] std::int64_t log_time(instant when);
}
