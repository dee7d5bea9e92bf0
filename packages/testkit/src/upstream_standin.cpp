// SPDX-License-Identifier: MIT
#include <trailjunction/net/coroutines.hpp>
#include <trailjunction/testkit/upstream_standin.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace trailjunction::testkit
{
	namespace asio = boost::asio;

	upstream_standin::upstream_standin(asio::io_context& io)
		: io_{io},
		  server_{io, http_limits{.max_body_bytes = std::size_t{16} * 1024 * 1024},
				  [this](http_request request)
				  {
					  return answer(std::move(request));
				  }}
	{
	}

	endpoint upstream_standin::listen()
	{
		return server_.listen(*parse_endpoint("127.0.0.1:0")).value();
	}

	asio::awaitable<http_response> upstream_standin::answer(http_request request)
	{
		const std::string job{find_header(request.headers, "X-Job")};
		executed_requests_.push_back(job);
		++running_;
		max_running_ = std::max(max_running_, running_);
		double work_ms = static_cast<double>(behaviour_.service_time.count());
		(void)absl::SimpleAtod(query_parameter(request.target, "ms"), &work_ms);
		auto time = micros{static_cast<std::int64_t>(work_ms * 1'000 * behaviour_.slowdown)};
		if (behaviour_.never_responds)
			time = std::chrono::hours{1};
		if (behaviour_.responds_500)
			time = micros{0};
		if (time.count() > 0)
		{
			asio::steady_timer timer{io_, time};
			(void)co_await timer.async_wait(as_result);
		}
		--running_;
		http_response response;
		if (behaviour_.drops_response)
		{
			response.status = 0;
			co_return response;
		}
		if (behaviour_.responds_500)
			co_return error_response(500, "failing");
		response.body = absl::StrCat(job, " ", request.target, " ", request.body);
		response.body.resize(std::max(response.body.size(), behaviour_.response_bytes), '.');
		response.headers.push_back({"X-Job", job});
		co_return response;
	}
}
