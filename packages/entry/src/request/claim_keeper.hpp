// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Claims of idempotency keys in the table service.
#pragma once

#include "caller_request.hpp"

#include <trailjunction/store/platform_client.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <optional>
#include <string>

namespace trailjunction
{
	/// \brief What came of claiming a key.
	enum class claim_end
	{
		claimed,  ///< This request, and no other, may be sent.
		replayed, ///< An earlier request with this key is done: here is its answer.
		busy,     ///< An earlier request with this key may have run, and has no answer here.
		mismatch, ///< The key was used for another request.
		away,     ///< The store did not confirm the claim: nothing may be sent.
	};

	/// \brief A claim with what belongs to it.
	struct key_claim
	{
		claim_end how{claim_end::away};
		std::string row;        ///< The row's key.
		std::string token;      ///< Of the claiming write.
		std::int64_t version{}; ///< Of the row that the claim made.
		std::string print;      ///< A hash of the request.
		http_response answer;   ///< Where it is replayed.
	};

	/// \brief Makes sure that requests with one key run at most once, whichever entry they come through.
	/// \details A claim is one conditional write before the request is sent. The answer is added to the row afterwards;
	/// a request that was proved not to have run marks the row as free. Rows are not deleted for that: versions must
	/// not start again, or a delayed write could undo a later claim.
	class claim_keeper
	{
	public:
		claim_keeper(boost::asio::io_context& io, endpoint platform);

		/// \brief Claims the key of a request, until its deadline at the latest.
		[[nodiscard]] boost::asio::awaitable<key_claim> claim(const caller_request& request);

		/// \brief Records the end of a request whose key was claimed; runs on by itself.
		void settle(key_claim claim, request_outcome how, const http_response& answer);

	private:
		boost::asio::awaitable<void> record_answer(key_claim claim, std::string data);
		boost::asio::awaitable<void> give_back(key_claim claim);

		boost::asio::io_context& io_;
		platform_client platform_;
	};
}
