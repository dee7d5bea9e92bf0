// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Extracts the timeline of one job from the logs of many processes.
#pragma once

#include <trailjunction/jobs/job_ids.hpp>
#include <trailjunction/net/program.hpp>

#include <cstdint>
#include <istream>
#include <ostream>
#include <string>
#include <vector>

namespace trailjunction
{
	/// \brief One log line about the job.
	struct timeline_entry
	{
		std::int64_t time_ms{}; ///< Unix time by the clock of the instance of the process.
		std::string process;    ///< The name of the log file.
		std::string event;
		std::string details; ///< The other fields as `name=value`, separated by spaces.
	};

	/// \brief Appends the lines of one log that concern a job; text that is not a log line is skipped.
	void read_timeline(std::istream& log, const std::string& process, const job_id& job,
					   std::vector<timeline_entry>& out);

	/// \brief Writes the lines in the order of their times, each with the time since the previous line.
	void write_timeline(std::vector<timeline_entry> lines, std::ostream& out);

	/// \brief Reads log files and writes the timeline of a job to standard output.
	/// \returns failed if a file cannot be read or no line concerns the job.
	[[nodiscard]] exit_code run_explain(const job_id& job, const std::vector<std::string>& files);
}
