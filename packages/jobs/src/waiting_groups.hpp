// SPDX-License-Identifier: MIT
/// \file
/// \brief Waiting tasks summarised by group, for the room forecast.
/// \details The forecast is made while thousands of tasks wait; a list of all single tasks with their keys took 4 ms
/// with 3,400 waiting tasks.
#pragma once

#include <trailjunction/jobs/placement_order.hpp>

#include <cstddef>
#include <vector>

namespace trailjunction
{
	/// \brief The waiting tasks of one group of one occurrence.
	struct group_request
	{
		/// Their common properties; its key is that of the group's first task, whether that waits or not.
		placement_request first;
		std::size_t tasks{};
	};

	/// \brief All groups with waiting tasks that are due, in unspecified order.
	[[nodiscard]] std::vector<group_request> waiting_groups(const job_table& table, decision_time at);
}
