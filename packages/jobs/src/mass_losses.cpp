// SPDX-License-Identifier: MIT
#include <trailjunction/jobs/job_crashes.hpp>
#include <trailjunction/jobs/mass_losses.hpp>

#include <algorithm>
#include <utility>

namespace trailjunction
{
	namespace
	{
		using crash_list = std::vector<worker_crash*>;

		/// Whether no task that ran on the worker is a likely cause of its crash.
		bool is_evidence(const worker_crash& crash) noexcept
		{
			return !crash.had_new_run && crash.max_counted == 0;
		}

		/// Groups crashes at about the same time; the first and the last of a group are within the correlation window.
		std::vector<crash_list> group_by_time(recent_crashes& recent, const crash_policy& policy)
		{
			crash_list sorted;
			for (auto& crash : recent.entries)
				sorted.push_back(&crash);
			std::sort(sorted.begin(), sorted.end(),
					  [](const auto* left, const auto* right) { return left->last_response < right->last_response; });
			std::vector<crash_list> out;
			for (auto* crash : sorted)
			{
				if (out.empty() ||
					!in_correlation_window(out.back().front()->last_response, crash->last_response, policy))
					out.emplace_back();
				out.back().push_back(crash);
			}
			return out;
		}

		/// Clears the suspects of crashes at the same time in one fleet or data centre.
		void clear_group(job_table& table, const crash_list& group, std::size_t survived, const crash_policy& policy,
						 std::vector<task_key>& cleared)
		{
			if (chance_of_loss(group.size(), survived) < policy.min_external_loss)
				return;
			const auto evidence = static_cast<std::size_t>(
				std::count_if(group.begin(), group.end(), [](const auto* crash) { return is_evidence(*crash); }));
			absl::flat_hash_map<job_id, std::size_t> evidence_by_job; // workers that had runs of the job
			for (const auto* crash : group)
				if (is_evidence(*crash))
					for (const auto& job : crash->jobs)
						++evidence_by_job[job];
			const auto is_external = [&](const task_key& key)
			{
				const auto own = evidence_by_job.find(key.job);
				const auto others = evidence - (own == evidence_by_job.end() ? 0 : own->second);
				return chance_of_loss(others, survived) >= policy.min_external_loss;
			};
			for (auto* crash : group)
				std::erase_if(crash->suspects,
							  [&](const task_key& key)
							  {
								  if (!is_external(key))
									  return false;
								  if (discount_crash(table, key, crash->worker))
									  cleared.push_back(key);
								  return true;
							  });
		}

		absl::flat_hash_map<data_centre_id, crash_list> split_by_data_centre(const crash_list& group)
		{
			absl::flat_hash_map<data_centre_id, crash_list> out;
			for (auto* crash : group)
				if (!crash->data_centre.empty())
					out[crash->data_centre].push_back(crash);
			return out;
		}

		/// Number of workers that survived all crashes of a group, by data centre.
		absl::flat_hash_map<data_centre_id, std::size_t> count_survivors(std::span<const worker_sighting> sightings,
																		 const crash_list& group)
		{
			absl::flat_hash_map<data_centre_id, std::size_t> out;
			for (const auto& worker : sightings)
				if (worker.known_since < group.front()->last_response &&
					worker.last_response > group.back()->last_response)
					++out[worker.data_centre];
			return out;
		}
	}

	std::vector<task_key> clear_mass_losses(job_table& table, std::span<const worker_sighting> sightings,
											const crash_policy& policy)
	{
		std::vector<task_key> out;
		if (!std::exchange(table.crashes.changed, false))
			return out;
		for (const auto& group : group_by_time(table.crashes, policy))
		{
			const auto survivors = count_survivors(sightings, group);
			std::size_t total = 0;
			for (const auto& [data_centre, count] : survivors)
				total += count;
			clear_group(table, group, total, policy, out);
			for (const auto& [data_centre, part] : split_by_data_centre(group))
			{
				const auto found = survivors.find(data_centre);
				clear_group(table, part, found == survivors.end() ? 0 : found->second, policy, out);
			}
		}
		return out;
	}
}
