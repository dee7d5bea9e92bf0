// SPDX-License-Identifier: MIT
/// \file
/// \brief The program `trailjunction-agent`.
#include <trailjunction/agent.hpp>
#include <trailjunction/core/event.hpp>
#include <trailjunction/core/json.hpp>
#include <trailjunction/platform/heartbeat_handler.hpp>
#include <trailjunction/platform/table_store.hpp>
#include <trailjunction/platform/worker_client.hpp>

#include <boost/program_options.hpp>

#include <iostream>
#include <memory>

namespace po = boost::program_options;
using trailjunction::exit_code;

namespace
{
	trailjunction::agent_adapters platform_adapters()
	{
		using namespace trailjunction;
		return {[](boost::asio::io_context& io, endpoint address)
				{ return std::make_unique<platform::table_store>(io, address); },
				[](boost::asio::io_context& io, endpoint address)
				{ return std::make_unique<platform::worker_client>(io, address); },
				[](worker_listener& listener)
				{
					return platform::make_heartbeat_handler({[&listener](worker_heartbeat heartbeat)
															 { listener.on_heartbeat(std::move(heartbeat)); },
															 [&listener](worker_incarnation incarnation_id)
															 {
																 listener.on_worker_leaving(incarnation_id);
															 }});
				}};
	}

	/// Runs a job agent, or only checks its settings.
	int run_jobs(const std::string& path, const boost::json::value& file, bool check_only)
	{
		const auto settings = trailjunction::read_job_agent_settings(file);
		if (!settings.ok())
		{
			std::cerr << "trailjunction-agent: " << path << ":\n" << settings.status().message() << "\n";
			return static_cast<int>(exit_code::usage);
		}
		if (check_only)
		{
			std::cout << path << ": ok\n";
			return static_cast<int>(exit_code::ok);
		}
		trailjunction::init_logging("trailjunction-agent");
		const auto load = [path]() -> absl::StatusOr<trailjunction::job_agent_settings>
		{
			const auto reloaded = trailjunction::read_settings_file(path);
			if (!reloaded.ok())
				return reloaded.status();
			return trailjunction::read_job_agent_settings(*reloaded);
		};
		return static_cast<int>(trailjunction::run_job_agent(*settings, {path, load}, platform_adapters()));
	}

	int run(int argc, char** argv)
	{
		po::options_description options{"Usage: trailjunction-agent --settings FILE\n\nOptions"};
		options.add_options()("settings", po::value<std::string>(), "JSON settings of this agent")(
			"check", "check the settings and exit")("help", "print this text")("version", "print the version");
		po::variables_map given;
		try
		{
			po::store(po::parse_command_line(argc, argv, options), given);
		}
		catch (const po::error& parse_error)
		{
			std::cerr << "trailjunction-agent: " << parse_error.what() << "\n";
			return static_cast<int>(exit_code::usage);
		}
		if (given.count("help") != 0)
		{
			std::cout << options;
			return static_cast<int>(exit_code::ok);
		}
		if (given.count("version") != 0)
		{
			std::cout << "trailjunction-agent " << TRAILJUNCTION_VERSION << "\n";
			return static_cast<int>(exit_code::ok);
		}
		if (given.count("settings") == 0)
		{
			std::cerr << "trailjunction-agent: --settings FILE is required\n";
			return static_cast<int>(exit_code::usage);
		}
		const auto path = given["settings"].as<std::string>();
		const auto file = trailjunction::read_settings_file(path);
		if (!file.ok())
		{
			std::cerr << "trailjunction-agent: " << file.status().message() << "\n";
			return static_cast<int>(exit_code::usage);
		}
		if (file->is_object() && trailjunction::text_or(file->get_object(), "mode") == "jobs")
			return run_jobs(path, *file, given.count("check") != 0);
		const auto settings = trailjunction::read_agent_settings(*file);
		if (!settings.ok())
		{
			std::cerr << "trailjunction-agent: " << path << ":\n" << settings.status().message() << "\n";
			return static_cast<int>(exit_code::usage);
		}
		if (given.count("check") != 0)
		{
			std::cout << path << ": ok\n";
			return static_cast<int>(exit_code::ok);
		}
		trailjunction::init_logging("trailjunction-agent");
		return static_cast<int>(trailjunction::run_agent(*settings));
	}
}

int main(int argc, char** argv)
{
	try
	{
		return run(argc, argv);
	}
	catch (const std::exception& unhandled)
	{
		std::cerr << "trailjunction-agent: " << unhandled.what() << "\n";
		return static_cast<int>(exit_code::failed);
	}
}
