// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Non-blocking writer of log lines, and rate limiting of them.
#pragma once

#include "units.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace trailjunction
{
	/// \brief Rate limit of one type of log line.
	struct log_rate_limit
	{
		/// Mean rate. The most frequent event type of an owner stays under 100 lines per second in normal operation of
		/// either deployment, so nothing is suppressed then.
		double lines_per_second{200.0};
		double burst{400.0}; ///< Maximum number of saved tokens.
	};

	/// \brief Token bucket of one type of log line.
	struct log_token_bucket
	{
		double tokens{};                  ///< One token allows one line.
		instant refilled_at{};            ///< When tokens were last added; zero before the first line.
		std::uint64_t suppressed_lines{}; ///< Lines suppressed since the last one that was written.
	};

	/// \brief Takes a token for a line; counts the line as suppressed if it may not be written.
	/// \param must_log The line is never suppressed, because it reports a failure.
	/// \returns Whether the line may be written.
	[[nodiscard]] bool admit_line(log_token_bucket& bucket, const log_rate_limit& limit, bool must_log,
								  instant now) noexcept;

	/// \brief Writes whole lines to a file descriptor whose reader may have stopped reading.
	class log_writer
	{
	public:
		explicit log_writer(int descriptor) noexcept : descriptor_{descriptor} {}

		/// \brief Writes a line, or drops it if writing would block.
		/// \details The first line after dropped ones is preceded by a line with their number. A line longer than
		/// PIPE_BUF is truncated.
		void write(std::string line);

		/// \brief Lines dropped since the last one that was written.
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
