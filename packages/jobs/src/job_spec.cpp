// SPDX-License-Identifier: MIT
#include <trailjunction/jobs/job_spec.hpp>

#include <absl/strings/str_cat.h>

namespace trailjunction
{
	namespace
	{
		absl::Status group_error(std::size_t group, const char* reason)
		{
			return absl::InvalidArgumentError(absl::StrCat("group ", group, ": ", reason));
		}

		absl::Status check_group(const task_group& group, std::size_t index)
		{
			if (group.count == 0)
				return group_error(index, "count is 0");
			if (group.claim.cpu_milli < 0 || group.claim.memory_mib < 0 || group.claim.accelerators < 0)
				return group_error(index, "a claim is negative");
			if (group.estimate.count() < 0)
				return group_error(index, "the estimate is negative");
			for (const auto before : group.after)
				if (before >= index)
					return group_error(index, "waits for a group that is not before it");
			return absl::OkStatus();
		}
	}

	absl::Status validate(const job_spec& spec, std::uint64_t max_tasks)
	{
		if (spec.groups.empty())
			return absl::InvalidArgumentError("the job has no groups");
		if (spec.occurrences == 0)
			return absl::InvalidArgumentError("the job has no occurrences");
		std::uint64_t tasks = 0;
		for (std::size_t i = 0; i < spec.groups.size(); ++i)
		{
			if (auto status = check_group(spec.groups[i], i); !status.ok())
				return status;
			tasks += spec.groups[i].count;
		}
		if (tasks > max_tasks / spec.occurrences)
			return absl::InvalidArgumentError(absl::StrCat("the job has ", tasks, " tasks in each of ",
														   spec.occurrences, " occurrences, at most ", max_tasks,
														   " are allowed in all"));
		return absl::OkStatus();
	}
}
