// SPDX-License-Identifier: MIT
/// \file
/// \brief Peers that ignore every limit, over raw sockets, and what a process uses while it serves them.
#pragma once

#include <trailjunction/core/units.hpp>
#include <trailjunction/net/endpoint.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <list>
#include <string>
#include <sys/types.h>

namespace trailjunction::testkit
{
	inline constexpr std::size_t kib = 1024;
	inline constexpr std::size_t mib = 1024 * kib;

	/// \brief Raises the soft limit of open descriptors of this process and of those that it starts from now on.
	/// \returns Whether at least \p count are allowed.
	[[nodiscard]] bool allow_descriptors(std::size_t count);

	/// \brief The most that a process has used, as `/proc` shows it; 0 after the process has exited.
	struct process_usage
	{
		std::size_t memory_bytes{}; ///< Resident memory, the highest value since the process was started.
		std::size_t descriptors{};  ///< Open descriptors, the highest value that was observed.

		/// \brief Raises the values to the present ones of a process.
		void observe(pid_t process);
	};

	/// \brief What a hostile peer sends on one connection.
	struct hostile_stream
	{
		std::string opening;
		std::string repeated;                 ///< Sent over and over after the opening.
		std::size_t repeated_bytes{};         ///< Total size of the repetitions; the last one may be cut short.
		std::size_t write_bytes{64 * kib};    ///< Size of one write.
		std::chrono::milliseconds interval{}; ///< Pause after each write of repetitions.
	};

	/// \brief Connections that send the same stream and never read.
	/// \details They stay open after the stream has been sent, until close() or the destructor. A connection that is
	/// refused or closed by the peer is not replaced.
	class hostile_crowd
	{
	public:
		hostile_crowd(endpoint target, std::size_t connections, hostile_stream stream);
		~hostile_crowd();
		hostile_crowd(const hostile_crowd&) = delete;
		hostile_crowd& operator=(const hostile_crowd&) = delete;

		/// \brief Connects and sends until every stream has been read or was closed by the peer, or until the peer has
		/// read nothing from any connection for a while.
		/// \param observe Called at short intervals and at the end.
		void run(const std::function<void()>& observe);
		void close();

		/// \brief Number of connections that the peer's kernel has accepted.
		[[nodiscard]] std::size_t connected() const noexcept
		{
			return connected_;
		}
		[[nodiscard]] std::size_t bytes_sent() const noexcept
		{
			return bytes_sent_;
		}
		/// \brief Bytes that the peer had not read at the end of run().
		[[nodiscard]] std::size_t unread_bytes() const noexcept
		{
			return unread_bytes_;
		}

	private:
		[[nodiscard]] boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket& socket);

		boost::asio::io_context io_{1};
		endpoint target_;
		hostile_stream stream_;
		std::list<boost::asio::ip::tcp::socket> sockets_;
		std::size_t active_{};
		std::size_t connected_{};
		std::size_t bytes_sent_{};
		std::size_t unread_bytes_{};
	};

	/// \brief A server that answers a fixed number of requests with a hostile stream, one a connection, and closes all
	/// further connections.
	class hostile_server
	{
	public:
		hostile_server(int responses, hostile_stream stream);

		[[nodiscard]] endpoint address() const;

		/// \brief Runs until the given number of responses has been sent or was cut short by the client.
		/// \param timeout The longest time, for clients that send no request.
		/// \returns Whether all of them were begun and ended in time.
		[[nodiscard]] bool run(const std::function<void()>& observe, millis timeout);

	private:
		[[nodiscard]] boost::asio::awaitable<void> accept_loop();
		[[nodiscard]] boost::asio::awaitable<void> respond(boost::asio::ip::tcp::socket socket);

		boost::asio::io_context io_{1};
		boost::asio::ip::tcp::acceptor acceptor_;
		hostile_stream stream_;
		int responses_left_;
		int responses_open_{};
		std::size_t bytes_sent_{};
	};
}
