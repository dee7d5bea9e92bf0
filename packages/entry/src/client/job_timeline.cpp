// SPDX-License-Identifier: MIT
#include "log_files.hpp"

#include <trailjunction/core/json.hpp>
#include <trailjunction/entry/job_timeline.hpp>

#include <absl/strings/str_cat.h>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <iostream>

namespace trailjunction
{
	namespace json = boost::json;

	namespace
	{
		bool concerns(const json::object& line, const job_id& job)
		{
			return text_or(line, "job") == job.str() || text_or(line, "task").starts_with(job.str() + "/");
		}

		bool is_detail(std::string_view name) noexcept
		{
			return name != "time_ms" && name != "event" && name != "name" && name != "level";
		}

		std::string format_details(const json::object& line)
		{
			std::string out;
			for (const auto& [name, value] : line)
				if (is_detail(name))
					absl::StrAppend(&out, out.empty() ? "" : " ", std::string{name}, "=", json::serialize(value));
			return out;
		}
	}

	void read_timeline(std::istream& log, const std::string& process, const job_id& job,
					   std::vector<timeline_entry>& out)
	{
		for (std::string text; std::getline(log, text);)
		{
			if (text.find(job.str()) == std::string::npos)
				continue;
			const auto parsed = parse_json(text);
			if (!parsed.ok() || !parsed->is_object() || !concerns(parsed->get_object(), job))
				continue;
			const auto& line = parsed->get_object();
			out.push_back({number_or(line, "time_ms"), process, text_or(line, "name"), format_details(line)});
		}
	}

	void write_timeline(std::vector<timeline_entry> lines, std::ostream& out)
	{
		std::stable_sort(lines.begin(), lines.end(),
						 [](const timeline_entry& left, const timeline_entry& right)
						 { return left.time_ms < right.time_ms; });
		auto previous_ms = lines.empty() ? 0 : lines.front().time_ms;
		for (const auto& line : lines)
		{
			out << line.time_ms << " +" << line.time_ms - previous_ms << " ms " << line.process << ' ' << line.event
				<< ' ' << line.details << '\n';
			previous_ms = line.time_ms;
		}
	}

	exit_code run_explain(const job_id& job, const std::vector<std::string>& files)
	{
		std::vector<timeline_entry> lines;
		const auto status = read_log_files(files, [&](std::istream& log, const std::string& process)
										   { read_timeline(log, process, job, lines); });
		if (!status.ok())
		{
			std::cerr << "trailjunction: " << status.message() << "\n";
			return exit_code::failed;
		}
		if (lines.empty())
		{
			std::cerr << "trailjunction: the logs contain no line about job " << job << "\n";
			return exit_code::failed;
		}
		write_timeline(std::move(lines), std::cout);
		return exit_code::ok;
	}
}
