// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Claims idempotency keys in the table service, so that a request with a key runs at most once.
#pragma once

#include "caller_request.hpp"

#include <trailjunction/store/platform_client.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <optional>
#include <string>

namespace trailjunction
{
	/// \brief The outcome of claiming an idempotency key.
	enum class claim_outcome
	{
		claimed,     ///< This request owns the key and may be sent.
		replayed,    ///< An earlier request with this key is done; its recorded response is returned.
		unresolved,  ///< An earlier request with this key may have run, but no response is recorded.
		mismatch,    ///< The key was already used for a different request.
		unavailable, ///< The store did not confirm the claim; the request must not be sent.
	};

	/// \brief A claim of an idempotency key and the row that records it.
	struct key_claim
	{
		claim_outcome claim_result{claim_outcome::unavailable};
		std::string row_key;
		std::string write_token;         ///< The token of the write that made the claim.
		std::int64_t row_version{};      ///< The version of the row that the claim wrote.
		std::string request_hash;        ///< A hash of the method, target and body.
		http_response recorded_response; ///< Set if the outcome is replayed.
	};

	/// \brief Ensures that requests with the same idempotency key run at most once across all entries.
	/// \details A claim is a conditional write that is made before the request is sent. The response is added to the
	/// row afterwards. If the request certainly did not run, the row is marked as free. It is not deleted, because the
	/// row versions would start again and a delayed write could undo a later claim.
	class idempotency_claims
	{
	public:
		idempotency_claims(boost::asio::io_context& io, endpoint platform);

		/// \brief Claims the key of a request; waits no longer than its deadline.
		[[nodiscard]] boost::asio::awaitable<key_claim> claim(const caller_request& request);

		/// \brief Records the outcome of a request whose key was claimed. Returns at once; the write runs in the
		/// background.
		void record_outcome(key_claim claim, request_outcome outcome, const http_response& response);

	private:
		boost::asio::awaitable<void> record_response(key_claim claim, std::string data);
		boost::asio::awaitable<void> release(key_claim claim);

		boost::asio::io_context& io_;
		platform_client platform_;
	};
}
