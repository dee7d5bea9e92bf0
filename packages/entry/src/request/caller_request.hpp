// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief One caller's request and its tries.
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
	/// \brief What a caller asked for, read from its HTTP request.
	struct caller_request
	{
		std::string id; ///< Told to the caller in `Trailjunction-Request-Id`.
		service_id service;
		bool repeatable{};
		bool urgent{true};
		std::string key; ///< `Idempotency-Key`; empty: none.
		instant arrived{};
		instant deadline{};
		span trace;
		http_request message;
	};

	/// \brief Reads the fields that steer a request; invalid_argument names the field.
	/// \details Service: `Trailjunction-Service`, otherwise the first step of the path. Repeatable: GET, HEAD, PUT,
	/// DELETE and OPTIONS, unless `Trailjunction-Repeatable: yes|no` says otherwise.
	[[nodiscard]] absl::StatusOr<caller_request> read_caller_request(http_request message, millis default_deadline,
																	 instant now);

	/// \brief One try at one worker.
	struct request_try
	{
		std::int64_t id{}; ///< On the wire; never used again by this process.
		worker_id worker;
		std::weak_ptr<link> sent_on;
		std::uint64_t sent_as{}; ///< The link's number of the message.
		instant started{};
		bool open{true};
		wire::reply reply; ///< Once it is not open any more.
	};

	/// \brief The tries of one request, shared with whoever delivers replies.
	struct request_tries
	{
		explicit request_tries(boost::asio::io_context& io) : wake{io} {}

		boost::asio::steady_timer wake; ///< Cancelled when a try has ended.
		std::vector<request_try> tries;

		[[nodiscard]] bool any_open() const noexcept;
		/// \brief The try whose answer is whole, or null.
		[[nodiscard]] request_try* done() noexcept;
		/// \brief Whether some try may have run without an answer.
		[[nodiscard]] bool any_unknown() const noexcept;
	};

	/// \brief The end of a request, as the caller is told.
	struct request_end
	{
		request_outcome how{request_outcome::not_run};
		http_response response; ///< The upstream's, where it is done.
		std::string reason;
		worker_id worker;
		int tries{};
		millis retry_after{};
		bool crowded{}; ///< Workers refused it for want of room.
		bool late{};    ///< The deadline has passed.
	};

	/// \brief The HTTP response for an end, with the `Trailjunction-` fields.
	[[nodiscard]] http_response to_response(const caller_request& request, request_end&& end);
}
