// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief The store that keeps what must outlive a process, whoever carries it.
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

	/// \brief A row as the store keeps it.
	struct stored_row
	{
		row_name name;
		std::string value;
		std::int64_t version{}; ///< Of the transaction that wrote it; 0: the row is absent.
		bool removed{};         ///< Only while following: the row was removed.
	};

	/// \brief A row and the version that it must have.
	struct row_condition
	{
		row_name name;
		std::int64_t version{}; ///< 0: the row must be absent.
	};

	/// \brief A row and its new value.
	struct row_value
	{
		row_name name;
		std::string value;
	};

	/// \brief A transaction over the rows of one partition.
	struct row_change
	{
		std::string partition;
		std::vector<row_condition> expected;
		std::vector<row_value> put;
		std::vector<row_name> remove;
	};

	/// \brief How a transaction ended.
	enum class commit_end
	{
		applied,
		conflict, ///< Proved: a condition did not hold, nothing was done.
		refused,  ///< Proved: the store did not take it.
		unknown,  ///< It may have been applied, or may be applied later while its conditions hold.
	};

	/// \brief What came of a transaction.
	struct commit_result
	{
		commit_end how{commit_end::unknown};
		std::int64_t version{};       ///< Where it was applied: of all rows that it wrote.
		std::vector<stored_row> rows; ///< After a conflict: the rows of the conditions as they stand.
		std::int64_t store_ms{};      ///< The store's steady clock; 0 where it did not answer.
		std::string reason;           ///< Why it was not applied.
	};

	/// \brief Consecutive rows of one table and partition, by key.
	struct row_range
	{
		std::string table;
		std::string partition;
		std::string from;     ///< The first key; empty: the very first.
		std::string until;    ///< The key after the last one; empty: no end.
		std::uint32_t most{}; ///< Rows at the most; 0: as many as the store gives.
	};

	/// \brief Rows as of one moment.
	struct row_page
	{
		std::vector<stored_row> rows;
		bool more{};             ///< There are further rows in the range.
		std::int64_t version{};  ///< The newest of the store at that moment.
		std::int64_t store_ms{}; ///< The store's steady clock.
	};

	/// \brief A transactional table service; lives on one io_context.
	/// \details Reads are linearizable and nothing acknowledged is lost. Errors: unavailable where the store refused or
	/// could not be reached, deadline_exceeded where it did not answer in time, data_loss where the answer made no
	/// sense.
	class row_store
	{
	public:
		row_store() = default;
		virtual ~row_store() = default;
		row_store(const row_store&) = delete;
		row_store& operator=(const row_store&) = delete;

		/// \brief Does all of a change or nothing.
		[[nodiscard]] virtual boost::asio::awaitable<commit_result> commit(row_change change, instant deadline) = 0;

		/// \brief Reads one page of a range.
		[[nodiscard]] virtual boost::asio::awaitable<absl::StatusOr<row_page>> read(row_range range,
																					instant deadline) = 0;

		/// \brief Waits for changes of a table after a version, in all partitions.
		/// \param wait How long the store may hold the answer back while there are none.
		/// \returns out_of_range where the store has forgotten that version: everything has to be read again.
		[[nodiscard]] virtual boost::asio::awaitable<absl::StatusOr<row_page>>
		follow(std::string table, std::int64_t after, millis wait, instant deadline) = 0;
	};

	/// \brief Reads a whole range, page by page.
	/// \returns All rows, and the version of the first page: follow from there to miss nothing.
	[[nodiscard]] boost::asio::awaitable<absl::StatusOr<row_page>> read_all(row_store& store, row_range range,
																			instant deadline);

	/// \brief Reads several whole ranges side by side; the error of one of them where any fails.
	/// \returns All rows, range by range, and the oldest version of their first pages: follow from there to miss
	/// nothing.
	[[nodiscard]] boost::asio::awaitable<absl::StatusOr<row_page>>
	read_all(boost::asio::io_context& io, row_store& store, std::vector<row_range> ranges, instant deadline);
}
