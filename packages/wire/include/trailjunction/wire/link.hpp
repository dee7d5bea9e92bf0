// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief A TCP connection that carries envelopes between an entry and an agent.
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
	/// \brief Resource limits and timeout of one link.
	struct link_limits
	{
		/// Maximum payload of a frame; a larger frame closes the link.
		std::size_t max_frame_bytes{4 * 1024 * 1024};
		/// While more bytes than this are unsent, send() refuses messages.
		std::size_t max_pending_bytes{16 * 1024 * 1024};
		/// The link is closed if no byte arrives during a whole period of this length; periods start with start().
		std::chrono::milliseconds idle_timeout{5'000};
	};

	/// \brief One TCP connection between an entry and an agent.
	/// \details Must be used from one io_context only. Messages are numbered from 1 in the order of send(). After the
	/// link has closed, last_flushed() tells which messages may have been sent and which certainly were not.
	class link : public std::enable_shared_from_this<link>
	{
	public:
		using message_handler = std::function<void(wire::envelope&&)>;
		using close_handler = std::function<void(const std::string& reason)>;

		link(boost::asio::ip::tcp::socket socket, link_limits limits);

		/// \brief Starts reading. \p on_close is called exactly once.
		void start(message_handler on_message, close_handler on_close);

		/// \brief Queues a message.
		/// \returns The number of the message, or 0 if the link is closed or full; the message was then certainly not
		/// sent.
		[[nodiscard]] std::uint64_t send(const wire::envelope& message);

		/// \brief The number of the last message that was handed to the socket; messages with larger numbers were
		/// certainly not sent.
		[[nodiscard]] std::uint64_t last_flushed() const noexcept
		{
			return last_flushed_;
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

		/// \brief Changes the largest frame that is accepted from now on.
		void set_max_frame_bytes(std::size_t bytes) noexcept
		{
			limits_.max_frame_bytes = bytes;
		}

		/// \brief Closes the link and calls the close handler asynchronously.
		void close(const std::string& reason);

	private:
		void flush();
		void await_readable();
		[[nodiscard]] bool read_available();
		[[nodiscard]] bool process_frames();
		void watch_idle();

		boost::asio::ip::tcp::socket socket_;
		boost::asio::steady_timer idle_timer_;
		link_limits limits_;
		message_handler on_message_;
		close_handler on_close_;
		std::string pending_;
		std::string writing_;
		std::string received_;
		std::uint64_t last_queued_{};
		std::uint64_t last_flushed_{};
		std::uint64_t bytes_sent_{};
		std::uint64_t bytes_received_{};
		std::uint64_t last_checked_bytes_{};
		bool open_{true};
		bool flush_posted_{};
	};
}
