// SPDX-License-Identifier: MIT
#include "job_owner.hpp"

#include <trailjunction/core/event.hpp>
#include <trailjunction/core/random.hpp>
#include <trailjunction/jobs/job_tables.hpp>
#include <trailjunction/net/coroutines.hpp>

#include <algorithm>
#include <limits>

namespace trailjunction
{
	namespace asio = boost::asio;

	namespace
	{
		constexpr auto read_timeout = millis{600};
		constexpr auto commit_timeout = millis{600};
		constexpr auto retry_backoff = millis{100};
		/// Limits the exponential pause after consecutive failed loads to 3.2 s. This exceeds the lease, so that a
		/// member that cannot load the jobs leaves the row to others.
		constexpr int max_pause_doublings = 5;

		/// Upper bound of a lease that a row states; far above those that owners write.
		constexpr auto max_stated_lease = millis{60'000};

		row_name owner_row()
		{
			return {owner_table, owner_key};
		}

		std::optional<millis> stated_lease(const stored::ownership& row)
		{
			// A lease of no time would let every standby take the row over at once, an endless one would let none.
			if (!row.__isset.lease_ms || row.lease_ms <= 0)
				return std::nullopt;
			return std::min(millis{row.lease_ms}, max_stated_lease);
		}

		/// The owner's row with the depths and the forecast of its further rows.
		stored::ownership with_further_rows(stored::ownership row, const std::vector<stored_row>& rows)
		{
			for (const auto& further : rows)
			{
				// Rows of another version were left by an earlier transaction.
				if (further.name.key == owner_key || further.version != rows.front().version)
					continue;
				if (const auto status = decode_further_ownership(row, further.value); !status.ok())
				{
					log_event(event::row_unreadable, {{"row", further.name.key}, {"reason", status.ToString()}});
					row.loaded = false; // the depths are not complete
				}
			}
			return row;
		}

		row_range owner_range()
		{
			return {owner_table, job_partition, owner_key, "", 0};
		}
	}

	job_owner::job_owner(asio::io_context& io, const job_entry_settings& settings, row_store& store,
						 const evacuation_rows& evacuations, process_metrics& metrics,
						 job_term::depth_handler on_depths, const upkeep_adapter* upkeep)
		: io_{io},
		  settings_{settings},
		  store_{store},
		  evacuations_{evacuations},
		  metrics_{metrics},
		  on_depths_{std::move(on_depths)},
		  upkeep_{upkeep},
		  times_{ownership_times_of(settings)},
		  incarnation_{static_cast<std::int64_t>(random_u64() >> 1U)}
	{
	}

	void job_owner::leave()
	{
		leaving_ = true;
		if (term_)
			term_->release();
	}

	asio::awaitable<void> job_owner::run()
	{
		while (!leaving_)
		{
			co_await read_owner_row();
			const auto now = boottime_now();
			if (leaving_ || now < no_takeover_until_ || !may_take_over(observation_, times_, now))
			{
				co_await pause_for(io_, time_to_next_read(boottime_now()));
				continue;
			}
			auto owned = co_await take_over();
			if (!owned)
				continue;
			term_ = std::make_shared<job_term>(io_, settings_, store_, evacuations_, metrics_, *std::move(owned),
											   on_depths_, upkeep_);
			const auto loaded = co_await term_->load();
			if (!loaded.ok())
				store_monitor_.record_failure("load jobs", loaded.ToString());
			if (leaving_)
				term_->release();
			if (loaded.ok())
				co_await term_->work();
			if (term_->handed_over())
				no_takeover_until_ = boottime_now() + handover_policy{}.abstain_for;
			term_.reset();
			observation_ = {};
			failed_loads_ = loaded.ok() ? 0 : std::min(failed_loads_ + 1, max_pause_doublings);
			// This member still holds the row and could take it over again at once. The pause lets others take it over.
			if (!loaded.ok())
				co_await pause_for(io_, retry_backoff * (1 << failed_loads_));
		}
	}

	millis job_owner::time_to_next_read(instant now) const
	{
		const auto draw =
			static_cast<double>(random_u64()) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
		const auto regular = observation_interval(observation_, times_, draw);
		const auto due = takeover_due(observation_, times_);
		if (!due || *due <= now)
			return regular;
		return std::min(regular, std::chrono::ceil<millis>(*due - now));
	}

	asio::awaitable<void> job_owner::read_owner_row()
	{
		const auto page = co_await store_.read(owner_range(), boottime_now() + read_timeout);
		const auto now = boottime_now();
		if (!page.ok())
		{
			record_failed_read(observation_);
			store_monitor_.record_failure("read owner", page.status().ToString());
			co_return;
		}
		store_monitor_.record_success();
		if (page->rows.empty())
		{
			last_row_ = {};
			record_observation(observation_, 0, {}, now);
			co_return;
		}
		const auto row = decode_ownership(page->rows.front().value);
		if (!row.ok())
		{
			log_event(event::row_unreadable, {{"row", owner_key}, {"reason", row.status().ToString()}});
			co_return;
		}
		if (observation_.version != page->rows.front().version)
			publish_depths(with_further_rows(*row, page->rows), page->store_clock_ms, now);
		last_row_ = *row;
		record_observation(observation_, page->rows.front().version,
						   {row->released, is_own_row(*row), stated_lease(*row)}, now);
	}

	bool job_owner::is_own_row(const stored::ownership& row) const
	{
		// A process listens on its address before it reads the row, and two processes cannot listen on the same
		// address. A process with the same member name at another address may have been replaced and still be running.
		return row.member == settings_.member.str() && settings_.callers &&
			   row.address == to_string(*settings_.callers);
	}

	void job_owner::publish_depths(const stored::ownership& row, std::int64_t store_ms, instant read_at)
	{
		if (!row.loaded)
			return; // the owner has not loaded its jobs yet, so its depths are meaningless
		queue_depths depths;
		for (const auto& depth : row.depths)
			depths.waiting[queue_id{depth.name}] = depth.waiting;
		depths.read_at = read_at;
		depths.room = forecast_from(row.room, store_ms, read_at);
		on_depths_(std::move(depths));
	}

	asio::awaitable<std::optional<owned_row>> job_owner::take_over()
	{
		owned_row out;
		out.lease = times_.lease; // what rivals assume of a row that states none
		out.row.epoch = last_row_.epoch + 1;
		out.row.member = settings_.member.str();
		out.row.incarnation = incarnation_;
		out.row.handed_on_ms = last_row_.handed_on_ms;
		if (settings_.callers)
			out.row.address = to_string(*settings_.callers);
		row_transaction change;
		change.partition = job_partition;
		change.conditions.push_back({owner_row(), observation_.version});
		change.put.push_back({owner_row(), encode_ownership(out.row)});
		out.renewal_sent = boottime_now();
		while (true)
		{
			const auto result =
				co_await commit_or_look_up(io_, store_, change, commit_latency_, boottime_now() + commit_timeout);
			if (result.outcome == commit_outcome::applied)
			{
				out.version = result.version;
				out.store_ms = result.store_clock_ms;
				break;
			}
			if (result.outcome == commit_outcome::conflict)
			{
				const auto row = result.rows.empty() ? absl::StatusOr<stored::ownership>{absl::DataLossError("no row")}
													 : decode_ownership(result.rows.front().value);
				if (!row.ok() || row->epoch != out.row.epoch || row->incarnation != incarnation_)
					co_return std::nullopt;
				out.version = result.rows.front().version;
				out.store_ms = result.store_clock_ms;
				break;
			}
			if (result.outcome == commit_outcome::refused || result.outcome == commit_outcome::rejected)
				co_return std::nullopt;
			co_await pause_for(io_, retry_backoff);
		}
		log_event(event::shard_taken, {{"epoch", out.row.epoch}, {"from", last_row_.member}});
		co_return out;
	}
}
