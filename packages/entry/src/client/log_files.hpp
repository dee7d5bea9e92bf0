// SPDX-License-Identifier: MIT
/// \file
/// \brief Reads the log files that are named on the command line.
#pragma once

#include <absl/status/status.h>

#include <functional>
#include <istream>
#include <string>
#include <vector>

namespace trailjunction
{
	/// \brief Passes each log to a reader; the name of the process is the file name without directory and extension.
	/// \returns InvalidArgument with the path of the first file that cannot be read.
	[[nodiscard]] absl::Status
	read_log_files(const std::vector<std::string>& paths,
				   const std::function<void(std::istream& log, const std::string& process)>& read);
}
