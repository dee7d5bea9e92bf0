// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Process of the agent that runs tasks of jobs; see agent_process.hpp for the agent that serves requests.
#pragma once

#include "job_agent_settings.hpp"
#include "worker_port.hpp"

#include <trailjunction/net/http_server.hpp>
#include <trailjunction/net/program.hpp>
#include <trailjunction/store/row_store.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace trailjunction
{
	/// \brief Receives a worker's heartbeats and its notice that it is about to end.
	class worker_listener
	{
	public:
		worker_listener() = default;
		virtual ~worker_listener() = default;
		worker_listener(const worker_listener&) = delete;
		worker_listener& operator=(const worker_listener&) = delete;

		virtual void on_heartbeat(worker_heartbeat heartbeat) = 0;
		virtual void on_worker_leaving(const worker_incarnation& incarnation_id) = 0;
	};

	/// \brief Factories of the adapters that connect an agent to its store and its worker.
	struct agent_adapters
	{
		std::function<std::unique_ptr<row_store>(boost::asio::io_context&, endpoint)> make_store;
		std::function<std::unique_ptr<worker_port>(boost::asio::io_context&, endpoint)> make_worker;
		std::function<http_server::handler(worker_listener&)> make_heartbeat_handler;
	};

	/// \brief Source of the settings, for a process that reloads them when they change.
	struct agent_settings_source
	{
		std::string path;
		std::function<absl::StatusOr<job_agent_settings>()> load;
	};

	/// \brief Runs an agent until it receives a stop signal.
	/// \details Changed settings are checked as at the start. The time limit of a graceful shutdown takes effect at
	/// once, all other settings after a restart; the log says whether a restart is needed. Invalid settings are refused
	/// and the previous ones stay in force.
	[[nodiscard]] exit_code run_job_agent(const job_agent_settings& settings, const agent_settings_source& source,
										  const agent_adapters& adapters);
}
