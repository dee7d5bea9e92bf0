// SPDX-License-Identifier: MIT
#include <trailjunction/net/coroutines.hpp>
#include <trailjunction/testkit/fault_proxy.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <deque>
#include <string>

namespace trailjunction::testkit
{
	namespace asio = boost::asio;
	using tcp = asio::ip::tcp;

	namespace
	{
		constexpr std::size_t read_bytes = std::size_t{64} * 1024;
		constexpr auto hold_poll_interval = millis{5};
		constexpr std::size_t max_queued_chunks = 4'096;

		/// Data in transit, with the time of its delivery.
		struct chunk
		{
			instant due{};
			std::string data;
		};

		/// One direction of a connection. A reader fills the queue and a writer empties it, so the delays of successive
		/// chunks don't add up.
		struct delay_queue
		{
			explicit delay_queue(asio::io_context& io) : timer{io} {}
			std::deque<chunk> chunks;
			bool closed{};
			asio::steady_timer timer;
		};
	}

	struct fault_proxy::connection
	{
		explicit connection(asio::io_context& io, tcp::socket accepted)
			: client_socket{std::move(accepted)},
			  target_socket{io},
			  faults{}
		{
		}
		void close()
		{
			boost::system::error_code ignored;
			client_socket.close(ignored);
			target_socket.close(ignored);
		}
		tcp::socket client_socket;
		tcp::socket target_socket;
		std::shared_ptr<proxy_faults> faults;
		std::int64_t response_bytes{};
		bool blackholed{}; ///< No data passes until the connection is closed.
	};

	namespace
	{
		/// Writes a chunk, or the part of it within proxy_faults::close_after_bytes. \returns Whether the connection
		/// stays open.
		template <typename Connection>
		asio::awaitable<bool> write_chunk(std::shared_ptr<Connection> conn, bool is_response, std::string data)
		{
			auto& to = is_response ? conn->client_socket : conn->target_socket;
			bool cut = false;
			if (is_response && conn->faults->close_after_bytes >= 0)
			{
				const auto left = std::max<std::int64_t>(0, conn->faults->close_after_bytes - conn->response_bytes);
				cut = static_cast<std::int64_t>(data.size()) >= left;
				data.resize(std::min(data.size(), static_cast<std::size_t>(left)));
			}
			auto [error, written] = co_await asio::async_write(to, asio::buffer(data), as_result);
			conn->response_bytes += is_response ? static_cast<std::int64_t>(data.size()) : 0;
			co_return !error && !cut;
		}

		template <typename Connection>
		asio::awaitable<void> write_due(asio::io_context& io, std::shared_ptr<Connection> conn, bool is_response,
										std::shared_ptr<delay_queue> from)
		{
			auto& to = is_response ? conn->client_socket : conn->target_socket;
			while (to.is_open() && !(from->chunks.empty() && from->closed))
			{
				const bool held =
					conn->blackholed || conn->faults->hold_all || (is_response && conn->faults->hold_responses);
				const auto at = boottime_now();
				if (held)
					co_await pause_for(io, hold_poll_interval);
				else if (from->chunks.empty() || from->chunks.front().due > at)
				{
					from->timer.expires_at(
						to_steady_time(from->chunks.empty() ? at + std::chrono::hours{1} : from->chunks.front().due));
					(void)co_await from->timer.async_wait(as_result);
				}
				else
				{
					auto data = std::move(from->chunks.front().data);
					from->chunks.pop_front();
					const bool written = co_await write_chunk(conn, is_response, std::move(data));
					if (!written)
						break;
				}
			}
			conn->close();
		}

		template <typename Connection>
		asio::awaitable<void> pump(asio::io_context& io, std::shared_ptr<Connection> conn, bool is_response)
		{
			auto to = std::make_shared<delay_queue>(io);
			asio::co_spawn(io, write_due(io, conn, is_response, to), asio::detached);
			auto& from = is_response ? conn->target_socket : conn->client_socket;
			std::string buffer(read_bytes, '\0');
			while (from.is_open())
			{
				auto [error, bytes] = co_await from.async_read_some(asio::buffer(buffer), as_result);
				if (error)
					break;
				to->chunks.push_back({boottime_now() + conn->faults->delay, buffer.substr(0, bytes)});
				to->timer.cancel();
				while (to->chunks.size() > max_queued_chunks)
					co_await pause_for(io, hold_poll_interval);
			}
			to->closed = true;
			to->timer.cancel();
		}
	}

	fault_proxy::fault_proxy(asio::io_context& io, endpoint target)
		: io_{io},
		  target_{std::move(target)},
		  acceptor_{io},
		  faults_{std::make_shared<proxy_faults>()}
	{
	}

	endpoint fault_proxy::listen()
	{
		acceptor_ = tcp::acceptor{io_, *parse_endpoint("127.0.0.1:0")};
		asio::co_spawn(io_, accept(), asio::detached);
		return acceptor_.local_endpoint();
	}

	void fault_proxy::close_connections()
	{
		for (const auto& weak : connections_)
			if (const auto conn = weak.lock())
				conn->close();
		connections_.clear();
	}

	void fault_proxy::blackhole_connections()
	{
		for (const auto& weak : connections_)
			if (const auto conn = weak.lock())
				conn->blackholed = true;
	}

	std::size_t fault_proxy::forwarding_connections() const
	{
		std::size_t out = 0;
		for (const auto& weak : connections_)
			if (const auto conn = weak.lock(); conn && !conn->blackholed && conn->target_socket.is_open())
				++out;
		return out;
	}

	asio::awaitable<void> fault_proxy::accept()
	{
		while (acceptor_.is_open())
		{
			auto [error, socket] = co_await acceptor_.async_accept(as_result);
			if (error || faults_->refuse_connections)
				continue;
			boost::system::error_code ignored;
			socket.set_option(tcp::no_delay{true}, ignored);
			auto conn = std::make_shared<connection>(io_, std::move(socket));
			conn->faults = faults_;
			std::erase_if(connections_, [](const auto& weak) { return weak.expired(); });
			connections_.push_back(conn);
			asio::co_spawn(io_, serve(std::move(conn)), asio::detached);
		}
	}

	asio::awaitable<void> fault_proxy::serve(std::shared_ptr<connection> conn)
	{
		while (faults_->hold_all && conn->client_socket.is_open())
			co_await pause_for(io_, hold_poll_interval);
		auto [error] = co_await conn->target_socket.async_connect(target_, as_result);
		if (error)
		{
			conn->close();
			co_return;
		}
		boost::system::error_code ignored;
		conn->target_socket.set_option(tcp::no_delay{true}, ignored);
		asio::co_spawn(io_, pump(io_, conn, false), asio::detached);
		asio::co_spawn(io_, pump(io_, conn, true), asio::detached);
	}
}
