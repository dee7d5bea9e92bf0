// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Draws a day from the logs of many processes, so that a person can look instead of read.
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
	/// \brief What happened within one second, over all processes.
	struct report_second
	{
		int accepted{}; ///< Jobs.
		int refused{};
		int completed{};
		int failed{};
		int cancelled{};
		int ordered{}; ///< Runs.
		int done{};
		int broken_off{}; ///< Runs that ended in any other way.
	};

	/// \brief What a mark on the line of a process stands for.
	enum class report_mark_kind : std::uint8_t
	{
		process,       ///< It started, became ready, stops.
		ownership,     ///< It became the owner, or ceased to be.
		configuration, ///< A version came into force.
		worker,        ///< Its worker, or one that it owns, came, left, fell silent or is avoided.
		store,         ///< The store was lost, or answers again.
	};

	/// \brief One event on the line of a process.
	struct report_mark
	{
		std::int64_t time_ms{}; ///< Unix time by the clock of that process's instance.
		report_mark_kind kind{};
		std::string text; ///< The event and its details.
	};

	/// \brief All that a report shows.
	struct day_report
	{
		std::map<std::int64_t, report_second> seconds;           ///< By Unix time; those without events are absent.
		std::map<std::string, std::vector<report_mark>> process; ///< By the name of the log.
	};

	/// \brief Takes in one log; what is no line of a log is passed over.
	void read_day(std::istream& log, const std::string& process, day_report& out);

	/// \brief Writes a self-contained HTML page.
	void write_report(const day_report& day, std::ostream& out);

	/// \brief Reads log files and writes the page to standard output.
	/// \returns failed where a file cannot be read or none has an event that the page shows.
	[[nodiscard]] exit_code run_report(const std::vector<std::string>& files);
}
