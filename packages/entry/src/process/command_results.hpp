// SPDX-License-Identifier: MIT
/// \file
/// \brief Results of operators' commands.
#pragma once

#include "command_runner.hpp"

#include <absl/status/status.h>

#include <string>

namespace trailjunction
{
	/// \brief A command that was refused, with the reason.
	[[nodiscard]] command_result refuse(absl::Status status);

	/// \brief A command that may be repeated: nobody could carry it out now.
	[[nodiscard]] command_result refuse_for_now(const std::string& reason);

	/// \brief A command that was carried out.
	[[nodiscard]] command_result done(std::string message);
}
