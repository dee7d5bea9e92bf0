// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Tells the story of one job from the logs of many processes.
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
	/// \brief One line of a log that concerns the job.
	struct story_line
	{
		std::int64_t time_ms{}; ///< Unix time by the clock of that process's instance.
		std::string process;    ///< The name of the log.
		std::string event;
		std::string details; ///< The other fields, `name=value`.
	};

	/// \brief The lines of one log that concern a job; what is no line of a log is passed over.
	void read_story(std::istream& log, const std::string& process, const job_id& job, std::vector<story_line>& out);

	/// \brief Writes the lines in the order of their times, each with the time since the one before.
	void write_story(std::vector<story_line> lines, std::ostream& out);

	/// \brief Reads log files and writes the story to standard output.
	/// \returns failed where a file cannot be read or no line concerns the job.
	[[nodiscard]] exit_code run_explain(const job_id& job, const std::vector<std::string>& files);
}
