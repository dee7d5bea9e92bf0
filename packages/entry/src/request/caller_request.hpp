// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief A request from a caller, its tries at workers, and its result.
#pragma once

#include <trailjunction/core/ids.hpp>
#include <trailjunction/core/request_outcome.hpp>
#include <trailjunction/core/trace.hpp>
#include <trailjunction/core/units.hpp>
#include <trailjunction/net/http_message.hpp>
#include <trailjunction/wire/link.hpp>

#include <absl/status/statusor.h>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace trailjunction
{
	/// \brief A request from a caller, parsed from its HTTP message.
	struct caller_request
	{
		std::string id; ///< Returned to the caller in `Trailjunction-Request-Id`.
		service_id service;
		bool repeatable{};
		bool urgent{true};
		std::string idempotency_key; ///< From `Idempotency-Key`; empty if the header is absent.
		instant arrived_at{};
		instant deadline{};
		span trace;
		http_request message;
	};

	/// \brief Parses the headers that control how a request is forwarded.
	/// \details The service is taken from `Trailjunction-Service`, otherwise from the first segment of the path. GET,
	/// HEAD, PUT, DELETE and OPTIONS are repeatable, unless `Trailjunction-Repeatable: yes|no` overrides that.
	/// \returns The request, or invalid_argument with the name of the header that is not valid.
	[[nodiscard]] absl::StatusOr<caller_request> parse_caller_request(http_request message, millis default_deadline,
																	  instant now);

	/// \brief One try of a request at one worker.
	struct request_try
	{
		std::int64_t id{}; ///< Identifies the try on the wire; never reused by this process.
		worker_id worker;
		std::weak_ptr<link> sent_on;
		std::uint64_t link_sequence{}; ///< The sequence number of the message on that link; 0 if it was not sent.
		instant started_at{};
		bool open{true};
		wire::reply reply; ///< Set once the try is no longer open.
	};

	/// \brief The tries of one request, shared between the forwarding coroutine and the code that handles replies.
	struct request_tries
	{
		explicit request_tries(boost::asio::io_context& io) : wake_timer{io} {}

		boost::asio::steady_timer wake_timer; ///< Cancelled when a try ends, which resumes the forwarding coroutine.
		std::vector<request_try> tries;

		[[nodiscard]] bool any_open() const noexcept;
		/// \brief The first try that ended with a complete response, or null.
		[[nodiscard]] request_try* find_done() noexcept;
		/// \brief Whether the outcome of any try is unknown: the request may have been executed.
		[[nodiscard]] bool any_unknown() const noexcept;
	};

	/// \brief The result of a request, as reported to the caller.
	struct request_result
	{
		request_outcome final_outcome{request_outcome::not_run};
		http_response response; ///< The response of the upstream; set if the outcome is done.
		std::string reason;
		worker_id worker;
		int tries{};
		millis retry_after{};
		bool overloaded{};      ///< The request was refused because workers or the entry were at their limits.
		bool deadline_passed{}; ///< The deadline passed before a response arrived.
	};

	/// \brief Converts a result to an HTTP response with the `Trailjunction-` headers.
	[[nodiscard]] http_response to_response(const caller_request& request, request_result&& result);
}
