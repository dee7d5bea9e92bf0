// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Interface of the transactional store for state that must outlive a process, independent of the platform
/// that implements it.
#pragma once

#include <trailjunction/core/units.hpp>

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace trailjunction
{
	/// \brief Names a row within a partition.
	struct row_name
	{
		std::string table;
		std::string key;
	};

	/// \brief A row as stored.
	struct stored_row
	{
		row_name name;
		std::string value;
		std::int64_t version{}; ///< Version of the transaction that wrote the row; 0: the row is absent.
		bool removed{};         ///< The row was removed; set by poll_changes() only.
	};

	/// \brief A condition of a transaction: a row and the version that it must have.
	struct row_condition
	{
		row_name name;
		std::int64_t version{}; ///< 0: the row must be absent.
	};

	/// \brief A write of a transaction: a row and its new value.
	struct row_value
	{
		row_name name;
		std::string value;
	};

	/// \brief A transaction over the rows of one partition.
	struct row_transaction
	{
		std::string partition;
		std::vector<row_condition> conditions;
		std::vector<row_value> put;
		std::vector<row_name> remove;
	};

	/// \brief How a transaction ended.
	enum class commit_outcome
	{
		applied,
		conflict, ///< Certain: a condition did not hold, and nothing was applied.
		refused,  ///< Certain: the store did not accept it, and nothing was applied. It may accept it later.
		rejected, ///< Certain: the store will never accept it, and nothing was applied; see row_limits.hpp.
		unknown,  ///< It may have been applied, or may still be applied later if its conditions hold then.
	};

	/// \brief The result of a transaction.
	struct commit_result
	{
		commit_outcome outcome{commit_outcome::unknown};
		std::int64_t version{};        ///< If applied: the new version of all rows that it wrote.
		std::vector<stored_row> rows;  ///< After a conflict: the current rows of its conditions.
		std::int64_t store_clock_ms{}; ///< The store's steady clock; 0 if it did not answer.
		std::string reason;            ///< Why the transaction was not applied.
	};

	/// \brief Consecutive rows of one table and partition, by key.
	struct row_range
	{
		std::string table;
		std::string partition;
		std::string from;         ///< First key; empty: the first of the partition.
		std::string until;        ///< End of the range, exclusive; empty: no end.
		std::uint32_t max_rows{}; ///< Upper bound on the rows of a page; 0: the store chooses.
	};

	/// \brief A page of rows, read at one point in time.
	struct row_page
	{
		std::vector<stored_row> rows;
		bool has_more{};               ///< The range contains further rows.
		std::int64_t version{};        ///< The store's latest version at that time.
		std::int64_t store_clock_ms{}; ///< The store's steady clock.
	};

	/// \brief A transactional table service. An instance is bound to one io_context.
	/// \details Reads are linearizable and acknowledged transactions are durable. Errors: unavailable if the store
	/// refused the call or could not be reached, deadline_exceeded if it did not answer in time, data_loss if its
	/// response is malformed.
	class row_store
	{
	public:
		row_store() = default;
		virtual ~row_store() = default;
		row_store(const row_store&) = delete;
		row_store& operator=(const row_store&) = delete;

		/// \brief Applies a transaction atomically.
		[[nodiscard]] virtual boost::asio::awaitable<commit_result> commit(row_transaction transaction,
																		   instant deadline) = 0;

		/// \brief Reads one page of a range.
		[[nodiscard]] virtual boost::asio::awaitable<absl::StatusOr<row_page>> read(row_range range,
																					instant deadline) = 0;

		/// \brief Long poll for the changes of a table after a version, in all partitions.
		/// \param wait How long the store may delay its response while there are no changes.
		/// \returns out_of_range if the store no longer retains changes since that version: the table must be read
		/// again.
		[[nodiscard]] virtual boost::asio::awaitable<absl::StatusOr<row_page>>
		poll_changes(std::string table, std::int64_t after, millis wait, instant deadline) = 0;
	};

	/// \brief Reads a whole range, page by page.
	/// \returns All rows, and the version of the first page: poll_changes() from that version misses no change.
	[[nodiscard]] boost::asio::awaitable<absl::StatusOr<row_page>> read_all(row_store& store, row_range range,
																			instant deadline);

	/// \brief Reads several whole ranges concurrently; returns the error of one of them if any fails.
	/// \returns All rows, range by range, and the lowest version among their first pages: poll_changes() from that
	/// version misses no change.
	[[nodiscard]] boost::asio::awaitable<absl::StatusOr<row_page>>
	read_all(boost::asio::io_context& io, row_store& store, std::vector<row_range> ranges, instant deadline);
}
