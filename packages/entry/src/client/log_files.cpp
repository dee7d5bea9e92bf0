// SPDX-License-Identifier: MIT
#include "log_files.hpp"

#include <absl/strings/str_cat.h>

#include <filesystem>
#include <fstream>

namespace trailjunction
{
	absl::Status read_log_files(const std::vector<std::string>& paths,
								const std::function<void(std::istream& log, const std::string& process)>& read)
	{
		for (const auto& path : paths)
		{
			std::ifstream log{path};
			if (!log)
				return absl::InvalidArgumentError(absl::StrCat(path, ": cannot be read"));
			read(log, std::filesystem::path{path}.stem().string());
		}
		return absl::OkStatus();
	}
}
