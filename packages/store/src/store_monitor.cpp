// SPDX-License-Identifier: MIT
#include <trailjunction/core/event.hpp>
#include <trailjunction/store/store_monitor.hpp>

#include <utility>

namespace trailjunction
{
	void store_monitor::record_failure(std::string_view call, std::string_view reason)
	{
		if (consecutive_failures_++ == 0)
			log_event(event::platform_unreachable, {{"call", call}, {"reason", reason}});
	}

	void store_monitor::record_success()
	{
		if (const auto failure_count = std::exchange(consecutive_failures_, 0); failure_count > 0)
			log_event(event::platform_back, {{"failed_calls", failure_count}});
	}
}
