// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Data centres that operators are emptying: their workers get nothing new until the request is withdrawn.
/// \details What runs there goes on. Answers operators who empty a data centre while work keeps coming, owners change
/// and the store comes and goes: an owner that may not know the latest requests starts nothing anywhere.
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
	/// \brief A request that stands in the store.
	struct evacuation_request
	{
		data_centre_id data_centre;
		std::int64_t version{}; ///< Of the row that holds it.
	};

	/// \brief The requests as far as one process knows them.
	struct evacuations
	{
		/// Versions of the rows, by data centre.
		absl::flat_hash_map<data_centre_id, std::int64_t> standing;
		/// Every request and withdrawal that was stored by then is known; nothing: none was ever read.
		std::optional<instant> known_at;
	};

	/// \brief What changed with a reading of the store.
	struct evacuation_changes
	{
		std::vector<evacuation_request> begun;
		std::vector<data_centre_id> withdrawn;
	};

	/// \brief Takes in all requests that stand; others are over.
	/// \param asked When the store was asked.
	evacuation_changes note_all_requests(evacuations& known, const std::vector<evacuation_request>& standing,
										 instant asked);

	/// \brief Takes in one request. \returns Whether the data centre was not being emptied before.
	bool note_request(evacuations& known, const evacuation_request& request);

	/// \brief Takes in that a request is over. \returns Whether the data centre was being emptied before.
	bool note_withdrawal(evacuations& known, const data_centre_id& data_centre);

	/// \brief Whether something may be started in a data centre now.
	enum class start_permission : std::uint8_t
	{
		allowed,
		evacuated,
		not_known, ///< A request may stand that is not known here.
	};

	/// \param most_age How old what is known may be.
	[[nodiscard]] start_permission may_start_in(const evacuations& known, const data_centre_id& data_centre,
												millis most_age, instant now) noexcept;

	/// \brief Whether what is known of the requests is recent enough to start anything.
	[[nodiscard]] bool knows_evacuations(const evacuations& known, millis most_age, instant now) noexcept;
}
