// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Renders the logs of many processes as an HTML page with charts and a timeline for each process.
#pragma once

#include <trailjunction/net/program.hpp>

#include <cstdint>
#include <istream>
#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace trailjunction
{
	/// \brief Counts of events within one second, over all processes.
	struct report_second
	{
		int accepted{};        ///< Jobs.
		int refused{};         ///< Jobs.
		int completed{};       ///< Jobs.
		int failed{};          ///< Jobs.
		int cancelled{};       ///< Jobs.
		int ordered{};         ///< Runs.
		int done{};            ///< Runs.
		int ended_otherwise{}; ///< Runs that ended in any other way than done.
	};

	/// \brief The kind of an event that is marked on the timeline of a process.
	enum class report_mark_kind : std::uint8_t
	{
		process,       ///< The process started, became ready or is stopping.
		ownership,     ///< The process became the owner or ceased to be the owner.
		configuration, ///< A configuration was applied or refused.
		worker,        ///< A worker appeared, left, stopped responding or is avoided.
		store,         ///< The store became unreachable or reachable again.
	};

	/// \brief One event on the timeline of a process.
	struct report_mark
	{
		std::int64_t time_ms{}; ///< Unix time by the clock of the instance of the process.
		report_mark_kind kind{};
		std::string text; ///< The log line as JSON.
	};

	/// \brief The contents of a report.
	struct log_report
	{
		std::map<std::int64_t, report_second> seconds;             ///< By Unix time; seconds without events are absent.
		std::map<std::string, std::vector<report_mark>> processes; ///< By the name of the log file.
	};

	/// \brief Adds the events of one log to a report; text that is not a log line is skipped.
	void read_report_log(std::istream& log, const std::string& process, log_report& out);

	/// \brief Writes a report as a self-contained HTML page; writes nothing if the report is empty.
	void write_report(const log_report& report, std::ostream& out);

	/// \brief Reads log files and writes the page to standard output.
	/// \returns failed if a file cannot be read or no log contains an event that the page shows.
	[[nodiscard]] exit_code run_report(const std::vector<std::string>& files);
}
