// SPDX-License-Identifier: MIT
#include "caller_request.hpp"

#include <trailjunction/core/random.hpp>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>

namespace trailjunction
{
	namespace
	{
		constexpr std::int64_t max_deadline_ms = 600'000;
		constexpr std::size_t max_key_bytes = 200;
		constexpr std::array<std::string_view, 5> repeatable_methods{"GET", "HEAD", "PUT", "DELETE", "OPTIONS"};

		std::string header_value(const http_request& message, std::string_view name)
		{
			return std::string{find_header(message.headers, name)};
		}

		absl::Status invalid_field(std::string_view name, const std::string& value, std::string_view expected)
		{
			return absl::InvalidArgumentError(absl::StrCat(std::string{name}, ": is '", value.substr(0, 60), "', ",
														   std::string{expected}, " is wanted"));
		}

		/// Parses a header that takes one of two keywords; leaves \p out unchanged if the header is absent.
		absl::Status read_keyword(const http_request& message, std::string_view name, std::string_view true_word,
								  std::string_view false_word, bool& out)
		{
			const auto value = header_value(message, name);
			if (value.empty())
				return absl::OkStatus();
			if (value != true_word && value != false_word)
				return invalid_field(name, value,
									 absl::StrCat(std::string{true_word}, " or ", std::string{false_word}));
			out = value == true_word;
			return absl::OkStatus();
		}

		std::string first_path_segment(std::string_view target)
		{
			const auto path = path_of(target);
			const auto segment_start = path.find_first_not_of('/');
			if (segment_start == std::string_view::npos)
				return {};
			return std::string{path.substr(segment_start, path.find('/', segment_start) - segment_start)};
		}
	}

	absl::StatusOr<caller_request> parse_caller_request(http_request message, millis default_deadline, instant now)
	{
		caller_request request;
		request.id = random_token();
		request.arrived_at = now;
		request.repeatable =
			std::find(repeatable_methods.begin(), repeatable_methods.end(), message.method) != repeatable_methods.end();
		if (auto status = read_keyword(message, "Trailjunction-Repeatable", "yes", "no", request.repeatable);
			!status.ok())
			return status;
		if (auto status = read_keyword(message, "Trailjunction-Priority", "quick", "heavy", request.urgent);
			!status.ok())
			return status;
		const auto service = header_value(message, "Trailjunction-Service");
		request.service = service_id{service.empty() ? first_path_segment(message.target) : service};
		if (request.service.empty())
			return invalid_field("Trailjunction-Service", "", "the name of a service, or a path that starts with one");
		request.idempotency_key = header_value(message, "Idempotency-Key");
		if (request.idempotency_key.size() > max_key_bytes)
			return invalid_field("Idempotency-Key", request.idempotency_key,
								 absl::StrCat("at most ", max_key_bytes, " bytes"));
		std::int64_t deadline_ms = default_deadline.count();
		const auto deadline = header_value(message, "Trailjunction-Deadline-Ms");
		if (!deadline.empty() &&
			(!absl::SimpleAtoi(deadline, &deadline_ms) || deadline_ms < 1 || deadline_ms > max_deadline_ms))
			return invalid_field("Trailjunction-Deadline-Ms", deadline,
								 absl::StrCat("a whole number from 1 to ", max_deadline_ms));
		request.deadline = now + millis{deadline_ms};
		request.trace = start_span(parse_traceparent(header_value(message, "traceparent")), "entry");
		request.message = std::move(message);
		return request;
	}

	bool request_tries::any_open() const noexcept
	{
		return std::any_of(tries.begin(), tries.end(), [](const request_try& attempt) { return attempt.open; });
	}

	request_try* request_tries::find_done() noexcept
	{
		for (auto& attempt : tries)
			if (!attempt.open && attempt.reply.how == wire::outcome::done)
				return &attempt;
		return nullptr;
	}

	bool request_tries::any_unknown() const noexcept
	{
		return std::any_of(tries.begin(), tries.end(),
						   [](const request_try& attempt)
						   { return !attempt.open && attempt.reply.how == wire::outcome::unknown; });
	}

	http_response to_response(const caller_request& request, request_result&& result)
	{
		http_response response;
		if (result.final_outcome == request_outcome::done)
			response = std::move(result.response);
		else if (result.final_outcome == request_outcome::not_run)
			response = error_response(result.overloaded ? 429 : 503, result.reason);
		else
			response = error_response(result.deadline_passed ? 504 : 502, result.reason);
		std::erase_if(response.headers, [](const http_header& header)
					  { return absl::StartsWithIgnoreCase(header.name, "trailjunction-"); });
		response.headers.push_back({"Trailjunction-Outcome", std::string{to_string(result.final_outcome)}});
		response.headers.push_back({"Trailjunction-Request-Id", request.id});
		response.headers.push_back({"Trailjunction-Tries", std::to_string(result.tries)});
		if (!result.worker.empty())
			response.headers.push_back({"Trailjunction-Worker", result.worker.str()});
		if (result.final_outcome == request_outcome::not_run)
		{
			const auto wait_ms = std::max<std::int64_t>(result.retry_after.count(), 1);
			response.headers.push_back({"Retry-After", std::to_string((wait_ms + 999) / 1000)});
			response.headers.push_back({"Trailjunction-Retry-After-Ms", std::to_string(wait_ms)});
		}
		return response;
	}
}
