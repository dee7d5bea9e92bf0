// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief How many extra tries an entry may make.
#pragma once

namespace trailjunction
{
	/// \brief One budget for all retries and hedges of an entry: a share of its recent first tries.
	/// \details Each first try earns \p share of a token, each extra try costs one. The store of tokens is small, so an
	/// outage that follows a quiet hour gets no burst of retries.
	struct retry_budget
	{
		double share{0.1}; ///< Tokens that a first try earns.
		double most{10};   ///< Tokens that are kept at the most.
		double tokens{3};  ///< Tokens at hand.
	};

	/// \brief Notes a first try.
	void earn_retry(retry_budget& budget) noexcept;

	/// \brief Takes a token for one extra try.
	/// \returns Whether there was one.
	[[nodiscard]] bool spend_retry(retry_budget& budget) noexcept;
}
