// SPDX-License-Identifier: MIT
/// \file
/// \brief Where tasks start that may crash their workers: apart from each other, or alone.
#pragma once

#include <trailjunction/jobs/job_placement.hpp>

#include <span>

namespace trailjunction
{
	/// \brief Charges a worker with a run of a task that was started so.
	void note_suspect(worker_room& worker, suspicion how) noexcept;

	/// \brief Whether a task that is started so may be started beside what the worker has.
	[[nodiscard]] bool may_start_beside(const worker_room& worker, suspicion how) noexcept;

	/// \brief Whether one more worker of the service may be reserved. Those that accept nothing do not count: rooms of
	/// incarnations that have gone stay in the list for a while.
	[[nodiscard]] bool may_reserve(std::span<const worker_room> workers, const service_id& service,
								   const placement_policy& policy);

	/// \brief What is lost if the worker crashes: a suspected task goes where that is least, whatever else would suit
	/// it.
	/// \details For tasks that start apart or alone.
	[[nodiscard]] double crash_cost(const worker_room& worker, suspicion how, const placement_policy& policy);

	/// \brief Added to the cost of a worker that crashed lately for a task which starts like any other, but has lost
	/// two runs in a row with their workers: a worker that crashes again and again by itself is the emptiest one each
	/// time.
	[[nodiscard]] double repeated_crash_cost(const worker_room& worker, const placement_wish& what,
											 const placement_policy& policy) noexcept;
}
