// SPDX-License-Identifier: MIT
#include <trailjunction/core/json.hpp>
#include <trailjunction/core/random.hpp>
#include <trailjunction/entry/query_client.hpp>
#include <trailjunction/net/http_client.hpp>
#include <trailjunction/query.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <iostream>

namespace trailjunction
{
	namespace
	{
		constexpr auto answer_timeout = std::chrono::seconds{10};
		constexpr int max_tries = 3;

		/// Retries the command under the same id while its outcome is unknown; the entry applies it only once.
		boost::asio::awaitable<void> send_command(boost::asio::io_context& io, endpoint entry, std::string body,
												  http_result& out)
		{
			http_client client{io, entry, 1};
			for (int i = 0; i < max_tries; ++i)
			{
				http_request request{"POST", "/v1/command", {{"Content-Type", "application/json"}}, body};
				out = co_await client.send(std::move(request), boottime_now() + answer_timeout);
				if (out.delivery == delivery_status::answered && out.response.status != 504)
					co_return;
			}
		}

		void print_answer(const boost::json::object& answer)
		{
			if (const auto* table = answer.if_contains("table"); table != nullptr && table->is_object())
				std::cout << render(table_from_json(table->get_object()));
			const auto message = text_or(answer, "message");
			if (!message.empty())
				std::cout << message << "\n";
		}
	}

	exit_code run_query(const endpoint& entry, const std::string& command, output_format format)
	{
		if (const auto parsed = parse_command(command); !parsed.ok())
		{
			std::cerr << parsed.status().message() << "\n";
			return exit_code::usage;
		}
		boost::json::object body;
		body["command"] = command;
		body["id"] = random_token();
		boost::asio::io_context io;
		http_result result;
		boost::asio::co_spawn(io, send_command(io, entry, boost::json::serialize(body), result), boost::asio::detached);
		io.run();
		if (result.delivery != delivery_status::answered)
		{
			std::cerr << "no response from " << to_string(entry) << ": " << result.status.message() << "\n";
			return exit_code::unreachable;
		}
		const auto answer = parse_json(result.response.body);
		const auto* object = answer.ok() ? answer->if_object() : nullptr;
		if (object == nullptr)
		{
			std::cerr << to_string(entry) << " sent a response that is not from an entry\n";
			return exit_code::unreachable;
		}
		if (result.response.status != 200)
		{
			std::cerr << text_or(*object, "error") << "\n";
			return result.response.status == 400 ? exit_code::usage : exit_code::failed;
		}
		if (format == output_format::json)
			std::cout << boost::json::serialize(*object) << "\n";
		else
			print_answer(*object);
		return exit_code::ok;
	}
}
