// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Tables: what commands answer.
#pragma once

#include "command.hpp"

#include <absl/status/statusor.h>
#include <boost/json/object.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace trailjunction
{
	/// \brief One row: a cell for each column.
	using table_cells = std::vector<std::string>;

	/// \brief Named columns and rows of text.
	struct result_table
	{
		std::vector<std::string> columns;
		std::vector<table_cells> rows;
	};

	/// \brief Keeps the rows that a command's conditions want, in its order, up to its limit.
	/// \returns invalid_argument where a field is no column.
	[[nodiscard]] absl::StatusOr<result_table> select(result_table table, const command& wanted);

	/// \brief For people: aligned columns.
	[[nodiscard]] std::string render(const result_table& table);

	[[nodiscard]] boost::json::object to_json(const result_table& table);
	[[nodiscard]] result_table table_of(const boost::json::object& object);
}
