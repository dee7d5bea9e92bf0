// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Where operators ask for data centres to be emptied.
#pragma once

#include <trailjunction/core/ids.hpp>
#include <trailjunction/store/row_store.hpp>

#include <functional>
#include <optional>

namespace trailjunction
{
	/// \brief The rows that hold the operators' requests: one a data centre, as long as the request stands.
	struct evacuation_rows
	{
		row_range range;
		/// The data centre that a row's name asks to empty; nothing: it asks for something else.
		std::function<std::optional<data_centre_id>(const row_name&)> data_centre_of;
	};
}
