// SPDX-License-Identifier: MIT
/// \file
/// \brief The logs that an operator names on the command line.
#pragma once

#include <absl/status/status.h>

#include <functional>
#include <istream>
#include <string>
#include <vector>

namespace trailjunction
{
	/// \brief Hands each log to a reader, under the name of its file without folder and ending.
	/// \returns InvalidArgument with the path of the first file that cannot be read.
	[[nodiscard]] absl::Status
	read_log_files(const std::vector<std::string>& paths,
				   const std::function<void(std::istream& log, const std::string& process)>& read);
}
