// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief The process of an entry that accepts and owns jobs.
#pragma once

#include "evacuation_rows.hpp"
#include "job_entry_settings.hpp"
#include "job_gateway.hpp"
#include "upkeep_port.hpp"

#include <trailjunction/net/http_server.hpp>
#include <trailjunction/net/program.hpp>
#include <trailjunction/store/row_store.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string_view>

namespace trailjunction
{
	/// \brief Connects an entry to its platform: the store, the job API, and the rows of operators.
	struct entry_adapters
	{
		std::function<std::unique_ptr<row_store>(boost::asio::io_context&, endpoint)> make_store;
		std::function<http_server::handler(job_gateway&)> make_job_handler;
		row_name configuration_row;
		std::function<absl::StatusOr<job_configuration>(std::string_view)> decode_configuration;
		evacuation_rows evacuations;
		upkeep_adapter upkeep;
	};

	/// \brief The source of the settings, for a process that reloads them when they change.
	struct entry_settings_source
	{
		std::string path;
		std::function<absl::StatusOr<job_entry_settings>()> load;
	};

	/// \brief Runs an entry until a stop signal.
	/// \details Changed settings are checked as at the start. Changes that can_reload() accepts take effect at once.
	/// Others take effect only after a restart, which is logged. If the new settings are invalid, the previous ones
	/// stay in effect.
	[[nodiscard]] exit_code run_job_entry(const job_entry_settings& settings, const entry_settings_source& source,
										  const entry_adapters& adapters);
}
