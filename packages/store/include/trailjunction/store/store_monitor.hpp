// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Logs once when the store stops answering and once when it answers again. For decisions after a sustained loss
/// of contact, see store_contact.hpp.
#pragma once

#include <string_view>

namespace trailjunction
{
	/// \brief The availability of the store as seen by one duty; logs only transitions.
	class store_monitor
	{
	public:
		/// \brief Records a call that was refused or not answered.
		void record_failure(std::string_view call, std::string_view reason);
		/// \brief Records a call that was answered.
		void record_success();

		[[nodiscard]] bool is_unavailable() const noexcept
		{
			return consecutive_failures_ > 0;
		}

	private:
		int consecutive_failures_{};
	};
}
