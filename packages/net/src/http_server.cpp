// SPDX-License-Identifier: MIT
#include "impl/beast_convert.hpp"
#include "impl/body_budget.hpp"

#include <trailjunction/net/coroutines.hpp>
#include <trailjunction/net/http_server.hpp>
#include <trailjunction/net/listener.hpp>

#include <absl/strings/str_cat.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <optional>
#include <unordered_set>

namespace trailjunction
{
	namespace asio = boost::asio;
	namespace beast = boost::beast;
	namespace http = boost::beast::http;

	struct http_server::shared_state
	{
		asio::io_context& io;
		http_limits limits;
		handler on_request;
		asio::ip::tcp::acceptor acceptor;
		impl::body_budget bodies;
		std::unordered_set<beast::tcp_stream*> idle;
		std::size_t in_flight{};
		std::size_t connections{};
		bool stopping{};
	};

	namespace
	{
		constexpr auto linger_timeout = std::chrono::seconds{1};
		constexpr std::size_t max_linger_bytes = std::size_t{8} * 1024 * 1024;
		constexpr std::size_t linger_chunk_bytes = 4096;
		constexpr auto accept_retry_delay = std::chrono::milliseconds{50};
		constexpr const char* retry_after_s = "1"; // of a request that the budget for bodies does not allow

		/// The status of the response to a request that could not be read; 0 if the connection ended and gets no
		/// response.
		int status_of(const beast::error_code& error)
		{
			// The parser limits headers and bodies only; extensions and trailers fill the read buffer.
			if (error == http::error::header_limit || error == http::error::buffer_overflow)
				return 431;
			if (error == http::error::body_limit)
				return 413;
			if (error == asio::error::no_memory)
				return 503;
			if (error == beast::error::timeout || error == http::error::end_of_stream ||
				error == http::error::partial_message || error.category() == asio::error::get_system_category())
				return 0;
			return 400;
		}
	}

	/// Shuts down sending and discards what the client still sends: closing a socket with unread data would reset the
	/// connection, and the client could lose the response.
	static asio::awaitable<void> linger(beast::tcp_stream& stream)
	{
		beast::error_code ignored;
		stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
		stream.expires_after(linger_timeout);
		std::string scratch(linger_chunk_bytes, '\0');
		for (std::size_t discarded = 0; discarded < max_linger_bytes;)
		{
			auto [error, bytes] = co_await stream.async_read_some(asio::buffer(scratch), as_result);
			if (error)
				break;
			discarded += bytes;
		}
	}

	/// The place of one request in the budget for bodies.
	class budgeted_body
	{
	public:
		budgeted_body(impl::body_budget& budget, beast::tcp_stream& stream)
			: budget_{budget},
			  body_{budget.add([&stream] { stream.cancel(); })}
		{
		}
		~budgeted_body()
		{
			budget_.release(body_);
		}
		budgeted_body(const budgeted_body&) = delete;
		budgeted_body& operator=(const budgeted_body&) = delete;

		void update(std::size_t bytes)
		{
			budget_.update(body_, bytes);
		}
		/// Nothing more is read, so the body cannot be evicted any more.
		void complete() noexcept
		{
			body_->is_complete = true;
		}
		[[nodiscard]] bool is_evicted() const noexcept
		{
			return body_->is_evicted;
		}

	private:
		impl::body_budget& budget_;
		impl::body_budget::handle body_;
	};

	using request_parser = http::request_parser<http::string_body>;

	/// Reads the body whose header has been read.
	/// \returns The error that ended the reading; also set if the body was evicted.
	static asio::awaitable<beast::error_code> read_body(beast::tcp_stream& stream, beast::flat_buffer& buffer,
														request_parser& parser, budgeted_body& body)
	{
		beast::error_code error;
		parser.eager(true);
		while (!error && !parser.is_done())
		{
			auto [read_error, bytes] = co_await http::async_read_some(stream, buffer, parser, as_result);
			error = read_error;
			if (!error && parser.is_done())
				body.complete();
			body.update(parser.get().body().size());
			if (body.is_evicted())
				error = asio::error::no_memory;
		}
		body.complete();
		co_return error;
	}

	/// The response to a request that was not read completely.
	static http_response refusal_of(int status, const beast::error_code& error)
	{
		const bool has_no_room = error == asio::error::no_memory;
		auto out = error_response(status, has_no_room ? "too many request bodies" : error.message());
		out.headers.push_back({"Trailjunction-Outcome", "not-run"});
		if (has_no_room)
			out.headers.push_back({"Retry-After", retry_after_s});
		return out;
	}

	/// Serves one connection: reads and answers its requests in order.
	template <typename State>
	static asio::awaitable<void> serve_connection(std::shared_ptr<State> state, beast::tcp_stream stream)
	{
		beast::flat_buffer buffer{state->limits.max_read_buffer_bytes};
		bool keep_open = true;
		while (keep_open && !state->stopping)
		{
			request_parser parser;
			parser.header_limit(static_cast<std::uint32_t>(state->limits.max_header_bytes));
			parser.body_limit(state->limits.max_body_bytes);
			stream.expires_after(state->limits.header_timeout);
			state->idle.insert(&stream);
			auto [head_error, head_bytes] = co_await http::async_read_header(stream, buffer, parser, as_result);
			state->idle.erase(&stream);
			beast::error_code error = head_error;
			// The parser does not check its limit if the header arrives in one piece.
			if (!error && head_bytes > state->limits.max_header_bytes)
				error = http::error::header_limit;
			std::optional<budgeted_body> body;
			if (!error)
			{
				body.emplace(state->bodies, stream);
				stream.expires_after(state->limits.body_timeout);
				error = co_await read_body(stream, buffer, parser, *body);
			}
			http_response answer;
			if (error)
			{
				const int status = status_of(error);
				if (status == 0)
					break;
				answer = refusal_of(status, error);
				keep_open = false;
			}
			else
			{
				keep_open = parser.get().keep_alive();
				++state->in_flight;
				answer = co_await state->on_request(impl::from_beast(parser.release()));
				--state->in_flight;
				if (answer.status == 0)
					break;
			}
			keep_open = keep_open && !state->stopping;
			auto message = impl::to_beast(std::move(answer), keep_open);
			++state->in_flight;
			stream.expires_after(state->limits.write_timeout);
			auto [write_error, written] = co_await http::async_write(stream, message, as_result);
			--state->in_flight;
			if (write_error)
				break;
		}
		co_await linger(stream);
		--state->connections;
	}

	template <typename State>
	static asio::awaitable<void> accept_connections(std::shared_ptr<State> state)
	{
		while (!state->stopping)
		{
			auto [error, socket] = co_await state->acceptor.async_accept(as_result);
			if (error == asio::error::operation_aborted || !state->acceptor.is_open())
				co_return;
			if (error)
			{
				asio::steady_timer pause{state->io, accept_retry_delay};
				(void)co_await pause.async_wait(as_result);
				continue;
			}
			if (state->connections >= state->limits.max_connections)
				continue;
			beast::error_code ignored;
			socket.set_option(asio::ip::tcp::no_delay{true}, ignored);
			++state->connections;
			asio::co_spawn(state->io, serve_connection(state, beast::tcp_stream{std::move(socket)}), asio::detached);
		}
	}

	http_server::http_server(asio::io_context& io, http_limits limits, handler on_request)
		: state_{std::make_shared<shared_state>(shared_state{io,
															 limits,
															 std::move(on_request),
															 asio::ip::tcp::acceptor{io},
															 impl::body_budget{limits.max_held_body_bytes},
															 {},
															 0,
															 0,
															 false})}
	{
	}

	http_server::~http_server()
	{
		stop();
	}

	absl::StatusOr<endpoint> http_server::listen(const endpoint& address)
	{
		auto& acceptor = state_->acceptor;
		if (auto status = open_listener(acceptor, address); !status.ok())
			return status;
		asio::co_spawn(state_->io, accept_connections(state_), asio::detached);
		return acceptor.local_endpoint();
	}

	void http_server::stop()
	{
		state_->stopping = true;
		beast::error_code ignored;
		state_->acceptor.close(ignored);
		close_idle_connections();
	}

	void http_server::close_idle_connections()
	{
		for (auto* stream : state_->idle)
			stream->cancel();
	}

	std::size_t http_server::in_flight() const noexcept
	{
		return state_->in_flight;
	}

	std::size_t http_server::connections() const noexcept
	{
		return state_->connections;
	}
}
