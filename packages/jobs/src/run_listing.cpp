// SPDX-License-Identifier: MIT
#include <trailjunction/jobs/run_listing.hpp>

namespace trailjunction
{
	std::string_view to_string(start_refusal reason) noexcept
	{
		switch (reason)
		{
		case start_refusal::never_started:
			return "never_started";
		case start_refusal::no_room:
			return "no_room";
		case start_refusal::unhealthy:
			return "unhealthy";
		case start_refusal::invalid:
			return "invalid";
		case start_refusal::superseded:
			return "superseded";
		case start_refusal::leaving:
			return "leaving";
		}
		return "unnamed";
	}
}
