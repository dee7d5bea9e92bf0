// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Settings of an entry that accepts and owns jobs.
#pragma once

#include "upkeep_port.hpp"

#include <trailjunction/core/ids.hpp>
#include <trailjunction/jobs/ownership.hpp>
#include <trailjunction/jobs/run_lease.hpp>
#include <trailjunction/net/endpoint.hpp>
#include <trailjunction/store/row_limits.hpp>

#include <absl/status/statusor.h>
#include <boost/json/value.hpp>

#include <optional>
#include <string>

namespace trailjunction
{
	/// \brief The settings of one entry that accepts and owns jobs; see docs/OPERATORS.md.
	struct job_entry_settings
	{
		member_id member;
		std::string data_centre;
		std::optional<endpoint> callers;   ///< Address of the job API.
		std::optional<endpoint> readiness; ///< Address of the readiness check for the load balancer.
		std::optional<endpoint> metrics;
		std::optional<endpoint> store;
		double processors{1.0};          ///< Processors that this instance may use; may be a fraction.
		millis contact{3'000};           ///< A fault that is shorter than this should cause only a delay.
		millis longest_run_lease{6'000}; ///< Workers shorten longer leases to this.
		/// Time from an operators' evacuation request until nothing starts in the data centre any more; set by the
		/// users' requirements.
		millis evacuate_within{5'000};
		millis status_kept{120'000}; ///< How long the status of an ended job can be read.
		millis stop_within{6'000};   ///< Time limit of a graceful shutdown.
		/// Whether the owner forecasts the free capacity of its workers, and entries refuse jobs that by this forecast
		/// certainly end too late for their caller.
		bool forecast_room{};
		row_limits store_limits;               ///< Rows that exceed them are not written.
		std::optional<upkeep_settings> upkeep; ///< Absent: waves of upkeep are not carried out.
	};

	/// \brief Parses and checks the settings.
	/// \returns The settings, or an error that names all faults.
	[[nodiscard]] absl::StatusOr<job_entry_settings> read_job_entry_settings(const boost::json::value& value);

	/// \brief Whether two settings differ only in fields that a running entry can reload.
	[[nodiscard]] bool can_reload(const job_entry_settings& left, const job_entry_settings& right) noexcept;

	/// \brief Derives the times of ownership from the settings.
	[[nodiscard]] ownership_times ownership_times_of(const job_entry_settings& settings) noexcept;

	/// \brief Derives the times of run leases from the settings.
	[[nodiscard]] run_lease_times run_lease_times_of(const job_entry_settings& settings) noexcept;
}
