// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Result tables of commands.
#pragma once

#include "command.hpp"

#include <absl/status/statusor.h>
#include <boost/json/object.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace trailjunction
{
	/// \brief One row, with a cell for each column.
	using table_cells = std::vector<std::string>;

	/// \brief A table of text cells with named columns.
	struct result_table
	{
		std::vector<std::string> columns;
		std::vector<table_cells> rows;
	};

	/// \brief Filters, sorts and limits the rows as a command's `where`, `order by` and `limit` clauses say.
	/// \returns invalid_argument if a clause names a field that is not a column.
	[[nodiscard]] absl::StatusOr<result_table> select(result_table table, const command& query);

	/// \brief Formats a table as text with aligned columns.
	[[nodiscard]] std::string render(const result_table& table);

	/// \brief Converts a table to an object with the members `columns` and `rows`.
	[[nodiscard]] boost::json::object to_json(const result_table& table);

	/// \brief Reads a table that to_json() wrote; missing or malformed cells become empty.
	[[nodiscard]] result_table table_from_json(const boost::json::object& object);
}
