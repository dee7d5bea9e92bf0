// SPDX-License-Identifier: MIT
#include <trailjunction/core/random.hpp>
#include <trailjunction/jobs/job_tables.hpp>

#include <absl/strings/str_cat.h>

namespace trailjunction
{
	namespace
	{
		/// Between the key of a first row and the index of a further one; ids of jobs do not contain it.
		constexpr const char* row_separator = ".";
	}

	std::string submission_partition(std::size_t number)
	{
		return absl::StrCat("submissions-", number);
	}

	std::string ownership_key(std::size_t row)
	{
		return row == 0 ? owner_key : absl::StrCat(owner_key, row_separator, row);
	}

	std::string progress_key(const job_id& id, std::size_t row)
	{
		return row == 0 ? id.str() : absl::StrCat(id.str(), row_separator, row);
	}

	job_id job_of_progress_key(std::string_view key)
	{
		return job_id{std::string{key.substr(0, key.find(row_separator))}};
	}

	std::string submission_partition(const job_id& id)
	{
		return submission_partition(stable_hash(id.str()) % submission_partitions);
	}
}
