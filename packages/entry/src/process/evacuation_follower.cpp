// SPDX-License-Identifier: MIT
#include "evacuation_follower.hpp"

#include <trailjunction/core/event.hpp>
#include <trailjunction/net/coroutines.hpp>

#include <algorithm>
#include <utility>

namespace trailjunction
{
	namespace asio = boost::asio;

	namespace
	{
		/// Long-poll time of the feed, and the time after it in which an answer must arrive. A silent feed is abandoned
		/// after 1.1 s, so that the knowledge is at most 1.8 s old when the rows are read instead. This is within
		/// the 2.5 s, half of the default of evacuate_within, after which nothing would be started.
		constexpr auto feed_wait = millis{600};
		constexpr auto feed_grace = millis{500};
		constexpr auto read_timeout = millis{600};
		constexpr auto retry_backoff = millis{100};
	}

	evacuation_follower::evacuation_follower(asio::io_context& io, row_store& store, const evacuation_rows& rows,
											 process_metrics& metrics, std::function<void()> on_change)
		: io_{io},
		  store_{store},
		  rows_{rows},
		  evacuated_gauge_{metrics.gauge("evacuated_data_centres", "Data centres that this owner starts nothing in.")},
		  on_change_{std::move(on_change)}
	{
	}

	void evacuation_follower::log_begun(const evacuation_request& request)
	{
		log_event(event::evacuation_begun,
				  {{"data_centre", request.data_centre.str()}, {"row_version", request.version}});
	}

	void evacuation_follower::log_withdrawn(const data_centre_id& data_centre)
	{
		log_event(event::evacuation_withdrawn, {{"data_centre", data_centre.str()}});
	}

	void evacuation_follower::publish_change()
	{
		evacuated_gauge_.Set(static_cast<double>(current_.active.size()));
		on_change_();
	}

	void evacuation_follower::apply_all(const std::vector<stored_row>& rows, std::int64_t version, instant asked_at)
	{
		std::vector<evacuation_request> requests;
		for (const auto& row : rows)
			if (auto data_centre = rows_.data_centre_of(row.name))
				requests.push_back({*std::move(data_centre), row.version});
		const auto changes = replace_requests(current_, requests, asked_at);
		version_ = version;
		for (const auto& request : changes.started)
			log_begun(request);
		for (const auto& data_centre : changes.withdrawn)
			log_withdrawn(data_centre);
		if (!changes.started.empty() || !changes.withdrawn.empty())
			publish_change();
	}

	void evacuation_follower::apply_changes(const std::vector<stored_row>& rows)
	{
		bool changed = false;
		for (const auto& row : rows)
		{
			auto data_centre = rows_.data_centre_of(row.name);
			if (!data_centre)
				continue;
			if (row.removed && withdraw_request(current_, *data_centre))
			{
				changed = true;
				log_withdrawn(*data_centre);
			}
			const evacuation_request request{*std::move(data_centre), row.version};
			if (!row.removed && add_request(current_, request))
			{
				changed = true;
				log_begun(request);
			}
		}
		if (changed)
			publish_change();
	}

	asio::awaitable<bool> evacuation_follower::read_all_rows()
	{
		auto range = rows_.range;
		const auto asked_at = boottime_now();
		const auto page = co_await read_all(store_, std::move(range), asked_at + read_timeout);
		if (page.ok())
			apply_all(page->rows, page->version, asked_at);
		co_return page.ok();
	}

	asio::awaitable<void> evacuation_follower::follow(std::function<bool()> is_over)
	{
		bool is_current = true;
		while (!is_over())
		{
			if (!is_current)
			{
				is_current = co_await read_all_rows();
				if (!is_current)
					co_await pause_for(io_, retry_backoff);
				continue;
			}
			const auto asked_at = boottime_now();
			const auto page =
				co_await store_.poll_changes(rows_.range.table, version_, feed_wait, asked_at + feed_wait + feed_grace);
			// After any failure the rows themselves are read: a read is answered at once, and the failed feed may have
			// missed changes.
			is_current = page.ok();
			if (!is_current)
				continue;
			apply_changes(page->rows);
			version_ = std::max(version_, page->version);
			current_.current_at = asked_at;
		}
	}
}
