// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Writes log lines without ever waiting for their reader, and bounds their number.
#pragma once

#include "units.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace trailjunction
{
	/// \brief How many lines of one kind may be written.
	struct log_budget
	{
		/// Lines a second of one kind, on the mean: the owner's busiest kind on a calm day of either deployment stays
		/// under 100, so this leaves out nothing on ordinary days.
		double lines_per_second{200.0};
		double burst{400.0}; ///< Saved up at the most.
	};

	/// \brief What is left of one kind's budget.
	struct log_allowance
	{
		double left{};
		instant filled{};
		std::uint64_t left_out{}; ///< Lines since the last one that was written.
	};

	/// \brief Whether a line may be written now; counts it where not.
	/// \param must The line is never left out: a failure.
	[[nodiscard]] bool admit_line(log_allowance& allowance, const log_budget& budget, bool must, instant now) noexcept;

	/// \brief Writes whole lines to a file descriptor that somebody may have stopped to read.
	class log_writer
	{
	public:
		explicit log_writer(int descriptor) noexcept : descriptor_{descriptor} {}

		/// \brief Writes a line, or drops it where that would have to wait.
		/// \details A line after dropped ones is preceded by one that counts them.
		void write(std::string line);

		/// \brief Lines dropped since the last that was written.
		[[nodiscard]] std::uint64_t dropped() const noexcept
		{
			return dropped_;
		}

	private:
		[[nodiscard]] bool try_write(std::string_view text) const;

		int descriptor_;
		std::uint64_t dropped_{};
	};
}
