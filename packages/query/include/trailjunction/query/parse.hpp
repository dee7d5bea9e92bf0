// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Parsing of the operators' language.
#pragma once

#include "command.hpp"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace trailjunction
{
	/// \brief Parses one command.
	/// \details The grammar is in docs/OPERATORS.md. An error names the column, counted from 1, what was expected there
	/// and shows the place below the text.
	///
	/// \code
	/// const auto parsed = parse_command("show tasks where phase = waiting order by run desc limit 5");
	/// \endcode
	[[nodiscard]] absl::StatusOr<command> parse_command(std::string_view text);
}
