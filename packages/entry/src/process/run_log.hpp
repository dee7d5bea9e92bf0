// SPDX-License-Identifier: MIT
/// \file
/// \brief Aggregated log lines about runs.
#pragma once

#include <trailjunction/core/event.hpp>
#include <trailjunction/jobs/job_ids.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace trailjunction
{
	/// \brief Collects events of runs and writes one log line for each job and outcome.
	/// \details One line for each run would exceed the limit of 200 lines a second: most of 900 runs a second were
	/// dropped that way.
	class run_log
	{
	public:
		/// \param logged_event The event that all lines carry.
		explicit run_log(event logged_event) noexcept : event_{logged_event} {}

		/// \brief Adds one run; \p outcome is empty for an event without outcomes.
		void add(const task_run& run, const worker_incarnation& worker, std::string_view outcome = {});

		/// \brief Writes the lines of all runs added since the last call.
		void flush();

		/// \brief One line; `runs` lists its runs as `OCCURRENCE/GROUP/INDEX:RUN@WORKER`, separated by blanks.
		struct entry
		{
			job_id job;
			std::string outcome;
			std::size_t count{};
			std::string runs;
		};

		[[nodiscard]] const std::vector<entry>& entries() const noexcept
		{
			return entries_;
		}

	private:
		[[nodiscard]] entry& find_or_add_entry(const job_id& job, std::string_view outcome);

		event event_;
		std::vector<entry> entries_;
	};
}
