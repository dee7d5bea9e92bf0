// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief HTTP client of the platform's table service, object store and instance list, which hold the state of members,
/// shards, tasks and configuration. The rows of jobs are in a row_store (row_store.hpp).
#pragma once

#include "table_row.hpp"

#include <trailjunction/core/ids.hpp>
#include <trailjunction/core/json_list.hpp>
#include <trailjunction/net/http_client.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>
#include <vector>

namespace trailjunction
{
	/// \brief One element of the platform's instance list, which lags behind the actual state.
	struct instance
	{
		worker_id worker;
		data_centre_id data_centre;
		rack_id rack;
		endpoint requests; ///< Where the agent accepts request links.
		endpoint control;  ///< Where the agent accepts control links.
		bool leaving{};
	};

	/// \brief Counts of the calls that a client made to the platform.
	struct platform_call_counts
	{
		std::uint64_t reads{};
		std::uint64_t writes{};
		std::uint64_t failures{};
		std::uint64_t resolved_writes{}; ///< Writes whose outcome was determined after a lost response.
	};

	/// \brief Calls the platform. Bound to one io_context, so each duty creates its own client.
	///
	/// \code
	/// const auto result = co_await platform.put("config/main", document, row.version, token, deadline);
	/// if (result.outcome == write_outcome::conflict)
	///     co_return lost_to(result.row);
	/// \endcode
	class platform_client
	{
	public:
		platform_client(boost::asio::io_context& io, endpoint remote);

		/// \brief Reads one row; an absent row is returned with version 0.
		[[nodiscard]] boost::asio::awaitable<absl::StatusOr<table_row>> get(std::string key, instant deadline);

		/// \brief Reads all rows whose key starts with \p prefix, in key order.
		[[nodiscard]] boost::asio::awaitable<absl::StatusOr<std::vector<table_row>>> scan(std::string prefix,
																						  instant deadline);

		/// \brief Writes a row if its version is still \p expected_version (0: if it is absent).
		/// \details If a response is lost, the row is read back until \p deadline: the token in the row identifies the
		/// write that is in effect. While the outcome is unknown, the same write is retried; its condition ensures that
		/// it takes effect at most once.
		/// \param token Unique to this write; its retries carry the same token.
		[[nodiscard]] boost::asio::awaitable<write_result>
		put(std::string key, std::string data, std::int64_t expected_version, std::string token, instant deadline);

		/// \brief Deletes a row if its version is still \p expected_version.
		[[nodiscard]] boost::asio::awaitable<absl::Status> erase(std::string key, std::int64_t expected_version,
																 instant deadline);

		[[nodiscard]] boost::asio::awaitable<absl::Status> put_object(std::string name, std::string data,
																	  instant deadline);
		[[nodiscard]] boost::asio::awaitable<absl::StatusOr<std::string>> get_object(std::string name,
																					 instant deadline);

		/// \brief Reads the list of running and leaving instances.
		[[nodiscard]] boost::asio::awaitable<absl::StatusOr<std::vector<instance>>> instances(instant deadline);

		[[nodiscard]] const platform_call_counts& counts() const noexcept
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
																	std::int64_t expected_version,
																	const std::string& token, instant deadline);

		/// Logs that a list has entries that can't be read, whenever their number changes.
		void note_unreadable(const std::string& name, const json_list& list);

		boost::asio::io_context& io_;
		http_client client_;
		absl::flat_hash_map<std::string, std::size_t> unreadable_entries_; ///< Their number by list, as last logged.
		platform_call_counts counts_;
		bool reachable_{true};
	};
}
