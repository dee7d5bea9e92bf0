// SPDX-License-Identifier: MIT
/// \file
/// \brief Follows the operators' requests in the store to evacuate data centres.
#pragma once

#include <trailjunction/entry/evacuation_rows.hpp>
#include <trailjunction/jobs/evacuation.hpp>
#include <trailjunction/net/process_metrics.hpp>
#include <trailjunction/store/row_store.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <vector>

namespace trailjunction
{
	/// \brief Tracks which data centres are being evacuated and how recent that knowledge is. Used on one io_context.
	class evacuation_follower
	{
	public:
		/// \param on_change Called when a request was added or withdrawn.
		evacuation_follower(boost::asio::io_context& io, row_store& store, const evacuation_rows& rows,
							process_metrics& metrics, std::function<void()> on_change);

		/// \brief The range of rows that must be read before any run is started.
		[[nodiscard]] const row_range& range() const noexcept
		{
			return rows_.range;
		}
		/// \brief Replaces the known requests by all rows of the range.
		/// \param version The store's latest version at the read.
		/// \param asked_at When the read request was sent.
		void apply_all(const std::vector<stored_row>& rows, std::int64_t version, instant asked_at);

		/// \brief Follows the requests until \p is_over returns true. Objects captured by \p is_over must outlive the
		/// call.
		[[nodiscard]] boost::asio::awaitable<void> follow(std::function<bool()> is_over);

		[[nodiscard]] const evacuations& current() const noexcept
		{
			return current_;
		}

	private:
		boost::asio::awaitable<bool> read_all_rows();
		void apply_changes(const std::vector<stored_row>& rows);
		void log_begun(const evacuation_request& request);
		void log_withdrawn(const data_centre_id& data_centre);
		void publish_change();

		boost::asio::io_context& io_;
		row_store& store_;
		const evacuation_rows& rows_;
		prometheus::Gauge& evacuated_gauge_;
		std::function<void()> on_change_;
		evacuations current_;
		std::int64_t version_{};
	};
}
