// SPDX-License-Identifier: MIT
/// \file
/// \brief Constructors for the results of operators' commands.
#pragma once

#include "command_runner.hpp"

#include <absl/status/status.h>

#include <string>

namespace trailjunction
{
	/// \brief The result of a command that was refused, with the reason.
	[[nodiscard]] command_result refuse(absl::Status status);

	/// \brief The result of a command that no entry can execute at present and that may be retried.
	[[nodiscard]] command_result refuse_temporarily(const std::string& reason);

	/// \brief The result of a command that was executed.
	[[nodiscard]] command_result done(std::string message);
}
