// SPDX-License-Identifier: MIT
/// \file
/// \brief The part of job_term that moves tasks away from workers whose capacity for them has shrunk.
#include "job_term.hpp"

namespace trailjunction
{
	namespace
	{
		constexpr placement_policy default_placement{};
		constexpr shrunk_policy default_shrunk_policy{};
	}

	void job_term::move_from_shrunk_rooms(instant now)
	{
		const busy_scope scope{meter_, owner_duty::placing};
		refresh_rooms(now);
		for (const auto& key :
			 choose_fillers_to_move(shrunk_rooms_, rooms_, table_, default_placement, default_shrunk_policy, now))
		{
			if (begin_move(table_, key, move_reason::shrunk_room, now))
				metrics_.counter("job_moves_begun", "Runs that are stopped so that their tasks go on elsewhere.")
					.Increment();
		}
	}
}
