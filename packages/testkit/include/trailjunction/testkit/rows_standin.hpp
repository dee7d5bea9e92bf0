// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Stand-in for the users' store over HTTP, as their PROTOCOL page specifies it.
#pragma once

#include "memory_store.hpp"

#include <trailjunction/net/http_server.hpp>

#include <boost/asio/io_context.hpp>

namespace trailjunction::testkit
{
	/// \brief Serves the rows of a memory_store. Faults are injected through memory_store::faults.
	class rows_standin
	{
	public:
		explicit rows_standin(boost::asio::io_context& io);

		/// \brief Binds to a port that the kernel picks.
		[[nodiscard]] endpoint listen();

		memory_store store;

	private:
		boost::asio::awaitable<http_response> answer(http_request request);
		boost::asio::awaitable<http_response> answer_change(const http_request& request);
		boost::asio::awaitable<http_response> answer_range(const http_request& request);
		boost::asio::awaitable<http_response> answer_feed(const http_request& request);

		http_server server_;
	};
}
