// SPDX-License-Identifier: MIT
/// \file
/// \brief Where suspected tasks may start: on a worker without other suspects, or alone.
/// \details Used by job_placement; crash_suspicion.hpp decides which tasks are suspected.
#pragma once

#include <trailjunction/jobs/job_placement.hpp>

#include <span>

namespace trailjunction
{
	/// \brief Charges a worker with a run that was started at this level of suspicion.
	void add_suspect(worker_room& worker, suspicion level) noexcept;

	/// \brief Whether a task may be started beside the runs that the worker has.
	[[nodiscard]] bool may_colocate(const worker_room& worker, suspicion level) noexcept;

	/// \brief Whether one more worker of the service may be reserved. Workers that accept nothing do not count: rooms
	/// of past incarnations stay in the list for a while.
	[[nodiscard]] bool may_reserve(std::span<const worker_room> workers, const service_id& service,
								   const placement_policy& policy);

	/// \brief Cost of a worker for a task that is suspected or starts alone: what a crash of the worker would destroy,
	/// and a penalty if the worker crashed recently.
	/// \details Replaces the costs by load, image and harm that other tasks have; the worker's recent failures and the
	/// preferred rack still count.
	[[nodiscard]] double crash_cost(const worker_room& worker, suspicion level, const placement_policy& policy);

	/// \brief Whether a task is not to be started on a worker yet, since the worker has crashed under it repeatedly.
	[[nodiscard]] bool is_avoided(const worker_room& worker, const placement_request& request) noexcept;

	/// \brief Added to the cost of a worker that crashed recently, for a task that is not suspected but has lost two
	/// runs in a row with their workers. A worker that crashes repeatedly by itself is the emptiest one each time.
	[[nodiscard]] double repeated_crash_cost(const worker_room& worker, const placement_request& request,
											 const placement_policy& policy) noexcept;
}
