// SPDX-License-Identifier: MIT
#include <trailjunction/jobs/recent_crashes.hpp>

#include <algorithm>
#include <utility>

namespace trailjunction
{
	bool in_correlation_window(instant left, instant right, const crash_policy& policy) noexcept
	{
		return left - right <= policy.correlation_window && right - left <= policy.correlation_window;
	}

	worker_crash* find_worker_crash(recent_crashes& recent, const worker_incarnation& worker) noexcept
	{
		// Nearly always the latest one is asked for.
		const auto found = std::find_if(recent.entries.rbegin(), recent.entries.rend(),
										[&](const worker_crash& crash) { return crash.worker == worker; });
		return found == recent.entries.rend() ? nullptr : &*found;
	}

	bool add_worker_crash(recent_crashes& recent, worker_crash crash, const crash_policy& policy)
	{
		if (find_worker_crash(recent, crash.worker) != nullptr)
			return false;
		std::erase_if(recent.entries, [&](const worker_crash& other)
					  { return other.last_response + policy.retention < crash.last_response; });
		recent.entries.push_back(std::move(crash));
		recent.changed = true;
		return true;
	}

	void remove_worker_crash(recent_crashes& recent, const worker_incarnation& worker)
	{
		std::erase_if(recent.entries, [&](const worker_crash& crash) { return crash.worker == worker; });
	}

	std::size_t count_correlated_crashes(const recent_crashes& recent, instant last_response,
										 std::span<const worker_incarnation> own, std::size_t counted_limit,
										 const crash_policy& policy) noexcept
	{
		const auto counts = [&](const worker_crash& crash)
		{
			return in_correlation_window(crash.last_response, last_response, policy) &&
				   crash.max_counted < counted_limit && std::find(own.begin(), own.end(), crash.worker) == own.end();
		};
		std::size_t out = 0;
		for (auto crash = recent.entries.rbegin(); crash != recent.entries.rend(); ++crash)
			if (counts(*crash) && ++out == policy.min_correlated_workers)
				break;
		return out;
	}
}
