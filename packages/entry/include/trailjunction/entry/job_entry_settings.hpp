// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Settings of an entry that takes and owns jobs.
#pragma once

#include "upkeep_port.hpp"

#include <trailjunction/core/ids.hpp>
#include <trailjunction/jobs/ownership.hpp>
#include <trailjunction/jobs/run_lease.hpp>
#include <trailjunction/net/endpoint.hpp>

#include <absl/status/statusor.h>
#include <boost/json/value.hpp>

#include <optional>
#include <string>

namespace trailjunction
{
	/// \brief What one entry is told at its start; see docs/OPERATORS.md.
	struct job_entry_settings
	{
		member_id member;
		std::string data_centre;
		std::optional<endpoint> callers;   ///< Where jobs are handed in.
		std::optional<endpoint> readiness; ///< Where the balancer asks whether the entry is ready.
		std::optional<endpoint> metrics;
		std::optional<endpoint> store;
		double processors{1.0};          ///< What this instance may use of them; shares count as parts of one.
		millis contact{3'000};           ///< A fault that lasts less than this should cost no more than a delay.
		millis longest_run_lease{6'000}; ///< Workers cut longer leases down.
		/// Nothing starts in a data centre so long after operators have asked to empty it; from the users' bounds.
		millis evacuate_within{5'000};
		millis status_kept{120'000}; ///< How long an ended job can be asked for.
		millis stop_within{6'000};   ///< The longest that a planned stop takes.
		/// The owner forecasts its workers' room, and entries refuse jobs that by it certainly end too late to be of
		/// use.
		bool forecast_room{};
		std::optional<upkeep_settings> upkeep; ///< Nothing: waves of upkeep are not served.
	};

	/// \brief Checks everything and names every fault.
	[[nodiscard]] absl::StatusOr<job_entry_settings> read_job_entry_settings(const boost::json::value& value);

	/// \brief Whether two settings differ only in what a running entry can take over.
	[[nodiscard]] bool same_identity(const job_entry_settings& left, const job_entry_settings& right) noexcept;

	/// \brief Times of ownership that follow from the settings.
	[[nodiscard]] ownership_times ownership_times_of(const job_entry_settings& settings) noexcept;

	/// \brief Times of run leases that follow from the settings.
	[[nodiscard]] run_lease_times run_lease_times_of(const job_entry_settings& settings) noexcept;
}
