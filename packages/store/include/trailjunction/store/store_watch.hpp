// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Whether the store answers, told once when it stops and once when it does again.
#pragma once

#include <string_view>

namespace trailjunction
{
	/// \brief The word of one duty on the store; logs changes only.
	class store_watch
	{
	public:
		/// \brief A call was refused or got no answer.
		void note_failure(std::string_view call, std::string_view reason);
		/// \brief A call was answered.
		void note_answer();

		[[nodiscard]] bool is_away() const noexcept
		{
			return failures_ > 0;
		}

	private:
		int failures_{}; ///< In a row.
	};
}
