// SPDX-License-Identifier: MIT
/// \file
/// \brief What waits, group by group.
/// \details Answers the forecast of room, which is made while thousands of tasks wait: a list of them all, with their
/// names, took it 4 ms with 3,400 tasks waiting.
#pragma once

#include <trailjunction/jobs/placement_order.hpp>

#include <cstddef>
#include <vector>

namespace trailjunction
{
	/// \brief The waiting tasks of one group and occurrence.
	struct group_wish
	{
		placement_wish first; ///< What they have in common; names the group's first task, whether it waits or not.
		std::size_t tasks{};
	};

	/// \brief All groups with waiting tasks whose turn has come, in no order.
	[[nodiscard]] std::vector<group_wish> waiting_groups(const job_table& table, decision_time at);
}
