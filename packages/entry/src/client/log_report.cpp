// SPDX-License-Identifier: MIT
#include "log_files.hpp"

#include <trailjunction/core/json.hpp>
#include <trailjunction/entry/log_report.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <iostream>
#include <optional>

namespace trailjunction
{
	namespace json = boost::json;

	namespace
	{
		constexpr std::int64_t ms_per_second = 1'000;

		std::optional<report_mark_kind> kind_of(const std::string& event)
		{
			static const absl::flat_hash_map<std::string, report_mark_kind> kinds{
				{"process_started", report_mark_kind::process},
				{"process_ready", report_mark_kind::process},
				{"process_stopping", report_mark_kind::process},
				{"shard_taken", report_mark_kind::ownership},
				{"shard_recovered", report_mark_kind::ownership},
				{"shard_lost", report_mark_kind::ownership},
				{"config_applied", report_mark_kind::configuration},
				{"config_refused", report_mark_kind::configuration},
				{"worker_seen", report_mark_kind::worker},
				{"worker_leaving", report_mark_kind::worker},
				{"worker_gone", report_mark_kind::worker},
				{"worker_silent", report_mark_kind::worker},
				{"worker_lapsed", report_mark_kind::worker},
				{"worker_avoided", report_mark_kind::worker},
				{"task_given_up", report_mark_kind::worker},
				{"task_held_back", report_mark_kind::worker},
				{"platform_unreachable", report_mark_kind::store},
				{"platform_back", report_mark_kind::store},
			};
			const auto found = kinds.find(event);
			return found == kinds.end() ? std::nullopt : std::optional{found->second};
		}

		/// The counter that an event increments, or null.
		int* counter_of(const json::object& line, const std::string& event, report_second& second)
		{
			if (event == "job_accepted")
				return &second.accepted;
			if (event == "job_refused")
				return &second.refused;
			if (event == "run_ordered")
				return &second.ordered;
			if (event == "run_ended")
				return text_or(line, "how") == "done" ? &second.done : &second.ended_otherwise;
			if (event != "job_ended")
				return nullptr;
			const auto status = text_or(line, "status");
			if (status == "completed")
				return &second.completed;
			return status == "cancelled" ? &second.cancelled : &second.failed;
		}

		/// The number of events that a line stands for; a line about runs may stand for many.
		int event_count(const json::object& line)
		{
			return static_cast<int>(std::max<std::int64_t>(1, number_or(line, "count")));
		}

		/// The text from the first brace on, since logs may be prefixed with other text; incomplete lines are skipped
		/// by the caller.
		std::string_view json_part(std::string_view text)
		{
			const auto begin = text.find('{');
			return begin == std::string_view::npos ? std::string_view{} : text.substr(begin);
		}

		std::string escape_html(std::string_view text)
		{
			std::string out;
			for (const char c : text)
				switch (c)
				{
				case '<':
					out += "&lt;";
					break;
				case '>':
					out += "&gt;";
					break;
				case '&':
					out += "&amp;";
					break;
				case '"':
					out += "&quot;";
					break;
				default:
					out += c;
				}
			return out;
		}

		/// The time range that the page covers.
		struct time_span
		{
			std::int64_t first_ms{};
			std::int64_t last_ms{};
		};

		std::optional<time_span> find_time_span(const log_report& report)
		{
			std::optional<time_span> out;
			const auto add = [&](std::int64_t first, std::int64_t last)
			{
				if (!out)
					out = time_span{first, last};
				out->first_ms = std::min(out->first_ms, first);
				out->last_ms = std::max(out->last_ms, last);
			};
			for (const auto& [second, figures] : report.seconds)
				add(second * ms_per_second, (second + 1) * ms_per_second);
			for (const auto& [process, marks] : report.processes)
				for (const auto& mark : marks)
					add(mark.time_ms, mark.time_ms);
			return out;
		}

		// Sizes in pixels.
		constexpr double page_width = 1'200.0;
		constexpr double name_width = 190.0;
		constexpr double chart_height = 110.0;
		constexpr double line_height = 18.0;
		constexpr double mark_width = 3.0;

		class html_page
		{
		public:
			html_page(std::ostream& out, time_span span) : out_{out}, span_{span} {}

			[[nodiscard]] double x_position(std::int64_t time_ms) const noexcept
			{
				const auto total_ms = static_cast<double>(std::max<std::int64_t>(1, span_.last_ms - span_.first_ms));
				return name_width +
					   (page_width - name_width) * static_cast<double>(time_ms - span_.first_ms) / total_ms;
			}

			[[nodiscard]] std::ostream& out() noexcept
			{
				return out_;
			}

			[[nodiscard]] std::int64_t ms_since_start(std::int64_t time_ms) const noexcept
			{
				return time_ms - span_.first_ms;
			}

		private:
			std::ostream& out_;
			time_span span_;
		};

		struct chart_series
		{
			const char* name;
			const char* color;
			int report_second::*figure;
		};

		constexpr std::array<chart_series, 5> job_series{{
			{"accepted", "#9db7d5", &report_second::accepted},
			{"completed", "#3a7d44", &report_second::completed},
			{"refused", "#d1495b", &report_second::refused},
			{"failed", "#8c2f39", &report_second::failed},
			{"cancelled", "#8d99ae", &report_second::cancelled},
		}};
		constexpr std::array<chart_series, 3> run_series{{
			{"ordered", "#9db7d5", &report_second::ordered},
			{"done", "#3a7d44", &report_second::done},
			{"ended otherwise", "#d1495b", &report_second::ended_otherwise},
		}};

		template <std::size_t Count>
		int max_value(const log_report& report, const std::array<chart_series, Count>& series)
		{
			int out = 1;
			for (const auto& [second, figures] : report.seconds)
				for (const auto& item : series)
					out = std::max(out, figures.*item.figure);
			return out;
		}

		template <std::size_t Count>
		void write_totals(html_page& page, const log_report& report, const std::array<chart_series, Count>& series)
		{
			page.out() << "<p>";
			for (const auto& item : series)
			{
				int sum = 0;
				for (const auto& [second, figures] : report.seconds)
					sum += figures.*item.figure;
				page.out() << "<span style=\"color:" << item.color << "\">&#9632;</span> " << item.name << ' ' << sum
						   << " &nbsp; ";
			}
			page.out() << "</p>\n";
		}

		/// Draws one bar per second for each series, side by side.
		template <std::size_t Count>
		void write_chart(html_page& page, const log_report& report, const std::string& title,
						 const std::array<chart_series, Count>& series)
		{
			const auto max_count = max_value(report, series);
			page.out() << "<h2>" << title << "</h2>\n";
			write_totals(page, report, series);
			page.out() << "<svg width=\"" << page_width << "\" height=\"" << chart_height
					   << "\"><text x=\"0\" y=\"12\">" << max_count << " per second</text>\n";
			for (const auto& [second, figures] : report.seconds)
			{
				const auto left = page.x_position(second * ms_per_second);
				const auto width =
					(page.x_position((second + 1) * ms_per_second) - left) / static_cast<double>(Count + 1);
				for (std::size_t i = 0; i < Count; ++i)
				{
					const auto value = figures.*series[i].figure;
					if (value == 0)
						continue;
					const auto height = chart_height * value / max_count;
					page.out() << "<rect x=\"" << left + width * static_cast<double>(i) << "\" y=\""
							   << chart_height - height << "\" width=\"" << width << "\" height=\"" << height
							   << "\" fill=\"" << series[i].color << "\"><title>" << value << ' ' << series[i].name
							   << ", " << page.ms_since_start(second * ms_per_second) / ms_per_second
							   << " s</title></rect>\n";
				}
			}
			page.out() << "</svg>\n";
		}

		const char* color_of(report_mark_kind kind) noexcept
		{
			switch (kind)
			{
			case report_mark_kind::process:
				return "#222222";
			case report_mark_kind::ownership:
				return "#3a7d44";
			case report_mark_kind::configuration:
				return "#2f6690";
			case report_mark_kind::worker:
				return "#e08e1d";
			case report_mark_kind::store:
				return "#d1495b";
			}
			return "#222222";
		}

		void write_processes(html_page& page, const log_report& report)
		{
			page.out() << "<h2>Processes</h2>\n<p>Marks: process, <span style=\"color:#3a7d44\">owner</span>, "
						  "<span style=\"color:#2f6690\">configuration in force</span>, "
						  "<span style=\"color:#e08e1d\">workers</span>, <span style=\"color:#d1495b\">store</span>; "
						  "the event is shown on hover.</p>\n";
			page.out() << "<svg width=\"" << page_width << "\" height=\""
					   << line_height * static_cast<double>(report.processes.size()) << "\">\n";
			double top = 0.0;
			for (const auto& [process, marks] : report.processes)
			{
				page.out() << "<text x=\"0\" y=\"" << top + line_height - 5.0 << "\">" << escape_html(process)
						   << "</text><line x1=\"" << name_width << "\" x2=\"" << page_width << "\" y1=\""
						   << top + line_height / 2 << "\" y2=\"" << top + line_height / 2
						   << "\" stroke=\"#dddddd\"/>\n";
				for (const auto& mark : marks)
					page.out() << "<rect x=\"" << page.x_position(mark.time_ms) << "\" y=\"" << top + 2.0
							   << "\" width=\"" << mark_width << "\" height=\"" << line_height - 4.0 << "\" fill=\""
							   << color_of(mark.kind) << "\"><title>+" << page.ms_since_start(mark.time_ms) << " ms "
							   << escape_html(mark.text) << "</title></rect>\n";
				top += line_height;
			}
			page.out() << "</svg>\n";
		}
	}

	void read_report_log(std::istream& log, const std::string& process, log_report& out)
	{
		for (std::string text; std::getline(log, text);)
		{
			const auto parsed = parse_json(json_part(text));
			if (!parsed.ok() || !parsed->is_object())
				continue;
			const auto& line = parsed->get_object();
			const auto event = text_or(line, "name");
			const auto time_ms = number_or(line, "time_ms");
			if (event.empty() || time_ms <= 0)
				continue;
			report_second unused;
			if (counter_of(line, event, unused) != nullptr)
				*counter_of(line, event, out.seconds[time_ms / ms_per_second]) += event_count(line);
			else if (const auto kind = kind_of(event))
				out.processes[process].push_back({time_ms, *kind, json::serialize(line)});
		}
	}

	void write_report(const log_report& report, std::ostream& out)
	{
		const auto span = find_time_span(report);
		if (!span)
			return;
		html_page page{out, *span};
		out << "<!DOCTYPE html>\n<html><head><meta charset=\"utf-8\"><title>trailjunction: log report</title>"
			   "<style>body{font:13px sans-serif;margin:20px}svg text{font:11px sans-serif}</style></head><body>\n";
		out << "<h1>" << (span->last_ms - span->first_ms) / ms_per_second << " s from the logs of "
			<< report.processes.size() << " processes</h1>\n";
		write_chart(page, report, "Jobs", job_series);
		write_chart(page, report, "Runs of tasks", run_series);
		write_processes(page, report);
		out << "</body></html>\n";
	}

	exit_code run_report(const std::vector<std::string>& files)
	{
		log_report report;
		const auto status = read_log_files(files, [&](std::istream& log, const std::string& process)
										   { read_report_log(log, process, report); });
		if (!status.ok())
		{
			std::cerr << "trailjunction: " << status.message() << "\n";
			return exit_code::failed;
		}
		if (!find_time_span(report))
		{
			std::cerr << "trailjunction: the logs contain no event that a report shows\n";
			return exit_code::failed;
		}
		write_report(report, std::cout);
		return exit_code::ok;
	}
}
