// SPDX-License-Identifier: MIT
#include "hostile_clients.hpp"

#include <trailjunction/core/clock.hpp>
#include <trailjunction/net/coroutines.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/resource.h>

namespace trailjunction::testkit
{
	namespace asio = boost::asio;
	using asio::ip::tcp;

	namespace
	{
		constexpr auto observe_interval = millis{20};
		/// A peer that has read nothing for so long has stopped reading.
		constexpr auto stall_time = millis{4'000};
		constexpr std::size_t request_bytes = 4 * kib; // of a read; the requests of the tests are smaller

		/// Repeats a text up to the size of one write.
		std::string block_of(const hostile_stream& stream)
		{
			std::string out;
			while (!stream.repeated.empty() && out.size() < stream.write_bytes)
				out += stream.repeated;
			return out;
		}

		/// Sends a stream.
		/// \param sent Is raised by the number of bytes that were sent.
		/// \returns Whether all of it was sent.
		asio::awaitable<bool> send_stream(asio::io_context& io, tcp::socket& socket, const hostile_stream& stream,
										  std::size_t& sent)
		{
			auto [opening_error, opening_bytes] =
				co_await asio::async_write(socket, asio::buffer(stream.opening), as_result);
			sent += opening_bytes;
			if (opening_error)
				co_return false;
			const auto block = block_of(stream);
			std::size_t offset = 0;
			for (auto left = stream.repeated_bytes; left > 0;)
			{
				const auto size = std::min({left, stream.write_bytes, block.size() - offset});
				auto [error, bytes] =
					co_await socket.async_write_some(asio::buffer(block.data() + offset, size), as_result);
				sent += bytes;
				if (error)
					co_return false;
				left -= bytes;
				offset = (offset + bytes) % block.size();
				if (stream.interval > millis{0})
					co_await pause_for(io, stream.interval);
			}
			co_return true;
		}

		/// The form of an address in `/proc/net/tcp`: both numbers in hexadecimal, the address in host byte order.
		std::string proc_address(const endpoint& address)
		{
			const auto ip = htonl(address.address().to_v4().to_uint());
			return absl::StrFormat("%08X:%04X", ip, address.port());
		}

		/// Bytes that have arrived on the connections to a listener and were not read, plus the number of connections
		/// that were not accepted.
		std::size_t received_unread(const endpoint& listener)
		{
			const auto address = proc_address(listener);
			std::size_t out = 0;
			std::ifstream table{"/proc/net/tcp"};
			for (std::string line; std::getline(table, line);)
			{
				std::istringstream fields{line};
				std::string number;
				std::string local;
				std::string remote;
				std::string state;
				std::string queues; // sent:received, in hexadecimal
				if (fields >> number >> local >> remote >> state >> queues && local == address)
					out += std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
			}
			return out;
		}
	}

	bool allow_descriptors(std::size_t count)
	{
		rlimit limit{};
		if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
			return false;
		if (limit.rlim_cur >= count)
			return true;
		limit.rlim_cur = std::min<rlim_t>(count, limit.rlim_max);
		return setrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur >= count;
	}

	void process_usage::observe(pid_t process)
	{
		const auto directory = absl::StrCat("/proc/", process);
		std::ifstream status{directory + "/status"};
		for (std::string word; status >> word;)
		{
			std::size_t kibibytes{};
			if (word == "VmHWM:" && status >> kibibytes)
				memory_bytes = std::max(memory_bytes, kibibytes * kib);
		}
		std::error_code ignored;
		std::size_t open = 0;
		for (std::filesystem::directory_iterator entry{directory + "/fd", ignored}, end; entry != end;
			 entry.increment(ignored))
			++open;
		descriptors = std::max(descriptors, open);
	}

	hostile_crowd::hostile_crowd(endpoint target, std::size_t connections, hostile_stream stream)
		: target_{std::move(target)},
		  stream_{std::move(stream)}
	{
		for (std::size_t i = 0; i < connections; ++i)
			sockets_.emplace_back(io_);
	}

	hostile_crowd::~hostile_crowd()
	{
		close();
	}

	asio::awaitable<void> hostile_crowd::serve(tcp::socket& socket)
	{
		auto [error] = co_await socket.async_connect(target_, as_result);
		if (!error)
		{
			++connected_;
			(void)co_await send_stream(io_, socket, stream_, bytes_sent_);
		}
		--active_;
	}

	void hostile_crowd::run(const std::function<void()>& observe)
	{
		for (auto& socket : sockets_)
		{
			++active_;
			asio::co_spawn(io_, serve(socket), asio::detached);
		}
		auto last_progress = std::pair{bytes_sent_, received_unread(target_)};
		auto last_change = boottime_now();
		while (boottime_now() - last_change < stall_time)
		{
			io_.restart();
			io_.run_for(observe_interval);
			observe();
			const auto progress = std::pair{bytes_sent_, received_unread(target_)};
			if (progress != last_progress)
				last_change = boottime_now();
			last_progress = progress;
			if (active_ == 0 && progress.second == 0)
				break;
		}
		unread_bytes_ = last_progress.second;
		observe();
	}

	void hostile_crowd::close()
	{
		for (auto& socket : sockets_)
		{
			boost::system::error_code ignored;
			socket.close(ignored);
		}
		io_.restart();
		io_.run();
	}

	hostile_server::hostile_server(int responses, hostile_stream stream)
		: acceptor_{io_, endpoint{asio::ip::address_v4::loopback(), 0}},
		  stream_{std::move(stream)},
		  responses_left_{responses}
	{
	}

	endpoint hostile_server::address() const
	{
		return acceptor_.local_endpoint();
	}

	asio::awaitable<void> hostile_server::accept_loop()
	{
		while (true)
		{
			auto [error, socket] = co_await acceptor_.async_accept(as_result);
			if (error)
				co_return;
			if (responses_left_ == 0)
				continue;
			--responses_left_;
			++responses_open_;
			asio::co_spawn(io_, respond(std::move(socket)), asio::detached);
		}
	}

	asio::awaitable<void> hostile_server::respond(tcp::socket socket)
	{
		std::string request(request_bytes, '\0');
		auto [error, bytes] = co_await socket.async_read_some(asio::buffer(request), as_result);
		if (!error)
			(void)co_await send_stream(io_, socket, stream_, bytes_sent_);
		--responses_open_;
	}

	bool hostile_server::run(const std::function<void()>& observe, millis timeout)
	{
		asio::co_spawn(io_, accept_loop(), asio::detached);
		const auto until = boottime_now() + timeout;
		const auto finished = [this]
		{
			return responses_left_ == 0 && responses_open_ == 0;
		};
		while (!finished() && boottime_now() < until)
		{
			io_.run_for(observe_interval);
			observe();
		}
		observe();
		return finished();
	}
}
