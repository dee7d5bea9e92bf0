// SPDX-License-Identifier: MIT
#include <trailjunction/jobs/evacuation.hpp>

#include <algorithm>

namespace trailjunction
{
	bool note_request(evacuations& known, const evacuation_request& request)
	{
		return known.standing.insert_or_assign(request.data_centre, request.version).second;
	}

	bool note_withdrawal(evacuations& known, const data_centre_id& data_centre)
	{
		return known.standing.erase(data_centre) > 0;
	}

	evacuation_changes note_all_requests(evacuations& known, const std::vector<evacuation_request>& standing,
										 instant asked)
	{
		evacuation_changes out;
		for (const auto& [data_centre, version] : known.standing)
		{
			const auto same = [&place = data_centre](const evacuation_request& one)
			{
				return one.data_centre == place;
			};
			if (std::none_of(standing.begin(), standing.end(), same))
				out.withdrawn.push_back(data_centre);
		}
		for (const auto& data_centre : out.withdrawn)
			(void)note_withdrawal(known, data_centre);
		for (const auto& request : standing)
			if (note_request(known, request))
				out.begun.push_back(request);
		known.known_at = asked;
		return out;
	}

	bool knows_evacuations(const evacuations& known, millis most_age, instant now) noexcept
	{
		return known.known_at && now - *known.known_at <= most_age;
	}

	start_permission may_start_in(const evacuations& known, const data_centre_id& data_centre, millis most_age,
								  instant now) noexcept
	{
		if (known.standing.contains(data_centre))
			return start_permission::evacuated;
		return knows_evacuations(known, most_age, now) ? start_permission::allowed : start_permission::not_known;
	}
}
