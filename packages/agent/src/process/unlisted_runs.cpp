// SPDX-License-Identifier: MIT
#include "unlisted_runs.hpp"

namespace trailjunction
{
	std::vector<task_run> find_unlisted_runs(disappeared_runs& disappeared, const std::vector<task_run>& had,
											 const worker_listing& listing)
	{
		auto& ids = disappeared.ids;
		ids.insert(had.begin(), had.end());
		for (const auto& run : listing.running)
			ids.erase(run.run_id);
		for (const auto& end : listing.ended)
			ids.erase(end.run_id);
		if (listing.ended.size() >= max_listed_ends)
			return {}; // the ends of these runs may be among those that are not listed yet
		std::vector<task_run> out{ids.begin(), ids.end()};
		ids.clear();
		return out;
	}
}
