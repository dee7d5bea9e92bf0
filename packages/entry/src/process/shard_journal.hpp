// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief The journal of one shard of tasks in the platform's store, and the state that it leads to.
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
	/// \brief Whether this entry owns a shard.
	enum class shard_ownership
	{
		not_owned, ///< Another entry owns the shard, or none does.
		loading,   ///< This entry is reading the shard to take it over.
		owned,
	};

	/// \brief The outcome of appending a record to the journal.
	enum class append_outcome
	{
		durable,
		unknown, ///< Ownership of the shard ended first: the record may or may not be in the journal.
	};

	/// \brief The write-ahead journal of one shard: takeover, batches, snapshots, recovery.
	/// \details The state in memory is ahead of the journal: a record is applied at once, and its effects wait in a
	/// completion until the batch that contains the record is durable. One write is in flight at a time. The rows of
	/// the journal form a ring of slots. Each write is conditional on the version of its slot, so only one of two
	/// owners can write the next batch, and the first batch of a new epoch takes over the shard.
	class shard_journal
	{
	public:
		using completion = std::function<void(append_outcome)>;

		shard_journal(boost::asio::io_context& io, const entry_settings& settings, platform_client& platform,
					  write_budget& budget, shard_id shard);

		/// \brief Reads the shard, and takes it over if \p may_take allows that for the owner named in the journal.
		/// \returns Whether this entry owns the shard now.
		[[nodiscard]] boost::asio::awaitable<bool> take_over(std::function<bool(const member_id& owner)> may_take);

		/// \brief Applies a record to the state and queues it for the journal.
		/// \param done Called when the record is durable or ownership has ended.
		/// \returns An error if the record does not apply to the state; nothing is queued then.
		[[nodiscard]] absl::Status append(journal_record record, completion done = {});

		/// \brief Calls \p done when all records queued so far are durable, or ownership has ended.
		void when_durable(completion done);

		/// \brief Writes the queued records with a last batch that names no owner, so that a successor need not wait
		/// for leases to expire, and gives up the shard.
		[[nodiscard]] boost::asio::awaitable<void> hand_over();

		/// \brief Gives up the shard without a last batch: queued records may or may not be in the journal.
		void abandon(const std::string& reason);

		[[nodiscard]] shard_ownership ownership() const noexcept
		{
			return ownership_;
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
			return state_.applied_epoch;
		}
		/// \brief When this entry's ownership began.
		[[nodiscard]] instant owned_since() const noexcept
		{
			return owned_since_;
		}
		/// \brief Whether a record of the task, other than a checkpoint, is not durable yet.
		[[nodiscard]] bool has_pending_record(const task_id& task) const noexcept
		{
			return pending_by_task_.contains(task);
		}
		/// \brief Whether writes have failed for so long that new submissions have to be refused.
		[[nodiscard]] bool is_store_unavailable(instant now) const noexcept;

		[[nodiscard]] std::size_t pending_count() const noexcept
		{
			return pending_.size();
		}

	private:
		/// One batch that is being written to the journal.
		struct batch_in_flight
		{
			journal_batch batch;
			std::vector<completion> completions;
			std::string snapshot; ///< The state after the batch, encoded; empty if no snapshot is due.
		};

		boost::asio::awaitable<absl::Status> load();
		boost::asio::awaitable<void> write_batches(std::uint64_t generation);
		boost::asio::awaitable<bool> write_batch(batch_in_flight& in_flight, std::uint64_t generation);
		boost::asio::awaitable<void> write_snapshot(std::string text, sequence applied);
		[[nodiscard]] batch_in_flight next_batch();
		[[nodiscard]] std::string slot_key(sequence number) const;

		boost::asio::io_context& io_;
		const entry_settings& settings_;
		platform_client& platform_;
		write_budget& budget_;
		shard_id shard_;
		shard_ownership ownership_{shard_ownership::not_owned};
		shard_state state_;
		sequence last_durable_; ///< The last durable batch.
		std::vector<std::int64_t> slot_versions_;
		std::vector<journal_record> pending_;
		std::vector<completion> pending_completions_;
		absl::flat_hash_map<task_id, int> pending_by_task_;
		boost::asio::steady_timer wake_timer_;
		/// Changes with each takeover and loss, so that a writer notices that its ownership is over.
		std::uint64_t generation_{};
		instant owned_since_{};
		instant failing_since_{};
		std::int64_t snapshot_version_{};
		sequence last_snapshot_; ///< The last batch that the stored snapshot includes.
		bool handing_over_{};
	};
}
