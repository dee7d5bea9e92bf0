// SPDX-License-Identifier: MIT
#include <trailjunction/core/log_writer.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace trailjunction
{
	namespace
	{
		/// A pipe that is ready for writing accepts this many bytes without blocking; a longer line might block.
		constexpr std::size_t max_line_bytes = PIPE_BUF;
	}

	bool admit_line(log_token_bucket& bucket, const log_rate_limit& limit, bool must_log, instant now) noexcept
	{
		if (bucket.refilled_at == instant{})
			bucket.tokens = limit.burst;
		const std::chrono::duration<double> elapsed = now - bucket.refilled_at;
		bucket.tokens = std::min(limit.burst, bucket.tokens + elapsed.count() * limit.lines_per_second);
		bucket.refilled_at = now;
		if (bucket.tokens < 1.0 && !must_log)
		{
			++bucket.suppressed_lines;
			return false;
		}
		bucket.tokens = std::max(0.0, bucket.tokens - 1.0);
		return true;
	}

	bool log_writer::try_write(std::string_view text) const
	{
		pollfd ready{descriptor_, POLLOUT, 0};
		if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
			return false;
		return ::write(descriptor_, text.data(), text.size()) == static_cast<ssize_t>(text.size());
	}

	void log_writer::write(std::string line)
	{
		if (line.size() >= max_line_bytes)
			line.resize(max_line_bytes - 1);
		line.push_back('\n');
		if (dropped_ > 0 && try_write(absl::StrCat("{\"name\":\"lines_dropped\",\"count\":", dropped_, "}\n")))
			dropped_ = 0;
		if (dropped_ > 0 || !try_write(line))
			++dropped_;
	}
}
