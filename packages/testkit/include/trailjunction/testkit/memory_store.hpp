// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief A row_store in the memory of a test.
#pragma once

#include <trailjunction/store/row_store.hpp>

#include <boost/asio/io_context.hpp>

#include <map>
#include <string>
#include <tuple>

namespace trailjunction::testkit
{
	/// \brief What goes wrong in a memory_store.
	struct store_faults
	{
		bool hold_commits{};   ///< Transactions wait until this is false again, or until their caller gives up.
		bool refuse_all{};     ///< Every call is refused.
		int lose_answers{};    ///< So many transactions are done and not answered.
		bool keep_nothing{};   ///< Transactions whose answer is lost are not done either.
		bool silence_feeds{};  ///< Who follows a table hears nothing until it gives up.
		bool forget_history{}; ///< The next follow finds its version forgotten.
		/// A transaction takes so long, and those of one partition follow each other; one that would have to wait for
		/// more than a second is refused.
		millis transaction_time{};
		millis read_time{};       ///< A read takes so long.
		std::string lose_reads;   ///< Of this table get no answer; empty: of none.
		std::string refuse_reads; ///< Of this table; empty: of none.
	};

	/// \brief Keeps rows, checks conditions, counts versions; lives on one io_context.
	class memory_store final : public row_store
	{
	public:
		explicit memory_store(boost::asio::io_context& io) : io_{io} {}

		[[nodiscard]] boost::asio::awaitable<commit_result> commit(row_change change, instant deadline) override;
		[[nodiscard]] boost::asio::awaitable<absl::StatusOr<row_page>> read(row_range range, instant deadline) override;
		[[nodiscard]] boost::asio::awaitable<absl::StatusOr<row_page>> follow(std::string table, std::int64_t after,
																			  millis wait, instant deadline) override;

		/// \brief Writes a row without any condition.
		void put(const std::string& partition, const std::string& table, const std::string& key, std::string value);
		/// \brief Removes a row without any condition.
		void remove(const std::string& partition, const std::string& table, const std::string& key);
		/// \brief The value of a row; empty where it is absent.
		[[nodiscard]] std::string value(const std::string& partition, const std::string& table,
										const std::string& key) const;

		store_faults faults;
		int held_commits{};            ///< Transactions that wait now.
		int lost_reads{};              ///< Reads that got no answer, or will get none.
		std::vector<row_change> asked; ///< Every transaction that was asked for, in order.

	private:
		using place = std::tuple<std::string, std::string, std::string>; // table, partition, key
		struct kept_row
		{
			std::string value;
			std::int64_t version{};
			bool removed{};
		};

		[[nodiscard]] std::int64_t version_of(const place& where) const;
		[[nodiscard]] std::int64_t clock_ms() const;
		commit_result apply(const row_change& change);
		/// Waits for the partition's turn. \returns Whether it came before the deadline; refused: there are too many.
		boost::asio::awaitable<commit_end> wait_for_turn(std::string partition, instant deadline);

		boost::asio::io_context& io_;
		std::map<place, kept_row> rows_;
		std::int64_t version_{};
		std::map<std::string, instant> busy_until_; ///< By partition.
	};
}
