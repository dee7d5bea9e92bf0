// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Parser of the operators' command language.
#pragma once

#include "command.hpp"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace trailjunction
{
	/// \brief Parses one command.
	/// \details docs/OPERATORS.md has the grammar.
	/// \returns The command, or invalid_argument with the column, counted from 1, what was expected there, and the
	/// text with a caret below that column.
	///
	/// \code
	/// const auto parsed = parse_command("show tasks where phase = waiting order by run desc limit 5");
	/// \endcode
	[[nodiscard]] absl::StatusOr<command> parse_command(std::string_view text);
}
