// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief The rows in which operators request the evacuation of data centres.
#pragma once

#include <trailjunction/core/ids.hpp>
#include <trailjunction/store/row_store.hpp>

#include <functional>
#include <optional>

namespace trailjunction
{
	/// \brief Describes the evacuation rows: one per data centre, present as long as the request stands.
	struct evacuation_rows
	{
		row_range range;
		/// The data centre that a row name requests to evacuate; empty if the row is no evacuation request.
		std::function<std::optional<data_centre_id>(const row_name&)> data_centre_of;
	};
}
