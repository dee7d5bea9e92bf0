// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Token bucket that limits the retries and hedged attempts of an entry.
#pragma once

namespace trailjunction
{
	/// \brief One budget for all retries and hedged attempts of an entry, as a share of its recent first attempts.
	/// \details Each first attempt adds `share` tokens, each extra attempt takes one. The bucket is small, so an outage
	/// after a period of success does not cause a burst of retries.
	struct retry_budget
	{
		double share{0.1};     ///< Tokens added per first attempt.
		double max_tokens{10}; ///< Capacity of the bucket.
		double tokens{3};      ///< Tokens available now.
	};

	/// \brief Adds tokens for a first attempt.
	void earn_retry(retry_budget& budget) noexcept;

	/// \brief Takes a token for one extra attempt.
	/// \returns False if no token is available.
	[[nodiscard]] bool spend_retry(retry_budget& budget) noexcept;
}
