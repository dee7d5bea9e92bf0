// SPDX-License-Identifier: MIT
#include "command_results.hpp"

namespace trailjunction
{
	command_result refuse(absl::Status status)
	{
		command_result result;
		result.status = std::move(status);
		return result;
	}

	command_result refuse_temporarily(const std::string& reason)
	{
		auto result = refuse(absl::UnavailableError(reason));
		result.no_owner = true;
		return result;
	}

	command_result done(std::string message)
	{
		command_result result;
		result.message = std::move(message);
		return result;
	}
}
