// SPDX-License-Identifier: MIT
#include <trailjunction/jobs/evacuation.hpp>

#include <algorithm>

namespace trailjunction
{
	bool add_request(evacuations& state, const evacuation_request& request)
	{
		return state.active.insert_or_assign(request.data_centre, request.version).second;
	}

	bool withdraw_request(evacuations& state, const data_centre_id& data_centre)
	{
		return state.active.erase(data_centre) > 0;
	}

	evacuation_changes replace_requests(evacuations& state, const std::vector<evacuation_request>& requests,
										instant asked)
	{
		evacuation_changes out;
		for (const auto& [data_centre, version] : state.active)
		{
			const auto same = [&wanted = data_centre](const evacuation_request& candidate)
			{
				return candidate.data_centre == wanted;
			};
			if (std::none_of(requests.begin(), requests.end(), same))
				out.withdrawn.push_back(data_centre);
		}
		for (const auto& data_centre : out.withdrawn)
			(void)withdraw_request(state, data_centre);
		for (const auto& request : requests)
			if (add_request(state, request))
				out.started.push_back(request);
		state.current_at = asked;
		return out;
	}

	bool evacuations_are_current(const evacuations& state, millis max_age, instant now) noexcept
	{
		return state.current_at && now - *state.current_at <= max_age;
	}

	start_permission may_start_in(const evacuations& state, const data_centre_id& data_centre, millis max_age,
								  instant now) noexcept
	{
		if (state.active.contains(data_centre))
			return start_permission::evacuated;
		return evacuations_are_current(state, max_age, now) ? start_permission::allowed : start_permission::unknown;
	}
}
