// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief A stand-in for an upstream.
#pragma once

#include <trailjunction/core/units.hpp>
#include <trailjunction/net/http_server.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace trailjunction::testkit
{
	/// \brief How the upstream behaves now.
	struct upstream_behaviour
	{
		millis work{1};             ///< Of a request that names none by `?ms=`.
		double slowdown{1};         ///< On all of them.
		bool hang{};                ///< Never answers.
		bool fail{};                ///< Answers 500 at once.
		bool cut_answer{};          ///< Runs, then closes without an answer.
		std::size_t answer_bytes{}; ///< Filled up to so many bytes.
	};

	/// \brief Answers `JOB path body` after the time that is asked for, and journals every execution.
	class upstream_standin
	{
	public:
		explicit upstream_standin(boost::asio::io_context& io);

		/// \brief Binds to a port that the kernel picks.
		[[nodiscard]] endpoint listen();

		[[nodiscard]] upstream_behaviour& behaviour() noexcept
		{
			return behaviour_;
		}
		/// \brief The `X-Job` of each request that was begun, in order.
		[[nodiscard]] const std::vector<std::string>& journal() const noexcept
		{
			return journal_;
		}
		/// \brief Requests that run now, and the most that ever ran at a time.
		[[nodiscard]] std::int64_t running() const noexcept
		{
			return running_;
		}
		[[nodiscard]] std::int64_t most_running() const noexcept
		{
			return most_running_;
		}

	private:
		boost::asio::awaitable<http_response> answer(http_request request);

		boost::asio::io_context& io_;
		http_server server_;
		upstream_behaviour behaviour_;
		std::vector<std::string> journal_;
		std::int64_t running_{};
		std::int64_t most_running_{};
	};
}
