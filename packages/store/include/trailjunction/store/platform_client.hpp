// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Client of the platform's table service, object store and instance list.
#pragma once

#include "table_row.hpp"

#include <trailjunction/core/ids.hpp>
#include <trailjunction/net/http_client.hpp>

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>
#include <vector>

namespace trailjunction
{
	/// \brief One line of the platform's lagging list.
	struct instance
	{
		worker_id worker;
		data_centre_id data_centre;
		rack_id rack;
		endpoint requests; ///< Where the agent takes request links.
		endpoint control;  ///< Where the agent takes control links.
		bool leaving{};
	};

	/// \brief Counts of what a client asked of the platform.
	struct platform_counts
	{
		std::uint64_t reads{};
		std::uint64_t writes{};
		std::uint64_t failures{};
		std::uint64_t resolved{}; ///< Lost answers that a read-back settled.
	};

	/// \brief Talks to the platform; lives on one io_context, so each duty has its own.
	///
	/// \code
	/// const auto end = co_await platform.put("config/main", document, row.version, token, deadline);
	/// if (end.how == write_end::conflict)
	///     co_return lost_to(end.row);
	/// \endcode
	class platform_client
	{
	public:
		platform_client(boost::asio::io_context& io, endpoint where);

		/// \brief Reads one row; a row that is absent has version 0.
		[[nodiscard]] boost::asio::awaitable<absl::StatusOr<table_row>> get(std::string key, instant deadline);

		/// \brief Reads all rows whose key starts with \p prefix, in the order of their keys.
		[[nodiscard]] boost::asio::awaitable<absl::StatusOr<std::vector<table_row>>> scan(std::string prefix,
																						  instant deadline);

		/// \brief Writes a row if its version is still \p expected (0: if it is absent).
		/// \details A lost answer is resolved by reading back until \p deadline: the token in the row tells whose write
		/// is in force. While the outcome is open the same write is repeated; the condition lets it take effect once.
		/// \param token Unique to this write, and the same in its repetitions.
		[[nodiscard]] boost::asio::awaitable<write_result> put(std::string key, std::string data, std::int64_t expected,
															   std::string token, instant deadline);

		/// \brief Deletes a row if its version is still \p expected.
		[[nodiscard]] boost::asio::awaitable<absl::Status> erase(std::string key, std::int64_t expected,
																 instant deadline);

		[[nodiscard]] boost::asio::awaitable<absl::Status> put_object(std::string name, std::string data,
																	  instant deadline);
		[[nodiscard]] boost::asio::awaitable<absl::StatusOr<std::string>> get_object(std::string name,
																					 instant deadline);

		/// \brief Reads the list of live and leaving instances.
		[[nodiscard]] boost::asio::awaitable<absl::StatusOr<std::vector<instance>>> instances(instant deadline);

		[[nodiscard]] const platform_counts& counts() const noexcept
		{
			return counts_;
		}
		/// \brief Whether the last call was answered.
		[[nodiscard]] bool reachable() const noexcept
		{
			return reachable_;
		}

	private:
		[[nodiscard]] boost::asio::awaitable<http_result> call(http_request request, instant deadline);
		[[nodiscard]] boost::asio::awaitable<write_result> put_once(const std::string& key, const std::string& data,
																	std::int64_t expected, const std::string& token,
																	instant deadline);

		boost::asio::io_context& io_;
		http_client client_;
		platform_counts counts_;
		bool reachable_{true};
	};
}
