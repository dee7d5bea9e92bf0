// SPDX-License-Identifier: MIT
#include <trailjunction/jobs/job_state.hpp>

#include <algorithm>

namespace trailjunction
{
	namespace
	{
		std::size_t first_task_index(const job_state& job, std::uint32_t occurrence, std::uint32_t group) noexcept
		{
			std::size_t position = occurrence * job.occurrence_size;
			for (std::uint32_t i = 0; i < group; ++i)
				position += job.spec.groups[i].count;
			return position;
		}
	}

	std::string_view to_string(job_status status) noexcept
	{
		switch (status)
		{
		case job_status::queued:
			return "queued";
		case job_status::running:
			return "running";
		case job_status::completed:
			return "completed";
		case job_status::failed:
			return "failed";
		case job_status::cancelled:
			return "cancelled";
		}
		return "unnamed";
	}

	job_state make_job(job_id id, queue_policy queue, job_spec spec, instant now)
	{
		job_state job{std::move(id), std::move(queue), std::move(spec)};
		for (const auto& group : job.spec.groups)
			job.occurrence_size += group.count;
		job.tasks.resize(job.occurrence_size * job.spec.occurrences);
		job.first_run_times.resize(job.spec.groups.size());
		job.accepted_at = now;
		return job;
	}

	std::size_t task_index(const job_state& job, const task_key& key) noexcept
	{
		if (key.occurrence >= job.spec.occurrences || key.group >= job.spec.groups.size() ||
			key.index >= job.spec.groups[key.group].count)
			return job.tasks.size();
		return first_task_index(job, key.occurrence, key.group) + key.index;
	}

	task_key task_key_at(const job_state& job, std::size_t position)
	{
		const auto occurrence = position / job.occurrence_size;
		auto rest = position % job.occurrence_size;
		std::uint32_t group = 0;
		while (rest >= job.spec.groups[group].count)
			rest -= job.spec.groups[group++].count;
		return {job.id, static_cast<std::uint32_t>(occurrence), group, static_cast<std::uint32_t>(rest)};
	}

	bool is_group_done(const job_state& job, std::uint32_t occurrence, std::uint32_t group) noexcept
	{
		const auto begin = job.tasks.begin() + static_cast<std::ptrdiff_t>(first_task_index(job, occurrence, group));
		return std::all_of(begin, begin + job.spec.groups[group].count,
						   [](const job_task& task) { return task.phase == task_stage::done; });
	}

	bool is_due(const job_state& job, std::uint32_t occurrence, std::uint32_t group, std::int64_t unix_ms) noexcept
	{
		if (job.spec.repeated && unix_ms < due_ms(job.spec, occurrence))
			return false;
		const auto& after = job.spec.groups[group].after;
		return std::all_of(after.begin(), after.end(),
						   [&](std::uint32_t before) { return is_group_done(job, occurrence, before); });
	}

	millis critical_path_from(const job_spec& spec, std::span<const millis> times, std::uint32_t group)
	{
		// Groups depend on earlier groups only, so one backward pass computes the longest chain of each group.
		std::vector<millis> longest(spec.groups.size());
		for (std::size_t i = spec.groups.size(); i-- > group;)
		{
			longest[i] += times[i];
			for (const auto before : spec.groups[i].after)
				longest[before] = std::max(longest[before], longest[i]);
		}
		return longest[group];
	}
}
