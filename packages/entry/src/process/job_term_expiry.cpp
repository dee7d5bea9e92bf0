// SPDX-License-Identifier: MIT
/// \file
/// \brief The part of job_term that removes expired rows.
#include "job_term.hpp"

#include <trailjunction/core/event.hpp>
#include <trailjunction/jobs/job_tables.hpp>
#include <trailjunction/net/coroutines.hpp>

#include <utility>

namespace trailjunction
{
	namespace asio = boost::asio;

	namespace
	{
		constexpr auto call_timeout = millis{600}; ///< Far above the usual duration of a call to the store.
		constexpr auto sweep_interval = millis{1'000};
		/// Interval between two searches for expired rows of cancelled ids: half of their lifetime. A search costs a
		/// read per partition.
		constexpr auto cancelled_ids_interval = millis{60'000};
		/// Maximum number of rows that a transaction removes on condition of their versions. The store accepts 100
		/// entries, and each row takes two.
		constexpr std::size_t max_removals = 45;

		/// Transactions that remove the expired rows of a page of cancelled ids. A row that is written again meanwhile
		/// stays, because a cancellation has prolonged it.
		std::vector<row_transaction> removals_of_expired(const row_page& page, const std::string& partition)
		{
			std::vector<row_transaction> out;
			for (const auto& row : page.rows)
			{
				const auto expires_ms = decode_cancelled_id(row.value);
				if (!expires_ms.ok())
					log_event(event::row_unreadable,
							  {{"job", row.name.key}, {"reason", expires_ms.status().ToString()}});
				if (!expires_ms.ok() || *expires_ms > page.store_clock_ms)
					continue;
				if (out.empty() || out.back().remove.size() == max_removals)
					out.emplace_back().partition = partition;
				out.back().conditions.push_back({row.name, row.version});
				out.back().remove.push_back(row.name);
			}
			return out;
		}
	}

	std::vector<job_id> job_term::expired_jobs(instant now) const
	{
		std::vector<job_id> out;
		const auto clock_ms = store_now_ms(now);
		for (const auto& [id, ended_ms] : table_.ended)
			if (clock_ms - ended_ms > settings_.status_kept.count())
				out.push_back(id);
		return out;
	}

	asio::awaitable<void> job_term::remove_expired_submissions()
	{
		// Submissions are in partitions of their own, so the removal is not conditional on the owner row. The end of
		// the job is durable, so any owner may remove its submission, also repeatedly.
		while (!over_)
		{
			co_await pause_for(io_, sweep_interval);
			for (const auto& id : archive_ended_jobs(table_))
				forget_bases(pressures_, id);
			drop_cleared_suspects();
			for (const auto& id : expired_jobs(boottime_now()))
			{
				if (over_)
					co_return;
				row_transaction change;
				change.partition = submission_partition(id);
				change.remove.push_back({submissions_table, id.str()});
				change.remove.push_back({submissions_table, cancellation_key(id)});
				const auto result = co_await store_.commit(std::move(change), boottime_now() + call_timeout);
				if (result.outcome != commit_outcome::applied)
					break; // retried in the next sweep
				if (table_.ended.erase(id) > 0)
					removed_submissions_.push_back(id);
			}
		}
	}

	asio::awaitable<void> job_term::remove_expired_cancellations()
	{
		while (!over_)
		{
			for (std::size_t i = 0; i < submission_partitions && !over_; ++i)
			{
				auto partition = submission_partition(i);
				co_await remove_expired_cancellations_in(std::move(partition));
			}
			for (const auto until = boottime_now() + cancelled_ids_interval; !over_ && boottime_now() < until;)
				co_await pause_for(io_, sweep_interval);
		}
	}

	asio::awaitable<void> job_term::remove_expired_cancellations_in(std::string partition)
	{
		row_range range{cancelled_ids_table, partition, "", "", 0};
		while (!over_)
		{
			const auto page = co_await store_.read(range, boottime_now() + call_timeout);
			if (!page.ok())
			{
				store_monitor_.record_failure("read cancelled ids", page.status().ToString());
				co_return; // repeated by the next search
			}
			for (auto& removal : removals_of_expired(*page, partition))
			{
				const auto result = co_await store_.commit(std::move(removal), boottime_now() + call_timeout);
				if (result.outcome != commit_outcome::applied && result.outcome != commit_outcome::conflict)
					store_monitor_.record_failure("remove cancelled ids", result.reason);
			}
			if (!page->has_more || page->rows.empty())
				co_return;
			range.from = page->rows.back().name.key + '\0';
		}
	}
}
