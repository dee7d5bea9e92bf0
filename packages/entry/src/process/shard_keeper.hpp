// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief One shard of the tasks, as an entry keeps it.
#pragma once

#include <trailjunction/decide/process/shard_state.hpp>
#include <trailjunction/decide/process/write_budget.hpp>
#include <trailjunction/entry/settings.hpp>
#include <trailjunction/store/platform_client.hpp>

#include <absl/container/flat_hash_map.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace trailjunction
{
	/// \brief What an entry has of a shard.
	enum class shard_standing
	{
		other,   ///< Some other entry owns it, or nobody.
		loading, ///< It is being read and taken over.
		owned,
	};

	/// \brief How a record's way into the journal ended.
	enum class commit_end
	{
		durable,
		lost, ///< The shard was lost before: the record may or may not be in the journal.
	};

	/// \brief The journal of one shard: takeover, batches, snapshots, recovery.
	/// \details The state runs ahead of the journal: a decision is applied to it at once, and its effects wait in a
	/// completion until the batch that holds its record is durable. One write is in flight at a time. The journal's
	/// rows are a ring of slots; each write is conditional on the version of the slot, so that of two owners only one
	/// can write the next batch, and the first batch of a new epoch takes the shard over.
	class shard_keeper
	{
	public:
		using completion = std::function<void(commit_end)>;

		shard_keeper(boost::asio::io_context& io, const entry_settings& settings, platform_client& platform,
					 write_budget& budget, shard_id shard);

		/// \brief Reads the shard and takes it over if \p may_take says so of the owner that the journal names.
		[[nodiscard]] boost::asio::awaitable<bool> take_over(std::function<bool(const member_id& owner)> may_take);

		/// \brief Applies a record to the state, and queues it for the journal.
		/// \returns The reason where the record does not fit; then nothing is queued.
		[[nodiscard]] absl::Status decide(journal_record record, completion done = {});

		/// \brief Calls \p done when everything that is queued now is durable.
		void when_durable(completion done);

		/// \brief Gives the shard up after a last batch that names no owner; a successor need not wait.
		[[nodiscard]] boost::asio::awaitable<void> hand_over();

		/// \brief Gives the shard up without a word: what is queued may or may not be in the journal.
		void lose(const std::string& reason);

		[[nodiscard]] shard_standing standing() const noexcept
		{
			return standing_;
		}
		[[nodiscard]] const shard_state& state() const noexcept
		{
			return state_;
		}
		[[nodiscard]] shard_id shard() const noexcept
		{
			return shard_;
		}
		[[nodiscard]] epoch current_epoch() const noexcept
		{
			return state_.current;
		}
		/// \brief When this entry's ownership began.
		[[nodiscard]] instant taken_at() const noexcept
		{
			return taken_at_;
		}
		/// \brief Whether some decision about the task, other than a checkpoint, is not durable yet.
		[[nodiscard]] bool undecided(const task_id& task) const noexcept
		{
			return undurable_.contains(task);
		}
		/// \brief Whether writes have been failing for so long that new submissions must be refused.
		[[nodiscard]] bool store_away(instant now) const noexcept;

		[[nodiscard]] std::size_t queued_records() const noexcept
		{
			return pending_.size();
		}

	private:
		/// One batch on its way into the journal.
		struct batch_in_flight
		{
			journal_batch batch;
			std::vector<completion> done;
			std::string snapshot; ///< The state after the batch; empty: none is taken.
		};

		boost::asio::awaitable<absl::Status> load();
		boost::asio::awaitable<void> write_batches(std::uint64_t ownership);
		boost::asio::awaitable<bool> write_batch(batch_in_flight& work, std::uint64_t ownership);
		boost::asio::awaitable<void> write_snapshot(std::string text, sequence applied);
		[[nodiscard]] batch_in_flight next_batch();
		[[nodiscard]] std::string slot_key(sequence number) const;

		boost::asio::io_context& io_;
		const entry_settings& settings_;
		platform_client& platform_;
		write_budget& budget_;
		shard_id shard_;
		shard_standing standing_{shard_standing::other};
		shard_state state_;
		sequence written_; ///< The last batch that is durable.
		std::vector<std::int64_t> slot_versions_;
		std::vector<journal_record> pending_;
		std::vector<completion> pending_done_;
		absl::flat_hash_map<task_id, int> undurable_;
		boost::asio::steady_timer wake_;
		std::uint64_t ownership_{}; ///< Counts takeovers, so that an old writer notices a new one.
		instant taken_at_{};
		instant failing_since_{};
		std::int64_t snapshot_version_{};
		sequence snapshot_applied_; ///< The last batch that a stored snapshot holds.
		bool handing_over_{};
	};
}
