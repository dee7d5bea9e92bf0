// SPDX-License-Identifier: MIT
#include <trailjunction/net/coroutines.hpp>
#include <trailjunction/store/commit_lookup.hpp>

#include <algorithm>
#include <utility>

namespace trailjunction
{
	namespace
	{
		/// Weight of the latest time in the average: a store that has become slow is known after a few transactions.
		constexpr int latest_share = 4;

		millis elapsed(instant since, instant now) noexcept
		{
			return std::chrono::duration_cast<millis>(now - since);
		}

		row_range range_of(const row_name& name, std::string partition)
		{
			return {name.table, std::move(partition), name.key, name.key + '\0', 1};
		}

		/// The row as it is in the page; version 0 if it is absent.
		stored_row current_row(const row_page& page, const row_name& name)
		{
			stored_row out;
			out.name = name;
			return page.rows.empty() ? out : page.rows.front();
		}
	}

	void record_latency(commit_latency& latency, millis took) noexcept
	{
		const auto usual = latency.usual.value_or(took);
		latency.usual = usual + (took - usual) / latest_share;
	}

	millis answer_wait(const commit_latency& latency, const lookup_policy& policy) noexcept
	{
		if (!latency.usual)
			return policy.first_wait;
		return std::clamp(policy.usual_factor * *latency.usual, policy.min_wait, policy.max_wait);
	}

	bool should_resend(millis since_sent, millis lookup_took, const lookup_policy& policy) noexcept
	{
		return since_sent >= std::max(policy.min_resend, policy.resend_factor * lookup_took);
	}

	boost::asio::awaitable<commit_result> commit_or_look_up(boost::asio::io_context& io, row_store& store,
															row_transaction transaction, commit_latency& latency,
															instant deadline, const lookup_policy& policy)
	{
		const auto sent = boottime_now();
		const auto condition = transaction.conditions.front();
		const auto range = range_of(condition.name, transaction.partition);
		auto result =
			co_await store.commit(std::move(transaction), std::min(deadline, sent + answer_wait(latency, policy)));
		if (result.outcome == commit_outcome::applied || result.outcome == commit_outcome::conflict)
			record_latency(latency, elapsed(sent, boottime_now()));
		bool was_absent = false;
		while (result.outcome == commit_outcome::unknown)
		{
			const auto asked = boottime_now();
			if (asked >= deadline)
				break;
			const auto page = co_await store.read(range, std::min(deadline, asked + policy.read_timeout));
			const auto now = boottime_now();
			if (page.ok())
			{
				auto row = current_row(*page, condition.name);
				if (row.version != condition.version)
				{
					// Found by the first lookup, it may have been applied at any time before: its answer may be lost.
					if (was_absent)
						record_latency(latency, elapsed(sent, now));
					result.outcome = commit_outcome::conflict;
					result.rows.push_back(std::move(row));
					result.store_clock_ms = page->store_clock_ms;
					break;
				}
				was_absent = true;
				if (should_resend(elapsed(sent, now), elapsed(asked, now), policy))
					break;
			}
			co_await pause_for(io, policy.pause);
		}
		co_return result;
	}
}
