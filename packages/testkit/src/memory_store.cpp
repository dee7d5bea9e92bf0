// SPDX-License-Identifier: MIT
#include <trailjunction/net/coroutines.hpp>
#include <trailjunction/testkit/memory_store.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace trailjunction::testkit
{
	namespace asio = boost::asio;

	namespace
	{
		constexpr auto poll_interval = millis{2};
		constexpr auto max_queue_time = millis{1'000}; ///< The limit of the users' store.
	}

	bool memory_store::is_held(const row_transaction& change) const
	{
		return faults.hold_commits ||
			   std::any_of(change.put.begin(), change.put.end(),
						   [&](const row_value& row) { return row.name.table == faults.held_table; });
	}

	std::int64_t memory_store::version_of(const row_key& full_key) const
	{
		const auto found = rows_.find(full_key);
		return found == rows_.end() || found->second.removed ? 0 : found->second.version;
	}

	std::int64_t memory_store::clock_ms() const
	{
		return to_millis(boottime_now());
	}

	commit_result memory_store::apply(const row_transaction& change)
	{
		commit_result out;
		out.store_clock_ms = clock_ms();
		bool holds = true;
		for (const auto& condition : change.conditions)
		{
			const row_key full_key{condition.name.table, change.partition, condition.name.key};
			holds = holds && version_of(full_key) == condition.version;
			out.rows.push_back({condition.name, value(change.partition, condition.name.table, condition.name.key),
								version_of(full_key), false});
		}
		if (!holds)
		{
			out.outcome = commit_outcome::conflict;
			return out;
		}
		out.rows.clear();
		out.outcome = commit_outcome::applied;
		out.version = ++version_;
		for (const auto& row : change.put)
			rows_[{row.name.table, change.partition, row.name.key}] = {row.value, version_, false};
		for (const auto& name : change.remove)
			rows_[{name.table, change.partition, name.key}] = {"", version_, true};
		return out;
	}

	asio::awaitable<void> memory_store::apply_late(row_transaction change, instant turn)
	{
		while (boottime_now() < turn)
			co_await pause_for(io_, poll_interval);
		(void)apply(change);
	}

	asio::awaitable<commit_outcome> memory_store::wait_for_turn(const row_transaction& change, instant deadline)
	{
		auto& busy_until = busy_until_[change.partition];
		const auto now = boottime_now();
		const auto begin = std::max(now, busy_until);
		if (begin - now > max_queue_time)
			co_return commit_outcome::refused;
		busy_until = begin + faults.transaction_duration;
		const auto turn = busy_until + faults.answer_delay;
		if (turn > deadline && faults.late_commits)
			asio::co_spawn(io_, apply_late(change, turn), asio::detached);
		while (boottime_now() < std::min(turn, deadline))
			co_await pause_for(io_, poll_interval);
		co_return turn <= deadline ? commit_outcome::applied : commit_outcome::unknown;
	}

	asio::awaitable<commit_result> memory_store::commit(row_transaction change, instant deadline)
	{
		requested_commits.push_back(change);
		++held_commits;
		while (is_held(change) && boottime_now() < deadline)
			co_await pause_for(io_, poll_interval);
		--held_commits;
		commit_result out;
		if (is_held(change))
			co_return out;
		if (faults.refuse_all)
		{
			out.outcome = commit_outcome::refused;
			co_return out;
		}
		if (const auto status = check_limits(change, limits); !status.ok())
		{
			out.outcome = commit_outcome::rejected;
			out.reason = std::string{status.message()};
			rejections.push_back(out.reason);
			co_return out;
		}
		if (faults.transaction_duration.count() > 0)
		{
			out.outcome = co_await wait_for_turn(change, deadline);
			if (out.outcome != commit_outcome::applied)
				co_return out;
		}
		const bool lost = faults.lost_responses > 0;
		if (lost)
			--faults.lost_responses;
		if (!lost || !faults.discard_lost_commits)
			out = apply(change);
		if (lost)
			out = {};
		co_return out;
	}

	asio::awaitable<absl::StatusOr<row_page>> memory_store::read(row_range range, instant deadline)
	{
		const auto left = std::chrono::duration_cast<millis>(deadline - boottime_now());
		const bool lost = !faults.unanswered_table.empty() && faults.unanswered_table == range.table;
		if (lost)
			++lost_reads;
		const bool in_time = !lost && faults.read_duration <= left;
		if (lost)
			co_await pause_for(io_, left);
		else if (faults.read_duration.count() > 0)
			co_await pause_for(io_, std::min(faults.read_duration, left));
		if (!in_time)
			co_return absl::DeadlineExceededError("no answer");
		if (faults.refuse_all || (!faults.refused_table.empty() && faults.refused_table == range.table))
			co_return absl::UnavailableError("refused");
		row_page out;
		out.version = version_;
		out.store_clock_ms = clock_ms();
		for (const auto& [full_key, row] : rows_)
		{
			const auto& [table, partition, key] = full_key;
			if (table != range.table || partition != range.partition || key < range.from || row.removed)
				continue;
			if (!range.until.empty() && key >= range.until)
				continue;
			if (range.max_rows > 0 && out.rows.size() == range.max_rows)
				out.has_more = true;
			else
				out.rows.push_back({{table, key}, row.value, row.version, false});
		}
		co_return out;
	}

	asio::awaitable<absl::StatusOr<row_page>> memory_store::poll_changes(std::string table, std::int64_t after,
																		 millis wait, instant deadline)
	{
		const auto until = boottime_now() + wait;
		row_page out;
		while (true)
		{
			const bool silent = !faults.silent_feed.empty() && faults.silent_feed == table;
			if (faults.hold_feeds || silent)
			{
				if (boottime_now() >= deadline)
					co_return absl::DeadlineExceededError("no answer");
				co_await pause_for(io_, poll_interval);
				continue;
			}
			if (faults.refuse_all)
				co_return absl::UnavailableError("refused");
			if (std::exchange(faults.forget_history, false))
				co_return absl::OutOfRangeError("forgotten");
			for (const auto& [full_key, row] : rows_)
				if (std::get<0>(full_key) == table && row.version > after)
					out.rows.push_back({{table, std::get<2>(full_key)}, row.value, row.version, row.removed});
			if (!out.rows.empty() || boottime_now() >= until)
				break;
			co_await pause_for(io_, poll_interval);
		}
		out.version = version_;
		out.store_clock_ms = clock_ms();
		co_return out;
	}

	void memory_store::put(const std::string& partition, const std::string& table, const std::string& key,
						   std::string value)
	{
		rows_[{table, partition, key}] = {std::move(value), ++version_, false};
	}

	void memory_store::remove(const std::string& partition, const std::string& table, const std::string& key)
	{
		rows_[{table, partition, key}] = {"", ++version_, true};
	}

	std::string memory_store::value(const std::string& partition, const std::string& table,
									const std::string& key) const
	{
		const auto found = rows_.find({table, partition, key});
		return found == rows_.end() ? std::string{} : found->second.value;
	}
}
