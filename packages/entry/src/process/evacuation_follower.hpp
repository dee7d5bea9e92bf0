// SPDX-License-Identifier: MIT
/// \file
/// \brief Follows the operators' requests to empty data centres in the store.
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
	/// \brief Knows which data centres are being emptied, and since when it knows; lives on one io_context.
	class evacuation_follower
	{
	public:
		/// \param on_change Called when a request has come or gone.
		evacuation_follower(boost::asio::io_context& io, row_store& store, const evacuation_rows& rows,
							process_metrics& metrics, std::function<void()> on_change);

		/// \brief The rows to read before anything is started.
		[[nodiscard]] const row_range& range() const noexcept
		{
			return rows_.range;
		}
		/// \brief Takes in all rows of the range.
		/// \param version The newest of the store when they were read.
		/// \param asked When the store was asked.
		void take_all(const std::vector<stored_row>& rows, std::int64_t version, instant asked);

		/// \brief Follows until \p is_over says so. What it captures must live as long.
		[[nodiscard]] boost::asio::awaitable<void> follow(std::function<bool()> is_over);

		[[nodiscard]] const evacuations& known() const noexcept
		{
			return known_;
		}

	private:
		boost::asio::awaitable<bool> read_all_rows();
		void take_changes(const std::vector<stored_row>& rows);
		void tell_begun(const evacuation_request& request);
		void tell_withdrawn(const data_centre_id& data_centre);
		void tell_count();

		boost::asio::io_context& io_;
		row_store& store_;
		const evacuation_rows& rows_;
		prometheus::Gauge& evacuated_;
		std::function<void()> on_change_;
		evacuations known_;
		std::int64_t version_{};
	};
}
