// SPDX-License-Identifier: MIT
#include "shard_journal.hpp"

#include <trailjunction/core/event.hpp>
#include <trailjunction/core/json.hpp>
#include <trailjunction/core/random.hpp>
#include <trailjunction/net/coroutines.hpp>

#include <absl/strings/str_cat.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace trailjunction
{
	namespace asio = boost::asio;

	namespace
	{
		constexpr std::size_t journal_slots = 256;      ///< Rows of a shard's journal.
		constexpr std::uint64_t snapshot_interval = 64; ///< Batches between snapshots; far below the number of slots.
		/// Number of batches since the last snapshot at which the next batch has to wait for a new snapshot.
		constexpr std::uint64_t max_batches_without_snapshot = 200;
		constexpr std::uint64_t max_snapshots = 4;
		constexpr std::size_t max_batch_records = 2'000;
		constexpr auto read_timeout = millis{3'000};
		constexpr auto write_timeout = millis{4'000};
		constexpr auto unavailable_after = millis{1'000};

		void complete(const std::vector<shard_journal::completion>& done, append_outcome outcome)
		{
			for (const auto& callback : done)
				if (callback)
					callback(outcome);
		}

		bool by_number(const journal_batch& left, const journal_batch& right)
		{
			return left.number < right.number;
		}
	}

	shard_journal::shard_journal(asio::io_context& io, const entry_settings& settings, platform_client& platform,
								 write_budget& budget, shard_id shard)
		: io_{io},
		  settings_{settings},
		  platform_{platform},
		  budget_{budget},
		  shard_{shard},
		  slot_versions_(journal_slots),
		  wake_timer_{io}
	{
	}

	std::string shard_journal::slot_key(sequence number) const
	{
		return absl::StrCat("journal/", settings_.region, "/", shard_.value, "/", number.value % journal_slots);
	}

	bool shard_journal::is_store_unavailable(instant now) const noexcept
	{
		return failing_since_ != instant{} && now - failing_since_ > unavailable_after;
	}

	// ------------------------------------------------------------------ takeover and recovery

	asio::awaitable<absl::Status> shard_journal::load()
	{
		state_ = {};
		const auto deadline = boottime_now() + read_timeout;
		const auto pointer =
			co_await platform_.get(absl::StrCat("snapshots/", settings_.region, "/", shard_.value), deadline);
		if (!pointer.ok())
			co_return pointer.status();
		snapshot_version_ = pointer->version;
		if (pointer->version != 0)
		{
			const auto text = co_await platform_.get_object(pointer->data, deadline);
			if (!text.ok())
				co_return text.status();
			auto snapshot = decode_snapshot(*text);
			if (!snapshot.ok())
				co_return snapshot.status();
			state_ = *std::move(snapshot);
		}
		last_snapshot_ = state_.last_applied;
		const auto rows =
			co_await platform_.scan(absl::StrCat("journal/", settings_.region, "/", shard_.value, "/"), deadline);
		if (!rows.ok())
			co_return rows.status();
		std::fill(slot_versions_.begin(), slot_versions_.end(), 0);
		std::vector<journal_batch> tail;
		for (const auto& row : *rows)
		{
			auto batch = decode_batch(row.data);
			if (!batch.ok())
				co_return batch.status();
			slot_versions_[batch->number.value % journal_slots] = row.version;
			if (batch->number > state_.last_applied)
				tail.push_back(*std::move(batch));
		}
		std::sort(tail.begin(), tail.end(), by_number);
		for (const auto& batch : tail)
			if (auto status = apply(state_, batch); !status.ok())
				co_return status;
		last_durable_ = state_.last_applied;
		co_return absl::OkStatus();
	}

	asio::awaitable<bool> shard_journal::take_over(std::function<bool(const member_id&)> may_take)
	{
		if (ownership_ != shard_ownership::not_owned)
			co_return false;
		ownership_ = shard_ownership::loading;
		const auto began = boottime_now();
		const auto status = co_await load();
		if (!status.ok() || !may_take(state_.owner))
		{
			if (!status.ok())
				log_event(event::platform_unreachable,
						  {{"shard", shard_.value}, {"reason", std::string{status.message()}}});
			ownership_ = shard_ownership::not_owned;
			co_return false;
		}
		journal_batch claim{last_durable_.next(), state_.applied_epoch.next(), settings_.member, {}};
		const auto slot = claim.number.value % journal_slots;
		const auto result = co_await platform_.put(slot_key(claim.number), encode_batch(claim), slot_versions_[slot],
												   random_token(), boottime_now() + write_timeout);
		if (result.outcome != write_outcome::applied)
		{
			// If the outcome is unknown, the claim may still be written; the next attempt then finds this entry named
			// as the previous owner.
			ownership_ = shard_ownership::not_owned;
			co_return false;
		}
		(void)apply(state_, claim);
		slot_versions_[slot] = result.row.version;
		last_durable_ = claim.number;
		pending_.clear();
		pending_completions_.clear();
		pending_by_task_.clear();
		failing_since_ = {};
		handing_over_ = false;
		owned_since_ = boottime_now();
		ownership_ = shard_ownership::owned;
		++generation_;
		const auto duration_ms = std::chrono::duration_cast<millis>(owned_since_ - began).count();
		log_event(event::shard_taken, {{"shard", shard_.value},
									   {"epoch", state_.applied_epoch.value},
									   {"tasks", state_.tasks.size()},
									   {"took_ms", duration_ms}});
		asio::co_spawn(io_, write_batches(generation_), asio::detached);
		co_return true;
	}

	void shard_journal::abandon(const std::string& reason)
	{
		if (ownership_ != shard_ownership::owned)
			return;
		ownership_ = shard_ownership::not_owned;
		++generation_;
		log_event(event::shard_lost, {{"shard", shard_.value}, {"reason", reason}});
		const auto done = std::move(pending_completions_);
		pending_completions_.clear();
		pending_.clear();
		pending_by_task_.clear();
		wake_timer_.cancel();
		complete(done, append_outcome::unknown);
	}

	asio::awaitable<void> shard_journal::hand_over()
	{
		if (ownership_ != shard_ownership::owned)
			co_return;
		handing_over_ = true;
		wake_timer_.cancel();
		while (ownership_ == shard_ownership::owned)
		{
			asio::steady_timer timer{io_, millis{20}};
			(void)co_await timer.async_wait(as_result);
		}
	}

	// ------------------------------------------------------------------ decisions and batches

	absl::Status shard_journal::append(journal_record record, completion done)
	{
		if (ownership_ != shard_ownership::owned || handing_over_)
			return absl::UnavailableError("this entry does not own the shard");
		if (auto status = apply(state_, record); !status.ok())
			return status;
		if (record.kind != record_kind::checkpointed)
			++pending_by_task_[record.task];
		pending_.push_back(std::move(record));
		pending_completions_.push_back(std::move(done));
		wake_timer_.cancel();
		return absl::OkStatus();
	}

	void shard_journal::when_durable(completion done)
	{
		if (ownership_ != shard_ownership::owned)
		{
			done(append_outcome::unknown);
			return;
		}
		// A completion without a record is called together with those of the records queued before it.
		pending_completions_.push_back(std::move(done));
		wake_timer_.cancel();
	}

	shard_journal::batch_in_flight shard_journal::next_batch()
	{
		batch_in_flight in_flight;
		in_flight.batch.number = last_durable_.next();
		in_flight.batch.owner_epoch = state_.applied_epoch;
		in_flight.batch.owner = handing_over_ ? member_id{} : settings_.member;
		in_flight.batch.records = std::move(pending_);
		in_flight.completions = std::move(pending_completions_);
		pending_.clear();
		pending_completions_.clear();
		// At this point the state is exactly the result of the batch, so a snapshot of it is consistent.
		if (in_flight.batch.number.value - last_snapshot_.value >= snapshot_interval)
		{
			state_.last_applied = in_flight.batch.number;
			in_flight.snapshot = encode_snapshot(state_);
		}
		return in_flight;
	}

	asio::awaitable<void> shard_journal::write_batches(std::uint64_t generation)
	{
		while (generation == generation_)
		{
			if (pending_completions_.empty() && !handing_over_)
			{
				wake_timer_.expires_after(std::chrono::hours{1});
				(void)co_await wake_timer_.async_wait(as_result);
				continue;
			}
			if (const auto wait = take_token(budget_, boottime_now()); wait.count() > 0)
			{
				asio::steady_timer timer{io_, wait};
				(void)co_await timer.async_wait(as_result);
				continue;
			}
			auto in_flight = next_batch();
			if (in_flight.batch.records.empty() && !handing_over_)
			{
				complete(in_flight.completions, append_outcome::durable);
				continue;
			}
			const bool is_last = handing_over_;
			const bool written = co_await write_batch(in_flight, generation);
			if (!written)
				co_return;
			if (is_last)
				abandon("handed over");
		}
	}

	asio::awaitable<bool> shard_journal::write_batch(batch_in_flight& in_flight, std::uint64_t generation)
	{
		const auto text = encode_batch(in_flight.batch);
		const auto token = random_token();
		const auto slot = in_flight.batch.number.value % journal_slots;
		while (true)
		{
			const auto result = co_await platform_.put(slot_key(in_flight.batch.number), text, slot_versions_[slot],
													   token, boottime_now() + write_timeout);
			if (generation != generation_)
			{
				complete(in_flight.completions, append_outcome::unknown);
				co_return false;
			}
			if (result.outcome == write_outcome::applied)
			{
				slot_versions_[slot] = result.row.version;
				break;
			}
			if (result.outcome == write_outcome::conflict)
			{
				complete(in_flight.completions, append_outcome::unknown);
				abandon("another entry has written the next batch");
				co_return false;
			}
			// The write is retried with the same token, so the store applies it at most once.
			if (failing_since_ == instant{})
				failing_since_ = boottime_now() - write_timeout;
		}
		failing_since_ = {};
		last_durable_ = in_flight.batch.number;
		state_.last_applied = last_durable_;
		for (const auto& record : in_flight.batch.records)
		{
			if (record.kind == record_kind::checkpointed)
				continue;
			const auto found = pending_by_task_.find(record.task);
			if (found != pending_by_task_.end() && --found->second == 0)
				pending_by_task_.erase(found);
		}
		complete(in_flight.completions, append_outcome::durable);
		if (!in_flight.snapshot.empty())
			co_await write_snapshot(std::move(in_flight.snapshot), last_durable_);
		co_return true;
	}

	asio::awaitable<void> shard_journal::write_snapshot(std::string text, sequence applied)
	{
		const auto generation = generation_;
		const auto pointer = absl::StrCat("snapshots/", settings_.region, "/", shard_.value);
		const auto name =
			absl::StrCat("snapshot-", settings_.region, "-", shard_.value, "-", state_.applied_epoch.value, "-",
						 applied.value / snapshot_interval % max_snapshots);
		while (generation == generation_)
		{
			const auto stored = co_await platform_.put_object(name, text, boottime_now() + write_timeout);
			write_result result;
			if (stored.ok())
				result = co_await platform_.put(pointer, name, snapshot_version_, random_token(),
												boottime_now() + write_timeout);
			if (result.outcome == write_outcome::applied || result.outcome == write_outcome::conflict)
				snapshot_version_ = result.row.version;
			if (result.outcome == write_outcome::applied)
			{
				last_snapshot_ = applied;
				log_event(event::snapshot_written,
						  {{"shard", shard_.value}, {"applied", applied.value}, {"bytes", text.size()}});
				co_return;
			}
			// The next batch retries the snapshot, unless the ring of slots is nearly full: then no batch may be
			// written before the snapshot is.
			if (applied.value - last_snapshot_.value < max_batches_without_snapshot)
				co_return;
		}
	}
}
