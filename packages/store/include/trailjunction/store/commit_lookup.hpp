// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Transactions whose outcome is looked up if their answer does not arrive in time.
/// \details A store serializes the transactions of a partition, but not the reads. Sending a transaction again while
/// the first copy may still be queued therefore makes a slow store slower; reading the row that it writes does not. If
/// answers are lost, a read also finds the outcome long before a timeout that a slow store would need.
#pragma once

#include "row_store.hpp"

#include <trailjunction/core/units.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <optional>

namespace trailjunction
{
	/// \brief When the outcome of a transaction is looked up, and when it is sent again.
	struct lookup_policy
	{
		/// An answer is awaited for this multiple of its usual time.
		int usual_factor{4};
		/// Bounds of the time for which an answer is awaited. The upper one also limits what a lost answer costs after
		/// the store has been slow.
		millis min_wait{60};
		millis max_wait{600};
		/// The wait while no answer has been timed yet.
		millis first_wait{150};
		/// Time between two lookups of one transaction.
		millis pause{40};
		/// Timeout of one lookup; longer than a read takes from a store that is 60 times slower than usual.
		millis read_timeout{400};
		/// A transaction that a lookup does not find is sent again after this multiple of the duration of the lookup:
		/// a store that answers reads slowly has probably queued it.
		int resend_factor{8};
		/// Minimum time before a transaction is sent again.
		millis min_resend{600};
	};

	/// \brief The usual time until a transaction is known to be applied.
	struct commit_latency
	{
		std::optional<millis> usual; ///< A moving average; empty before the first answer.
	};

	/// \brief Updates the average with the time that one transaction took.
	void record_latency(commit_latency& latency, millis took) noexcept;

	/// \brief How long to wait for the answer to a transaction before its outcome is looked up.
	[[nodiscard]] millis answer_wait(const commit_latency& latency, const lookup_policy& policy) noexcept;

	/// \brief Whether to send a transaction again that a lookup has not found.
	/// \param since_sent Time since the transaction was sent.
	/// \param lookup_took Duration of the lookup.
	[[nodiscard]] bool should_resend(millis since_sent, millis lookup_took, const lookup_policy& policy) noexcept;

	/// \brief Applies a transaction, and looks its outcome up if the store does not answer in time.
	/// \param transaction Its first condition names the row that is looked up; it must have one.
	/// \param latency Is updated if the time that the transaction took becomes known.
	/// \returns As row_store::commit(). The outcome conflict means that the row has changed since: by this transaction
	/// or by another one; the current row is in commit_result::rows. The outcome unknown means that the transaction
	/// should be sent again, or that the deadline has passed.
	[[nodiscard]] boost::asio::awaitable<commit_result> commit_or_look_up(boost::asio::io_context& io, row_store& store,
																		  row_transaction transaction,
																		  commit_latency& latency, instant deadline,
																		  const lookup_policy& policy = {});
}
