// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief A connection that carries envelopes.
#pragma once

#include "frame.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace trailjunction
{
	/// \brief What one link may cost at the most.
	struct link_limits
	{
		std::size_t frame_bytes{4 * 1024 * 1024};    ///< A larger frame closes the link.
		std::size_t pending_bytes{16 * 1024 * 1024}; ///< More than this waiting to be sent refuses further messages.
		std::chrono::milliseconds silence{5'000};    ///< No byte received for so long closes the link.
	};

	/// \brief One TCP connection between an entry and an agent.
	/// \details Lives on one io_context. Messages are numbered from 1 in the order of send(); after the link has
	/// closed, handed_over() tells which of them may have left this process, and which certainly have not.
	class link : public std::enable_shared_from_this<link>
	{
	public:
		using message_handler = std::function<void(wire::envelope&&)>;
		using close_handler = std::function<void(const std::string& reason)>;

		link(boost::asio::ip::tcp::socket socket, link_limits limits);

		/// \brief Starts to read; \p on_close is called exactly once.
		void start(message_handler on_message, close_handler on_close);

		/// \brief Queues a message.
		/// \returns Its number, or 0 where the link is closed or full: then it was certainly not sent.
		[[nodiscard]] std::uint64_t send(const wire::envelope& message);

		/// \brief Messages with a larger number than this were certainly never sent.
		[[nodiscard]] std::uint64_t handed_over() const noexcept
		{
			return handed_over_;
		}
		[[nodiscard]] bool is_open() const noexcept
		{
			return open_;
		}
		[[nodiscard]] std::size_t pending_bytes() const noexcept
		{
			return pending_.size() + writing_.size();
		}
		[[nodiscard]] std::uint64_t bytes_sent() const noexcept
		{
			return bytes_sent_;
		}
		[[nodiscard]] std::uint64_t bytes_received() const noexcept
		{
			return bytes_received_;
		}

		/// \brief Closes the link and tells the close handler.
		void close(const std::string& reason);

	private:
		void flush();
		void read_more();
		[[nodiscard]] bool read_ready();
		[[nodiscard]] bool take_frames();
		void watch_silence();

		boost::asio::ip::tcp::socket socket_;
		boost::asio::steady_timer silence_;
		link_limits limits_;
		message_handler on_message_;
		close_handler on_close_;
		std::string pending_;
		std::string writing_;
		std::string received_;
		std::uint64_t queued_{};
		std::uint64_t handed_over_{};
		std::uint64_t bytes_sent_{};
		std::uint64_t bytes_received_{};
		std::uint64_t watched_bytes_{};
		bool open_{true};
		bool flush_posted_{};
	};
}
