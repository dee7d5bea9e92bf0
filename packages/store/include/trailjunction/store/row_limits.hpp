// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Size limits of a row_store. A store rejects a transaction that exceeds one of them however often it is sent.
#pragma once

#include "row_store.hpp"

#include <absl/status/status.h>

#include <cstddef>
#include <vector>

namespace trailjunction
{
	/// \brief What one row and one transaction may hold.
	struct row_limits
	{
		std::size_t value_bytes{65'536};          ///< Bytes of one value.
		std::size_t key_bytes{200};               ///< Bytes of the name of a table, a partition or a row.
		std::size_t entries{100};                 ///< Conditions, writes and removals of a transaction together.
		std::size_t transaction_bytes{1'000'000}; ///< Bytes of a transaction as it is sent.
	};

	/// \brief Upper bound of the bytes that a write takes in the store's protocol, which encodes values as base64.
	[[nodiscard]] std::size_t encoded_size(const row_value& row) noexcept;

	/// \brief Upper bound of the bytes that a transaction takes in the store's protocol.
	[[nodiscard]] std::size_t encoded_size(const row_transaction& transaction) noexcept;

	/// \brief What still fits into a transaction.
	struct transaction_space
	{
		std::size_t entries{};
		std::size_t bytes{}; ///< As encoded_size() counts them.
	};

	/// \brief What still fits into a transaction; nothing if it already exceeds a limit.
	[[nodiscard]] transaction_space space_left(const row_transaction& transaction, const row_limits& limits) noexcept;

	/// \brief Adds writes and removals to a transaction if all of them fit.
	/// \param space What still fits into the transaction; reduced by what is added.
	/// \returns Whether they were added.
	[[nodiscard]] bool add_if_fits(row_transaction& transaction, transaction_space& space, std::vector<row_value> put,
								   std::vector<row_name> remove = {});

	/// \brief Checks a transaction against the limits.
	/// \returns invalid_argument that names the first row, its size and the limit that it exceeds.
	[[nodiscard]] absl::Status check_limits(const row_transaction& transaction, const row_limits& limits);
}
