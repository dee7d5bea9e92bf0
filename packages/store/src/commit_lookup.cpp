// SPDX-License-Identifier: MIT
#include <trailjunction/net/coroutines.hpp>
#include <trailjunction/store/commit_lookup.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <memory>
#include <optional>
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

		/// A transaction in flight, and its result once the call has ended.
		struct pending_commit
		{
			explicit pending_commit(boost::asio::io_context& io) : answered{io} {}

			std::optional<commit_result> result;
			boost::asio::steady_timer answered; ///< Is cancelled when the result is there.
		};

		boost::asio::awaitable<void> commit_into(std::shared_ptr<pending_commit> pending, row_store& store,
												 row_transaction transaction, instant deadline)
		{
			pending->result = co_await store.commit(std::move(transaction), deadline);
			pending->answered.cancel();
		}

		/// Whether the store has answered; a call may also end without an answer.
		bool is_answered(const pending_commit& pending) noexcept
		{
			return pending.result && pending.result->outcome != commit_outcome::unknown;
		}

		boost::asio::awaitable<void> wait_for_answer(pending_commit& pending, instant until)
		{
			if (is_answered(pending))
				co_return;
			pending.answered.expires_at(to_steady_time(until));
			(void)co_await pending.answered.async_wait(as_result);
		}

		/// The row as it is in the page; version 0 if it is absent.
		stored_row current_row(const row_page& page, const row_name& name)
		{
			stored_row out;
			out.name = name;
			return page.rows.empty() ? out : page.rows.front();
		}

		/// What the row shows about a transaction that is conditional on \p condition; empty if it may still be
		/// applied.
		std::optional<commit_result> outcome_shown_by(const row_page& page, const row_condition& condition)
		{
			auto row = current_row(page, condition.name);
			if (row.version == condition.version)
				return std::nullopt;
			commit_result out;
			out.outcome = commit_outcome::conflict;
			out.rows.push_back(std::move(row));
			out.store_clock_ms = page.store_clock_ms;
			return out;
		}

		commit_result result_without_answer(const pending_commit& pending)
		{
			commit_result out;
			out.reason = "no answer in time";
			return pending.result.value_or(std::move(out));
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
		const auto pending = std::make_shared<pending_commit>(io);
		// The call goes on during lookups: a store may drop a transaction with its connection.
		boost::asio::co_spawn(io, commit_into(pending, store, std::move(transaction), deadline), boost::asio::detached);
		co_await wait_for_answer(*pending, std::min(deadline, sent + answer_wait(latency, policy)));
		bool was_absent = false;
		while (!is_answered(*pending))
		{
			const auto asked = boottime_now();
			if (asked >= deadline)
				co_return result_without_answer(*pending);
			const auto page = co_await store.read(range, std::min(deadline, asked + policy.read_timeout));
			const auto now = boottime_now();
			if (is_answered(*pending))
				break;
			if (page.ok())
			{
				auto shown = outcome_shown_by(*page, condition);
				// If the first lookup finds it, it may have been applied long before: its answer may be lost.
				if (shown && was_absent)
					record_latency(latency, elapsed(sent, now));
				if (shown)
					co_return *std::move(shown);
				was_absent = true;
				if (should_resend(elapsed(sent, now), elapsed(asked, now), policy))
					co_return result_without_answer(*pending);
			}
			co_await wait_for_answer(*pending, now + policy.pause);
		}
		const auto outcome = pending->result->outcome;
		if (outcome == commit_outcome::applied || outcome == commit_outcome::conflict)
			record_latency(latency, elapsed(sent, boottime_now()));
		co_return *std::move(pending->result);
	}
}
