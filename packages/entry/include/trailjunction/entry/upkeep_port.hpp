// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief What serves waves of upkeep: the operators' rows, and the service that runs instances.
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
	/// \brief Who gives an order.
	struct upkeep_authority
	{
		member_id member;
		std::int64_t epoch{}; ///< Rises over owners.
	};

	/// \brief The service that runs instances; lives on one io_context.
	class instance_service
	{
	public:
		instance_service() = default;
		virtual ~instance_service() = default;
		instance_service(const instance_service&) = delete;
		instance_service& operator=(const instance_service&) = delete;

		/// \brief Reads all instances, page by page; unavailable where it did not answer all of them.
		[[nodiscard]] virtual boost::asio::awaitable<absl::StatusOr<instance_list>> list(instant deadline) = 0;

		/// \brief Orders the upkeep of one instance of a wave.
		[[nodiscard]] virtual boost::asio::awaitable<upkeep_answer>
		begin_upkeep(upkeep_authority authority, wave_id wave, instance_id instance, instant deadline) = 0;
	};

	/// \brief Where operators ask for waves, and where they are told how they stand.
	struct wave_rows
	{
		row_range range;
		/// The wave that a row's name asks for; nothing: it asks for something else.
		std::function<std::optional<wave_id>(const row_name&)> wave_of;
		/// What it asks for; invalid_argument with the reason where it cannot be served.
		std::function<absl::StatusOr<upkeep_wave>(const stored_row&)> decode;
		std::function<row_name(const wave_id&)> status_row; ///< Its partition is that of the range.
		std::function<std::string(bool completed)> encode_status;
	};

	/// \brief What carries waves.
	struct upkeep_carrier
	{
		wave_rows rows;
		std::function<std::unique_ptr<instance_service>(boost::asio::io_context&, endpoint)> make_service;
	};

	/// \brief What an entry is told about the service that runs instances.
	struct upkeep_settings
	{
		std::optional<endpoint> service;
		double calls_per_s{10.0};  ///< Orders that the service takes of all entries together.
		double reads_per_s{10.0};  ///< Pages of lists likewise.
		double lasts_s{2.0};       ///< An instance is down for so long.
		bool fences_checked{true}; ///< Whether the service refuses orders of earlier owners.
	};
}
