// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Helpers for Asio coroutines.
#pragma once

#include <trailjunction/core/units.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace trailjunction
{
	/// \brief Completion token that makes an operation return its error code as a value instead of throwing.
	inline constexpr auto as_result = boost::asio::experimental::as_tuple(boost::asio::use_awaitable);

	/// \brief Suspends the calling coroutine for \p duration.
	[[nodiscard]] inline boost::asio::awaitable<void> pause_for(boost::asio::io_context& io, micros duration)
	{
		boost::asio::steady_timer timer{io, duration};
		(void)co_await timer.async_wait(as_result);
	}
}
