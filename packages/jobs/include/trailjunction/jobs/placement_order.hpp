// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Which waiting task is placed first.
#pragma once

#include "job_table.hpp"

#include <cstdint>
#include <vector>

namespace trailjunction
{
	/// \brief What can still be made of a job, by the estimates of its tasks.
	enum class job_outlook : std::uint8_t
	{
		in_time,
		late,
		hopeless, ///< Later than anybody waits for.
	};

	/// \brief When something is decided, by both clocks that jobs go by.
	struct decision_time
	{
		instant now{};
		std::int64_t unix_ms{}; ///< For occurrences with due times.
	};

	/// \brief A task that waits for a worker, with what its turn depends on.
	struct placement_wish
	{
		task_key key;
		const job_state* job{};
		const task_group* group{};
		const job_task* task{};
		job_outlook outlook{job_outlook::in_time};
		/// The job's age and the rest of its longest chain, as a share of its objective: at 1 it can just be in time.
		double urgency{};
		millis run_time{}; ///< How long it is expected to run.
		double merit{};    ///< See job_merit.hpp; 0 for tasks that last.
		/// Nothing of its occurrence runs, and nothing has happened to it for long: where there is room to spare, it
		/// gets a place at any cost to others.
		bool starving{};
		suspicion crashes{suspicion::none}; ///< Whether it may crash its worker, and so how it may be started.
	};

	/// \brief Puts waiting tasks in the order of their turns.
	/// \details By the priority of their queues; serving tasks first, since one that is away is missed until it is
	/// back; what nobody waits for any more last. Then the job of the highest merit, see job_merit.hpp; jobs that have
	/// begun have the more of it the less work is left, so they end before others begin.
	///
	/// \param waiting As from waiting_tasks(): the tasks of a group one after the other.
	/// \returns Tasks of a group and occurrence stay together, and those among them that are started alike.
	[[nodiscard]] std::vector<placement_wish> order_wishes(const job_table& table, std::vector<task_key> waiting,
														   decision_time at);
}
