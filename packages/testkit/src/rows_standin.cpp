// SPDX-License-Identifier: MIT
#include <trailjunction/core/json.hpp>
#include <trailjunction/testkit/rows_standin.hpp>

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>

namespace trailjunction::testkit
{
	namespace asio = boost::asio;
	namespace json = boost::json;

	namespace
	{
		constexpr auto call_timeout = millis{30'000}; // longer than any caller's timeout

		std::int64_t number_parameter(const http_request& request, std::string_view name)
		{
			std::int64_t out = 0;
			(void)absl::SimpleAtoi(query_parameter(request.target, name), &out);
			return out;
		}

		row_name name_of(const json::object& row)
		{
			return {text_or(row, "table"), text_or(row, "key")};
		}

		template <typename Take>
		void each_row(const json::object& body, const char* name, row_transaction& change, Take take)
		{
			const auto* rows = body.if_contains(name);
			if (rows == nullptr || !rows->is_array())
				return;
			for (const auto& row : rows->get_array())
			{
				change.partition = text_or(row.get_object(), "part");
				take(row.get_object());
			}
		}

		json::array rows_json(const std::vector<stored_row>& rows, const std::string& partition)
		{
			json::array out;
			for (const auto& row : rows)
			{
				json::object row_object{
					{"table", row.name.table}, {"part", partition}, {"key", row.name.key}, {"ver", row.version}};
				if (row.removed)
					row_object["gone"] = true;
				else
					row_object["value"] = absl::Base64Escape(row.value);
				out.push_back(std::move(row_object));
			}
			return out;
		}

		http_response page_response(const absl::StatusOr<row_page>& page, const std::string& partition)
		{
			if (absl::IsOutOfRange(page.status()))
				return error_response(410, "forgotten");
			if (!page.ok())
				return error_response(503, "refused");
			return json_response(200, json::serialize(json::object{{"rows", rows_json(page->rows, partition)},
																   {"more", page->has_more},
																   {"ver", page->version},
																   {"now_ms", page->store_clock_ms}}));
		}
	}

	rows_standin::rows_standin(asio::io_context& io)
		: store{io},
		  server_{io, http_limits{.max_body_bytes = 2'000'000},
				  [this](http_request request)
				  {
					  return answer(std::move(request));
				  }}
	{
	}

	endpoint rows_standin::listen()
	{
		return server_.listen(endpoint{asio::ip::address_v4::loopback(), 0}).value();
	}

	asio::awaitable<http_response> rows_standin::answer(http_request request)
	{
		const auto path = path_of(request.target);
		if (path == "/rows-tx")
			co_return co_await answer_change(request);
		if (path == "/rows-get")
			co_return co_await answer_range(request);
		if (path == "/rows-feed")
			co_return co_await answer_feed(request);
		co_return error_response(404, "no such call");
	}

	asio::awaitable<http_response> rows_standin::answer_change(const http_request& request)
	{
		const auto parsed = parse_json(request.body);
		if (!parsed.ok() || !parsed->is_object())
			co_return error_response(400, "the body is not a JSON object");
		const auto& body = parsed->get_object();
		row_transaction change;
		each_row(body, "expectedRev", change,
				 [&](const json::object& row) {
					 change.conditions.push_back({name_of(row), number_or(row, "ver")});
				 });
		each_row(body, "put", change,
				 [&](const json::object& row)
				 {
					 std::string value;
					 (void)absl::Base64Unescape(text_or(row, "value"), &value);
					 change.put.push_back({name_of(row), std::move(value)});
				 });
		each_row(body, "remove", change, [&](const json::object& row) { change.remove.push_back(name_of(row)); });
		const auto partition = change.partition;
		const auto result = co_await store.commit(std::move(change), boottime_now() + call_timeout);
		if (result.outcome == commit_outcome::rejected)
			co_return error_response(400, result.reason);
		if (result.outcome == commit_outcome::refused)
			co_return error_response(503, "refused");
		if (result.outcome == commit_outcome::unknown)
			co_return http_response{0, {}, ""}; // closes the connection without a response, whether applied or not
		json::object out{{"ver", result.version}, {"now_ms", result.store_clock_ms}};
		if (result.outcome == commit_outcome::conflict)
			out["rows"] = rows_json(result.rows, partition);
		co_return json_response(result.outcome == commit_outcome::applied ? 200 : 412, json::serialize(out));
	}

	asio::awaitable<http_response> rows_standin::answer_range(const http_request& request)
	{
		const auto& target = request.target;
		row_range range{query_parameter(target, "table"), query_parameter(target, "part"),
						query_parameter(target, "from"), query_parameter(target, "targetVersion"),
						static_cast<std::uint32_t>(number_parameter(request, "limit"))};
		const auto partition = range.partition;
		const auto page = co_await store.read(std::move(range), boottime_now() + call_timeout);
		co_return page_response(page, partition);
	}

	asio::awaitable<http_response> rows_standin::answer_feed(const http_request& request)
	{
		const auto page =
			co_await store.poll_changes(query_parameter(request.target, "table"), number_parameter(request, "afterRev"),
										millis{number_parameter(request, "waitMs")}, boottime_now() + call_timeout);
		co_return page_response(page, "");
	}
}
