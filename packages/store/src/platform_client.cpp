// SPDX-License-Identifier: MIT
#include <trailjunction/core/event.hpp>
#include <trailjunction/core/json.hpp>
#include <trailjunction/core/json_list.hpp>
#include <trailjunction/net/coroutines.hpp>
#include <trailjunction/store/platform_client.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>

#include <algorithm>
#include <utility>

namespace trailjunction
{
	namespace asio = boost::asio;

	namespace
	{
		constexpr auto attempt_timeout = millis{1500}; ///< Of one attempt; then put() reads the row back.
		constexpr auto min_backoff = millis{20};       ///< Between attempts, doubled up to max_backoff.
		constexpr auto max_backoff = millis{500};
		constexpr std::size_t max_idle_connections = 8;
		constexpr std::size_t max_response_bytes = std::size_t{256} * 1024 * 1024;
		constexpr std::string_view row_path = "/v1/table/rows/";

		bool succeeded(const http_result& result)
		{
			return result.delivery == delivery_status::answered && result.response.status == 200;
		}

		absl::Status to_status(const http_result& result)
		{
			if (result.delivery != delivery_status::answered)
				return result.status;
			return absl::UnavailableError(
				absl::StrCat("platform answered ", result.response.status, ": ", result.response.body));
		}

		/// Splits a stored value, which has the format `token newline data`.
		void split_value(table_row& row, std::string_view value)
		{
			const auto end = value.find('\n');
			row.token = value.substr(0, end);
			row.data = end == std::string_view::npos ? "" : value.substr(end + 1);
		}

		table_row row_of(const std::string& key, const http_response& response)
		{
			table_row row{key, "", "", 0};
			if (!absl::SimpleAtoi(std::string{find_header(response.headers, "Row-Version")}, &row.version))
				row.version = 0;
			if (row.version != 0)
				split_value(row, response.body);
			return row;
		}

		void count_unreadable(json_list& list, const absl::Status& error)
		{
			if (list.unreadable++ == 0)
				list.error = error;
		}

		absl::StatusOr<instance> instance_of(const boost::json::value& value)
		{
			const auto* object = value.if_object();
			if (object == nullptr)
				return absl::InvalidArgumentError("an instance is not an object");
			const auto requests = parse_remote_endpoint(text_or(*object, "requests"));
			const auto control = parse_remote_endpoint(text_or(*object, "control"));
			if (!requests.ok() || !control.ok())
				return absl::InvalidArgumentError("an instance lacks a valid address");
			return instance{worker_id{text_or(*object, "worker")},
							data_centre_id{text_or(*object, "data_centre")},
							rack_id{text_or(*object, "rack")},
							*requests,
							*control,
							text_or(*object, "state") == "leaving"};
		}
	}

	platform_client::platform_client(asio::io_context& io, endpoint remote)
		: io_{io},
		  client_{io, remote, max_idle_connections, max_response_bytes}
	{
	}

	asio::awaitable<http_result> platform_client::call(http_request request, instant deadline)
	{
		auto result = co_await client_.send(std::move(request), std::min(deadline, boottime_now() + attempt_timeout));
		const bool answered = result.delivery == delivery_status::answered && result.response.status < 500;
		if (!answered)
			++counts_.failures;
		if (answered != reachable_)
			log_event(
				answered ? event::platform_back : event::platform_unreachable,
				{{"platform", to_string(client_.remote_endpoint())}, {"reason", std::string{result.status.message()}}});
		reachable_ = answered;
		co_return result;
	}

	asio::awaitable<absl::StatusOr<table_row>> platform_client::get(std::string key, instant deadline)
	{
		++counts_.reads;
		http_request request{"GET", absl::StrCat(std::string{row_path}, percent_encode(key)), {}, ""};
		const auto result = co_await call(std::move(request), deadline);
		if (!succeeded(result))
			co_return to_status(result);
		co_return row_of(key, result.response);
	}

	asio::awaitable<absl::StatusOr<std::vector<table_row>>> platform_client::scan(std::string prefix, instant deadline)
	{
		++counts_.reads;
		http_request request{"GET", absl::StrCat("/v1/table/scan?prefix=", percent_encode(prefix)), {}, ""};
		const auto result = co_await call(std::move(request), deadline);
		if (!succeeded(result))
			co_return to_status(result);
		auto list = parse_json_list(result.response.body);
		if (!list.ok())
			co_return absl::InternalError("the table service did not return a list");
		std::vector<table_row> rows;
		for (const auto& item : list->entries)
		{
			const auto* object = item.if_object();
			if (object == nullptr)
			{
				count_unreadable(*list, absl::InvalidArgumentError("a row is not an object"));
				continue;
			}
			table_row row{text_or(*object, "key"), "", "", number_or(*object, "version")};
			split_value(row, text_or(*object, "value"));
			rows.push_back(std::move(row));
		}
		note_unreadable(prefix, *list);
		co_return rows;
	}

	asio::awaitable<write_result> platform_client::put_once(const std::string& key, const std::string& data,
															std::int64_t expected_version, const std::string& token,
															instant deadline)
	{
		++counts_.writes;
		http_request request{"PUT",
							 absl::StrCat(std::string{row_path}, percent_encode(key), "?if_version=", expected_version),
							 {},
							 absl::StrCat(token, "\n", data)};
		const auto result = co_await call(std::move(request), deadline);
		if (result.delivery == delivery_status::not_sent)
			co_return write_result{write_outcome::refused, {}};
		if (result.delivery == delivery_status::unknown)
			co_return write_result{write_outcome::unknown, {}};
		if (result.response.status == 200)
			co_return write_result{write_outcome::applied, {key, data, token, expected_version + 1}};
		if (result.response.status == 409)
		{
			auto row = row_of(key, result.response);
			const auto outcome = row.token == token ? write_outcome::applied : write_outcome::conflict;
			co_return write_result{outcome, std::move(row)};
		}
		co_return write_result{result.response.status == 429 || result.response.status == 503 ? write_outcome::refused
																							  : write_outcome::unknown,
							   {}};
	}

	asio::awaitable<write_result> platform_client::put(std::string key, std::string data, std::int64_t expected_version,
													   std::string token, instant deadline)
	{
		bool in_doubt = false; // an earlier attempt may have taken effect, or may still do so
		auto backoff = min_backoff;
		while (true)
		{
			auto attempt = co_await put_once(key, data, expected_version, token, deadline);
			if (attempt.outcome == write_outcome::applied || attempt.outcome == write_outcome::conflict)
			{
				if (in_doubt && attempt.outcome == write_outcome::applied)
				{
					++counts_.resolved_writes;
					log_event(event::write_resolved, {{"key", key}});
				}
				// An earlier attempt may have taken effect and been replaced since.
				if (in_doubt && attempt.outcome == write_outcome::conflict &&
					attempt.row.version > expected_version + 1)
					attempt.outcome = write_outcome::unknown;
				co_return attempt;
			}
			in_doubt = in_doubt || attempt.outcome == write_outcome::unknown;
			if (boottime_now() + backoff >= deadline)
				co_return write_result{in_doubt ? write_outcome::unknown : write_outcome::refused, {}};
			asio::steady_timer pause{io_, backoff};
			(void)co_await pause.async_wait(as_result);
			backoff = std::min(backoff * 2, max_backoff);
			if (!in_doubt)
				continue;
			// Reads before the write is retried, since writes are rate-limited and reads are cheap.
			const auto row = co_await get(key, deadline);
			if (row.ok() && row->token == token)
			{
				++counts_.resolved_writes;
				log_event(event::write_resolved, {{"key", key}});
				co_return write_result{write_outcome::applied, *row};
			}
			if (row.ok() && row->version != expected_version)
				co_return write_result{
					row->version == expected_version + 1 ? write_outcome::conflict : write_outcome::unknown, *row};
		}
	}

	asio::awaitable<absl::Status> platform_client::erase(std::string key, std::int64_t expected_version,
														 instant deadline)
	{
		++counts_.writes;
		http_request request{"DELETE",
							 absl::StrCat(std::string{row_path}, percent_encode(key), "?if_version=", expected_version),
							 {},
							 ""};
		const auto result = co_await call(std::move(request), deadline);
		co_return succeeded(result) ? absl::OkStatus() : to_status(result);
	}

	asio::awaitable<absl::Status> platform_client::put_object(std::string name, std::string data, instant deadline)
	{
		++counts_.writes;
		http_request request{"PUT", absl::StrCat("/v1/objects/", percent_encode(name)), {}, std::move(data)};
		const auto result = co_await call(std::move(request), deadline);
		co_return succeeded(result) ? absl::OkStatus() : to_status(result);
	}

	asio::awaitable<absl::StatusOr<std::string>> platform_client::get_object(std::string name, instant deadline)
	{
		++counts_.reads;
		http_request request{"GET", absl::StrCat("/v1/objects/", percent_encode(name)), {}, ""};
		auto result = co_await call(std::move(request), deadline);
		if (!succeeded(result))
			co_return to_status(result);
		co_return std::move(result.response.body);
	}

	asio::awaitable<absl::StatusOr<std::vector<instance>>> platform_client::instances(instant deadline)
	{
		++counts_.reads;
		// A named variable, because GCC 12 destroys braced arguments of co_await twice.
		http_request request{"GET", "/v1/instances", {}, ""};
		const auto result = co_await call(std::move(request), deadline);
		if (!succeeded(result))
			co_return to_status(result);
		auto list = parse_json_list(result.response.body);
		if (!list.ok())
			co_return absl::InternalError("the platform did not return a list of instances");
		std::vector<instance> instances;
		for (const auto& item : list->entries)
		{
			auto parsed_instance = instance_of(item);
			if (parsed_instance.ok())
				instances.push_back(*std::move(parsed_instance));
			else
				count_unreadable(*list, parsed_instance.status());
		}
		note_unreadable("instances", *list);
		co_return instances;
	}

	void platform_client::note_unreadable(const std::string& name, const json_list& list)
	{
		auto& logged = unreadable_entries_[name];
		if (std::exchange(logged, list.unreadable) != list.unreadable && list.unreadable > 0)
			log_event(event::row_unreadable,
					  {{"list", name}, {"entries", list.unreadable}, {"reason", list.error.ToString()}});
	}
}
