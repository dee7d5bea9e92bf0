// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Evacuation: operators' requests to start nothing new in a data centre until they withdraw the request.
/// \details Running tasks continue. The rules hold while new work arrives, owners change and the store is unavailable
/// at times: an owner that may not know the latest requests starts nothing in any data centre.
#pragma once

#include <trailjunction/core/ids.hpp>
#include <trailjunction/core/units.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace trailjunction
{
	/// \brief A request that is in effect in the store.
	struct evacuation_request
	{
		data_centre_id data_centre;
		std::int64_t version{}; ///< Version of the row that holds the request.
	};

	/// \brief The requests that one process knows.
	struct evacuations
	{
		/// Requests in effect: versions of their rows, by data centre.
		absl::flat_hash_map<data_centre_id, std::int64_t> active;
		/// All requests and withdrawals stored by this time are known; empty if the store was never read.
		std::optional<instant> current_at;
	};

	/// \brief Changes found by reading the store.
	struct evacuation_changes
	{
		std::vector<evacuation_request> started;
		std::vector<data_centre_id> withdrawn;
	};

	/// \brief Replaces the known requests by all that are in effect.
	/// \param asked When the store was asked.
	evacuation_changes replace_requests(evacuations& state, const std::vector<evacuation_request>& requests,
										instant asked);

	/// \brief Adds one request. \returns Whether the data centre was not being evacuated before.
	bool add_request(evacuations& state, const evacuation_request& request);

	/// \brief Removes a request. \returns Whether the data centre was being evacuated before.
	bool withdraw_request(evacuations& state, const data_centre_id& data_centre);

	/// \brief Whether tasks may be started in a data centre.
	enum class start_permission : std::uint8_t
	{
		allowed,
		evacuated,
		unknown, ///< There may be a request that this process does not know.
	};

	/// \param max_age Maximum age of the known requests.
	[[nodiscard]] start_permission may_start_in(const evacuations& state, const data_centre_id& data_centre,
												millis max_age, instant now) noexcept;

	/// \brief Whether the known requests are recent enough to start tasks.
	[[nodiscard]] bool evacuations_are_current(const evacuations& state, millis max_age, instant now) noexcept;
}
