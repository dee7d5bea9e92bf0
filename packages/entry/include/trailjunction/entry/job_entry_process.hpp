// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief The process of an entry that takes and owns jobs.
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
	/// \brief What carries an entry's words to its surroundings.
	struct entry_carriers
	{
		std::function<std::unique_ptr<row_store>(boost::asio::io_context&, endpoint)> make_store;
		std::function<http_server::handler(job_gateway&)> make_job_handler;
		row_name configuration_row;
		std::function<absl::StatusOr<job_configuration>(std::string_view)> decode_configuration;
		evacuation_rows evacuations;
		upkeep_carrier upkeep;
	};

	/// \brief Where the settings come from, for a process that reads them again when they change.
	struct entry_settings_source
	{
		std::string path;
		std::function<absl::StatusOr<job_entry_settings>()> load;
	};

	/// \brief Runs until a stop signal.
	/// \details Settings that change are checked as at the start; times are in force at once, addresses and names only
	/// after a restart, which the log says. Faulty ones leave those before in force.
	[[nodiscard]] exit_code run_job_entry(const job_entry_settings& settings, const entry_settings_source& source,
										  const entry_carriers& carriers);
}
