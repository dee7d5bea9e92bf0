// SPDX-License-Identifier: MIT
#include <trailjunction/core/event.hpp>
#include <trailjunction/store/store_watch.hpp>

#include <utility>

namespace trailjunction
{
	void store_watch::note_failure(std::string_view call, std::string_view reason)
	{
		if (failures_++ == 0)
			log_event(event::platform_unreachable, {{"call", call}, {"reason", reason}});
	}

	void store_watch::note_answer()
	{
		if (const auto failed = std::exchange(failures_, 0); failed > 0)
			log_event(event::platform_back, {{"failed_calls", failed}});
	}
}
