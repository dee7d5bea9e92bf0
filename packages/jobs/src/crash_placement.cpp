// SPDX-License-Identifier: MIT
#include "crash_placement.hpp"

#include <algorithm>

namespace trailjunction
{
	void add_suspect(worker_room& worker, suspicion level) noexcept
	{
		if (level != suspicion::none)
			++worker.suspect_runs;
		worker.reserved = worker.reserved || level == suspicion::likely;
	}

	bool may_colocate(const worker_room& worker, suspicion level) noexcept
	{
		if (worker.reserved)
			return false;
		return level != suspicion::likely || worker.suspect_runs == 0;
	}

	bool may_reserve(std::span<const worker_room> workers, const service_id& service, const placement_policy& policy)
	{
		std::size_t accepting = 0;
		std::size_t reserved = 0;
		for (const auto& worker : workers)
		{
			if (!worker.accepts || worker.service != service)
				continue;
			++accepting;
			reserved += worker.reserved ? 1 : 0;
		}
		return static_cast<double>(reserved) < std::max(1.0, policy.reserved_share * static_cast<double>(accepting));
	}

	double crash_cost(const worker_room& worker, suspicion level, const placement_policy& policy)
	{
		const auto recent_cost = level == suspicion::likely ? policy.recent_crash_alone_cost : policy.recent_crash_cost;
		const auto capacity = std::max(1.0, static_cast<double>(worker.capacity.cpu_milli));
		const auto load = worker.claimed.cpu_milli + worker.serving_cpu_milli + worker.filler_cpu_milli;
		return static_cast<double>(load) / capacity + policy.suspect_cost * static_cast<double>(worker.suspect_runs) +
			   (worker.crashed_recently ? recent_cost : 0.0);
	}

	bool is_avoided(const worker_room& worker, const placement_request& request) noexcept
	{
		constexpr crash_policy policy{};
		return request.avoids_workers && should_avoid_worker(request.task->crashes, worker.incarnation, policy);
	}

	double repeated_crash_cost(const worker_room& worker, const placement_request& request,
							   const placement_policy& policy) noexcept
	{
		constexpr std::size_t min_crashes_to_avoid = 2;
		const bool avoids_crashed_worker =
			request.crash_suspicion == suspicion::none && request.task->crashes.workers.size() >= min_crashes_to_avoid;
		return avoids_crashed_worker && worker.crashed_recently ? policy.recent_crash_cost : 0.0;
	}
}
