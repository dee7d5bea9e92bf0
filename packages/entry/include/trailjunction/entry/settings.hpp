// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Settings of an entry that serves requests and tasks.
#pragma once

#include <trailjunction/core/ids.hpp>
#include <trailjunction/decide/process/protocol_times.hpp>
#include <trailjunction/net/endpoint.hpp>

#include <absl/status/statusor.h>
#include <boost/json/value.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace trailjunction
{
	/// \brief The settings of one entry that serves requests and tasks; see docs/OPERATORS.md.
	struct entry_settings
	{
		member_id member;
		data_centre_id data_centre;
		std::string region{"dc1"};         ///< The region on whose workers tasks are scheduled.
		std::optional<endpoint> callers;   ///< Address for requests of callers.
		std::optional<endpoint> operators; ///< Address for operator commands, metrics and health checks.
		std::optional<endpoint> platform;
		std::optional<endpoint> collector; ///< Collector of traces; absent: traces are not exported.
		std::vector<endpoint> peers; ///< Other entries; source of the configuration while the store is unreachable.
		std::int64_t shards{4}; ///< Number of shards of the tasks of the region; must be the same at all its entries.
		std::int64_t writes_per_second{30}; ///< Maximum rate of journal writes of this entry.
		protocol_times times;
		millis stop_within{15'000}; ///< Time limit of a graceful shutdown.
	};

	/// \brief Parses and checks the settings.
	/// \returns The settings, or an error that names all faults.
	[[nodiscard]] absl::StatusOr<entry_settings> read_entry_settings(const boost::json::value& value);
}
