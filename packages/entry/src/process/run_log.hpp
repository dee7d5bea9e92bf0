// SPDX-License-Identifier: MIT
/// \file
/// \brief Log lines about many runs at once.
#pragma once

#include <trailjunction/core/event.hpp>
#include <trailjunction/jobs/job_ids.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace trailjunction
{
	/// \brief Gathers what happened to runs and writes one line for each job and outcome.
	/// \details With a line for each run, the bound of 200 lines a second left out most of 900 runs a second.
	class run_log
	{
	public:
		/// \param what The event of all lines.
		explicit run_log(event what) noexcept : what_{what} {}

		/// \brief Notes one run; \p how is empty where the event has no outcomes.
		void note(const task_run& run, const worker_life& worker, std::string_view how = {});

		/// \brief Writes what was noted.
		void write();

		/// \brief The runs of one line: `OCCURRENCE/GROUP/INDEX:RUN@WORKER`, with blanks between them.
		struct entry
		{
			job_id job;
			std::string how;
			std::size_t count{};
			std::string runs;
		};

		[[nodiscard]] const std::vector<entry>& noted() const noexcept
		{
			return entries_;
		}

	private:
		[[nodiscard]] entry& entry_for(const job_id& job, std::string_view how);

		event what_;
		std::vector<entry> entries_;
	};
}
