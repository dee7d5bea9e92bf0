// SPDX-License-Identifier: MIT
#include <trailjunction/core/random.hpp>
#include <trailjunction/jobs/job_tables.hpp>

#include <absl/strings/str_cat.h>

namespace trailjunction
{
	std::string submission_partition(std::size_t number)
	{
		return absl::StrCat("submissions-", number);
	}

	std::string submission_partition(const job_id& id)
	{
		return submission_partition(stable_hash(id.str()) % submission_partitions);
	}
}
