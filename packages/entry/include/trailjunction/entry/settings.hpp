// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Settings of the entry.
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
	/// \brief What one entry is told at its start; see docs/OPERATORS.md.
	struct entry_settings
	{
		member_id member;
		data_centre_id data_centre;
		std::string region{"dc1"};         ///< Its tasks are scheduled on this region's workers.
		std::optional<endpoint> callers;   ///< Where callers' requests are taken.
		std::optional<endpoint> operators; ///< Where operators, metrics and health are served.
		std::optional<endpoint> platform;
		std::optional<endpoint> collector;  ///< Of traces; absent: nowhere.
		std::vector<endpoint> peers;        ///< Other entries, asked for the configuration while the store is away.
		std::int64_t shards{4};             ///< Of the region's tasks; the same at all its entries.
		std::int64_t writes_per_second{30}; ///< Journal writes of this entry at the most.
		protocol_times times;
		millis stop_within{15'000}; ///< The longest that a planned stop takes.
	};

	/// \brief Checks everything and names every fault.
	[[nodiscard]] absl::StatusOr<entry_settings> read_entry_settings(const boost::json::value& value);
}
