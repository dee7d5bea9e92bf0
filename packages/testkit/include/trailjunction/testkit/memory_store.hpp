// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief A row_store in the memory of a test.
#pragma once

#include <trailjunction/store/row_limits.hpp>
#include <trailjunction/store/row_store.hpp>

#include <boost/asio/io_context.hpp>

#include <map>
#include <string>
#include <tuple>

namespace trailjunction::testkit
{
	/// \brief Faults that a memory_store injects.
	struct store_faults
	{
		bool hold_commits{}; ///< Transactions wait until this is false or their deadline has passed.
		/// Transactions that write this table wait like those under #hold_commits; empty for no table.
		std::string held_table;
		bool refuse_all{};           ///< Every call is refused.
		int lost_responses{};        ///< The next transactions, this many, are applied without a response.
		bool discard_lost_commits{}; ///< Transactions whose response is lost are not applied either.
		bool hold_feeds{};           ///< Calls that follow a table get no response until their deadline.
		bool forget_history{};       ///< The next call that follows a table finds that its version is no longer kept.
		/// Duration of a transaction. Transactions of one partition are serialised; one that would have to wait for
		/// more than a second is refused.
		millis transaction_duration{};
		millis answer_delay{}; ///< Time between the turn of a transaction and its effect and answer.
		/// Transactions that have not had their turn by their deadline are applied when it comes.
		bool late_commits{};
		millis read_duration{};       ///< Duration of a read.
		std::string unanswered_table; ///< Reads of this table get no response; empty for no table.
		std::string refused_table;    ///< Reads of this table are refused; empty for no table.
		std::string silent_feed;      ///< Calls that follow this table get no response; empty for no table.
	};

	/// \brief Keeps rows in memory, checks the conditions of transactions and assigns versions. Runs on one io_context.
	class memory_store final : public row_store
	{
	public:
		explicit memory_store(boost::asio::io_context& io) : io_{io} {}

		[[nodiscard]] boost::asio::awaitable<commit_result> commit(row_transaction change, instant deadline) override;
		[[nodiscard]] boost::asio::awaitable<absl::StatusOr<row_page>> read(row_range range, instant deadline) override;
		[[nodiscard]] boost::asio::awaitable<absl::StatusOr<row_page>>
		poll_changes(std::string table, std::int64_t after, millis wait, instant deadline) override;

		/// \brief Writes a row unconditionally.
		void put(const std::string& partition, const std::string& table, const std::string& key, std::string value);
		/// \brief Removes a row unconditionally.
		void remove(const std::string& partition, const std::string& table, const std::string& key);
		/// \brief The value of a row; empty if it is absent.
		[[nodiscard]] std::string value(const std::string& partition, const std::string& table,
										const std::string& key) const;

		store_faults faults;
		row_limits limits;                   ///< A transaction that exceeds them is rejected.
		std::vector<std::string> rejections; ///< Why transactions were rejected, in order.
		int held_commits{};                  ///< Number of transactions that store_faults::hold_commits holds now.
		int lost_reads{};                    ///< Number of reads that got no response or will get none.
		std::vector<row_transaction> requested_commits; ///< Every requested transaction, in order.

	private:
		using row_key = std::tuple<std::string, std::string, std::string>; // table, partition, key
		struct stored_row
		{
			std::string value;
			std::int64_t version{};
			bool removed{};
		};

		/// Whether a transaction waits for the end of a fault.
		[[nodiscard]] bool is_held(const row_transaction& change) const;
		[[nodiscard]] std::int64_t version_of(const row_key& full_key) const;
		[[nodiscard]] std::int64_t clock_ms() const;
		commit_result apply(const row_transaction& change);
		boost::asio::awaitable<void> apply_late(row_transaction change, instant turn);
		/// Waits until the earlier transactions of the partition and the duration of this one are over.
		/// \returns `applied` if that was before the deadline, `unknown` if not, `refused` if the wait would exceed a
		/// second.
		boost::asio::awaitable<commit_outcome> wait_for_turn(const row_transaction& change, instant deadline);

		boost::asio::io_context& io_;
		std::map<row_key, stored_row> rows_;
		std::int64_t version_{};
		std::map<std::string, instant> busy_until_; ///< By partition: the end of its last transaction.
	};
}
