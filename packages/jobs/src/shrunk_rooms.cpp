// SPDX-License-Identifier: MIT
#include "filler_fit.hpp"

#include <trailjunction/jobs/shrunk_rooms.hpp>

#include <algorithm>

namespace trailjunction
{
	namespace
	{
		/// Unused processors for fillers on workers that are not shrunk, by service.
		using spare_by_service = absl::flat_hash_map<service_id, double>;

		spare_by_service spare_processors(std::span<const worker_room> workers, const placement_policy& placing)
		{
			spare_by_service out;
			for (const auto& worker : workers)
				if (worker.accepts && !worker.reserved && !is_shrunk(worker))
					out[worker.service] += std::max(0.0, spare_cpu_milli(worker, placing)) * worker.pace;
			return out;
		}

		/// The worker's fillers that may be moved, in the order in which they are chosen.
		std::vector<task_key> movable_fillers(const worker_room& worker, const job_table& table)
		{
			std::vector<task_key> out;
			const auto placed = table.placed.find(worker.incarnation);
			if (placed == table.placed.end())
				return out;
			for (const auto& key : placed->second)
			{
				const auto* job = find_job(table, key.job);
				const auto& task = *find_task(table, key);
				const bool is_active = task.phase == task_stage::running && !has_ended(job->status);
				if (is_active && job->spec.groups[key.group].filler && may_move(*job, key) &&
					!table.moves.contains({key, task.run}))
					out.push_back(key);
			}
			std::sort(out.begin(), out.end()); // a repeated decision chooses the same tasks
			return out;
		}

		void note_shrunk(shrunk_rooms& shrunk_since, std::span<const worker_room> workers, instant now)
		{
			shrunk_rooms next;
			for (const auto& worker : workers)
			{
				if (!is_shrunk(worker))
					continue;
				const auto before = shrunk_since.find(worker.incarnation);
				next.emplace(worker.incarnation, before == shrunk_since.end() ? now : before->second);
			}
			shrunk_since = std::move(next);
		}
	}

	bool is_shrunk(const worker_room& worker) noexcept
	{
		return !worker.claimed.fits_in(worker.capacity);
	}

	std::vector<task_key> choose_fillers_to_move(shrunk_rooms& shrunk_since, std::span<const worker_room> workers,
												 const job_table& table, const placement_policy& placing,
												 const shrunk_policy& policy, instant now)
	{
		std::vector<task_key> out;
		note_shrunk(shrunk_since, workers, now);
		if (!policy.moves_fillers || shrunk_since.empty())
			return out;
		auto spare = spare_processors(workers, placing);
		for (const auto& worker : workers)
		{
			const auto since = shrunk_since.find(worker.incarnation);
			if (since == shrunk_since.end() || now - since->second < policy.min_shrunk_time)
				continue;
			auto& available = spare[worker.service];
			for (auto& key : movable_fillers(worker, table))
			{
				const auto claim = find_job(table, key.job)->spec.groups[key.group].claim.cpu_milli;
				if (out.size() == policy.max_moves_per_round || available < static_cast<double>(claim))
					break;
				available -= static_cast<double>(claim);
				out.push_back(std::move(key));
			}
		}
		return out;
	}
}
