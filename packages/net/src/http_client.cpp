// SPDX-License-Identifier: MIT
#include "impl/beast_convert.hpp"

#include <trailjunction/net/coroutines.hpp>
#include <trailjunction/net/http_client.hpp>

#include <absl/strings/str_cat.h>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <vector>

namespace trailjunction
{
	namespace asio = boost::asio;
	namespace beast = boost::beast;
	namespace http = boost::beast::http;

	struct http_client::shared_state
	{
		asio::io_context& io;
		endpoint remote;
		std::size_t max_idle_connections;
		std::size_t max_body_bytes;
		std::string host;
		std::vector<std::unique_ptr<beast::tcp_stream>> idle;
	};

	namespace
	{
		/// What a response may hold besides its body: a header, a chunk extension or trailers.
		constexpr std::size_t max_read_buffer_bytes = std::size_t{64} * 1024;

		/// A refused connection proves that no process listens there; any other failure proves nothing.
		http_result connect_failure(const std::string& host, const beast::error_code& error)
		{
			const bool refused = error == asio::error::connection_refused;
			return {delivery_status::not_sent,
					absl::UnavailableError(absl::StrCat(host, ": ", error.message())),
					{},
					refused};
		}

		/// Whether the peer has closed an idle connection, or has sent unsolicited data on it.
		bool is_stale(beast::tcp_stream& stream)
		{
			auto& socket = stream.socket();
			beast::error_code error;
			socket.non_blocking(true, error);
			char byte{};
			socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
			return error != asio::error::would_block;
		}

		/// Takes the most recently used pooled connection that is not stale; nullptr if there is none.
		template <typename State>
		std::unique_ptr<beast::tcp_stream> take_idle(State& state)
		{
			while (!state.idle.empty())
			{
				auto stream = std::move(state.idle.back());
				state.idle.pop_back();
				if (!is_stale(*stream))
					return stream;
			}
			return nullptr;
		}

		/// Closes all idle connections after a pooled one has timed out. Whatever made it stop passing data has
		/// probably affected the idle ones too. Closing a working connection costs one handshake; keeping a dead one
		/// costs a request its whole timeout.
		template <typename State>
		void drop_idle_after_timeout(State& state, bool pooled, const beast::error_code& error)
		{
			if (pooled && error == beast::error::timeout)
				state.idle.clear();
		}
	}

	http_client::http_client(asio::io_context& io, endpoint remote, std::size_t max_idle_connections,
							 std::size_t max_body_bytes)
		: state_{std::make_shared<shared_state>(
			  shared_state{io, remote, max_idle_connections, max_body_bytes, to_string(remote), {}})}
	{
	}

	http_client::~http_client() = default;

	const endpoint& http_client::remote_endpoint() const noexcept
	{
		return state_->remote;
	}

	asio::awaitable<http_result> http_client::send(http_request request, instant deadline, connection_choice choice)
	{
		const auto state = state_;
		auto stream = take_idle(*state);
		const bool pooled = stream != nullptr;
		if (!pooled && choice == connection_choice::open_only)
			co_return http_result{delivery_status::not_sent,
								  absl::UnavailableError(absl::StrCat(state->host, ": no open connection")),
								  {}};
		if (!pooled)
		{
			stream = std::make_unique<beast::tcp_stream>(state->io);
			stream->expires_at(to_steady_time(deadline));
			auto [error] = co_await stream->async_connect(state->remote, as_result);
			if (error)
				co_return connect_failure(state->host, error);
			beast::error_code ignored;
			stream->socket().set_option(asio::ip::tcp::no_delay{true}, ignored);
		}
		auto message = impl::to_beast(request, state->host);
		stream->expires_at(to_steady_time(deadline));
		auto [write_error, written] = co_await http::async_write(*stream, message, as_result);
		drop_idle_after_timeout(*state, pooled, write_error);
		if (write_error)
			co_return http_result{written == 0 ? delivery_status::not_sent : delivery_status::unknown,
								  absl::UnavailableError(absl::StrCat(state->host, ": ", write_error.message())),
								  {}};
		beast::flat_buffer buffer{max_read_buffer_bytes};
		http::response_parser<http::string_body> parser;
		parser.body_limit(state->max_body_bytes);
		parser.skip(request.method == "HEAD");
		auto [read_error, read] = co_await http::async_read(*stream, buffer, parser, as_result);
		drop_idle_after_timeout(*state, pooled, read_error);
		if (read_error)
		{
			const auto text = absl::StrCat(state->host, ": ", read_error.message());
			const auto status =
				read_error == beast::error::timeout ? absl::DeadlineExceededError(text) : absl::UnavailableError(text);
			co_return http_result{delivery_status::unknown, status, {}};
		}
		const bool reusable = parser.get().keep_alive();
		http_result result{delivery_status::answered, absl::OkStatus(), impl::from_beast(parser.release())};
		if (reusable && state->idle.size() < state->max_idle_connections)
			state->idle.push_back(std::move(stream));
		co_return result;
	}
}
