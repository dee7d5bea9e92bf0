// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief The interfaces for waves of upkeep: the rows of operators, and the service that runs instances.
#pragma once

#include <trailjunction/core/ids.hpp>
#include <trailjunction/jobs/upkeep_wave.hpp>
#include <trailjunction/net/endpoint.hpp>
#include <trailjunction/store/row_store.hpp>

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace trailjunction
{
	/// \brief The owner that sends an order.
	struct upkeep_authority
	{
		member_id member;
		std::int64_t epoch{}; ///< Increases with each change of ownership.
	};

	/// \brief Client of the service that runs instances; runs on one io_context.
	class instance_service
	{
	public:
		instance_service() = default;
		virtual ~instance_service() = default;
		instance_service(const instance_service&) = delete;
		instance_service& operator=(const instance_service&) = delete;

		/// \brief Reads all instances, page by page.
		/// \returns The instances, or unavailable if any page was not answered.
		[[nodiscard]] virtual boost::asio::awaitable<absl::StatusOr<instance_list>> list(instant deadline) = 0;

		/// \brief Orders the upkeep of one instance of a wave.
		[[nodiscard]] virtual boost::asio::awaitable<upkeep_answer>
		begin_upkeep(upkeep_authority authority, wave_id wave, instance_id instance, instant deadline) = 0;
	};

	/// \brief The rows in which operators request waves, and in which they read the status of waves.
	struct wave_rows
	{
		row_range range;
		/// The wave that a row name requests; empty if the row is no wave request.
		std::function<std::optional<wave_id>(const row_name&)> wave_of;
		/// Parses a wave request; invalid_argument with the reason if it is not valid.
		std::function<absl::StatusOr<upkeep_wave>(const stored_row&)> decode;
		std::function<row_name(const wave_id&)> status_row; ///< In the same partition as the range.
		std::function<std::string(bool completed)> encode_status;
	};

	/// \brief Connects waves of upkeep to the platform.
	struct upkeep_adapter
	{
		wave_rows rows;
		std::function<std::unique_ptr<instance_service>(boost::asio::io_context&, endpoint)> make_service;
	};

	/// \brief Settings for the service that runs instances.
	struct upkeep_settings
	{
		std::optional<endpoint> service;
		double calls_per_s{10.0};  ///< Orders per second that the service accepts from all entries together.
		double reads_per_s{10.0};  ///< List pages per second that the service accepts from all entries together.
		double lasts_s{2.0};       ///< How long an instance is down for its upkeep, in seconds.
		bool fences_checked{true}; ///< Whether the service refuses orders of earlier owners.
	};
}
