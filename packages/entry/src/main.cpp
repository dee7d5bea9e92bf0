// SPDX-License-Identifier: MIT
/// \file
/// \brief The program `trailjunction`.
#include <trailjunction/core/event.hpp>
#include <trailjunction/core/json.hpp>
#include <trailjunction/entry.hpp>
#include <trailjunction/platform/instance_client.hpp>
#include <trailjunction/platform/job_handler.hpp>
#include <trailjunction/platform/operator_rows.hpp>
#include <trailjunction/platform/table_store.hpp>

#include <boost/program_options.hpp>

#include <iostream>
#include <memory>
#include <optional>
#include <vector>

namespace po = boost::program_options;
using trailjunction::exit_code;

namespace
{
	constexpr const char* usage =
		"Usage:\n"
		"  trailjunction entry --settings FILE    run an entry\n"
		"  trailjunction query [--entry IP:PORT] [--format table|json] 'COMMAND'\n"
		"  trailjunction check FILE               check an entry's settings\n"
		"  trailjunction explain JOB LOG...       print the timeline of a job from the logs of all processes\n"
		"  trailjunction report LOG...            print an HTML page with charts of the logs of all processes\n"
		"\n"
		"Exit codes: 0 success, 1 refused or failed, 2 invalid usage or settings, 3 no response.\n"
		"\n"
		"Options";

	int fail(const std::string& reason, exit_code code)
	{
		std::cerr << "trailjunction: " << reason << "\n";
		return static_cast<int>(code);
	}

	/// Holds exactly one of the two kinds of settings, according to the `mode` field.
	struct any_settings
	{
		std::optional<trailjunction::entry_settings> requests;
		std::optional<trailjunction::job_entry_settings> jobs;
	};

	absl::Status at_path(const std::string& path, const absl::Status& fault)
	{
		return absl::InvalidArgumentError(path + ":\n" + std::string{fault.message()});
	}

	absl::StatusOr<any_settings> load(const std::string& path)
	{
		const auto file = trailjunction::read_settings_file(path);
		if (!file.ok())
			return file.status();
		any_settings out;
		if (file->is_object() && trailjunction::text_or(file->get_object(), "mode") == "jobs")
		{
			auto settings = trailjunction::read_job_entry_settings(*file);
			if (!settings.ok())
				return at_path(path, settings.status());
			out.jobs = *std::move(settings);
			return out;
		}
		auto settings = trailjunction::read_entry_settings(*file);
		if (!settings.ok())
			return at_path(path, settings.status());
		out.requests = *std::move(settings);
		return out;
	}

	absl::StatusOr<trailjunction::job_entry_settings> load_jobs(const std::string& path)
	{
		auto settings = load(path);
		if (!settings.ok())
			return settings.status();
		if (!settings->jobs)
			return absl::InvalidArgumentError(path + ":\n/mode: cannot change while the process runs");
		return *std::move(settings->jobs);
	}

	trailjunction::entry_adapters make_platform_adapters()
	{
		using namespace trailjunction;
		return {[](boost::asio::io_context& io, endpoint address)
				{ return std::make_unique<platform::table_store>(io, address); },
				platform::make_job_handler,
				platform::configuration_row(),
				platform::decode_configuration,
				platform::make_evacuation_rows(),
				platform::make_upkeep_adapter()};
	}

	int run_entry_command(const po::variables_map& parsed_options)
	{
		if (parsed_options.count("settings") == 0)
			return fail("entry: expected --settings FILE", exit_code::usage);
		const auto path = parsed_options["settings"].as<std::string>();
		const auto settings = load(path);
		if (!settings.ok())
			return fail(std::string{settings.status().message()}, exit_code::usage);
		trailjunction::init_logging("trailjunction");
		if (settings->jobs)
			return static_cast<int>(trailjunction::run_job_entry(*settings->jobs,
																 {path,
																  [path]
																  {
																	  return load_jobs(path);
																  }},
																 make_platform_adapters()));
		return static_cast<int>(trailjunction::run_entry(*settings->requests));
	}

	int run_check_command(const std::vector<std::string>& words)
	{
		if (words.size() != 2)
			return fail("check: expected one FILE", exit_code::usage);
		const auto settings = load(words[1]);
		if (!settings.ok())
			return fail(std::string{settings.status().message()}, exit_code::usage);
		std::cout << words[1] << ": ok\n";
		return static_cast<int>(exit_code::ok);
	}

	int run_explain_command(const std::vector<std::string>& words)
	{
		constexpr std::size_t min_words = 3;
		if (words.size() < min_words)
			return fail("explain: expected a JOB and at least one LOG", exit_code::usage);
		return static_cast<int>(
			trailjunction::run_explain(trailjunction::job_id{words[1]}, {words.begin() + 2, words.end()}));
	}

	int run_report_command(const std::vector<std::string>& words)
	{
		if (words.size() < 2)
			return fail("report: expected at least one LOG", exit_code::usage);
		return static_cast<int>(trailjunction::run_report({words.begin() + 1, words.end()}));
	}

	int run_query_command(const po::variables_map& parsed_options, const std::vector<std::string>& words)
	{
		const auto entry = trailjunction::parse_endpoint(parsed_options["entry"].as<std::string>());
		if (!entry.ok())
			return fail("--entry: " + std::string{entry.status().message()}, exit_code::usage);
		const auto format = parsed_options["format"].as<std::string>();
		if (format != "table" && format != "json")
			return fail("--format: is '" + format + "', expected table or json", exit_code::usage);
		std::string command;
		for (std::size_t i = 1; i < words.size(); ++i)
			command += (i > 1 ? " " : "") + words[i];
		const auto chosen = format == "json" ? trailjunction::output_format::json : trailjunction::output_format::table;
		return static_cast<int>(trailjunction::run_query(*entry, command, chosen));
	}

	int run(int argc, char** argv)
	{
		po::options_description options{usage};
		options.add_options()("settings", po::value<std::string>(), "JSON settings of an entry")(
			"entry", po::value<std::string>()->default_value("127.0.0.1:7001"),
			"address for operator commands of an entry")("format", po::value<std::string>()->default_value("table"),
														 "output format: table or json")("help", "print this text")(
			"version", "print the version")("words", po::value<std::vector<std::string>>(), "");
		po::positional_options_description positions;
		positions.add("words", -1);
		po::variables_map parsed_options;
		try
		{
			po::store(po::command_line_parser(argc, argv).options(options).positional(positions).run(), parsed_options);
		}
		catch (const po::error& fault)
		{
			return fail(fault.what(), exit_code::usage);
		}
		if (parsed_options.count("help") != 0)
		{
			std::cout << options;
			return static_cast<int>(exit_code::ok);
		}
		if (parsed_options.count("version") != 0)
		{
			std::cout << "trailjunction " << TRAILJUNCTION_VERSION << "\n";
			return static_cast<int>(exit_code::ok);
		}
		const auto words = parsed_options.count("words") == 0 ? std::vector<std::string>{}
															  : parsed_options["words"].as<std::vector<std::string>>();
		if (words.empty())
			return fail("expected a command: entry, query, check, explain or report; see --help", exit_code::usage);
		if (words[0] == "entry")
			return run_entry_command(parsed_options);
		if (words[0] == "check")
			return run_check_command(words);
		if (words[0] == "explain")
			return run_explain_command(words);
		if (words[0] == "report")
			return run_report_command(words);
		if (words[0] == "query")
			return run_query_command(parsed_options, words);
		return fail("unknown command '" + words[0] + "', expected entry, query, check, explain or report",
					exit_code::usage);
	}
}

int main(int argc, char** argv)
{
	try
	{
		return run(argc, argv);
	}
	catch (const std::exception& fault)
	{
		return fail(fault.what(), exit_code::failed);
	}
}
