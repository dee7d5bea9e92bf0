// SPDX-License-Identifier: MIT
#include <trailjunction/jobs/job_ids.hpp>

#include <absl/strings/str_cat.h>

namespace trailjunction
{
	std::string to_string(const task_key& key)
	{
		return absl::StrCat(key.job.str(), "/", key.occurrence, "/", key.group, "/", key.index);
	}
}
