// SPDX-License-Identifier: MIT
#include <trailjunction/net/coroutines.hpp>
#include <trailjunction/store/row_store.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <limits>
#include <memory>

#include <iterator>

namespace trailjunction
{
	boost::asio::awaitable<absl::StatusOr<row_page>> read_all(row_store& store, row_range range, instant deadline)
	{
		row_page all;
		bool first = true;
		do
		{
			auto page = co_await store.read(range, deadline);
			if (!page.ok())
				co_return page.status();
			if (first)
				all.version = page->version;
			first = false;
			all.store_clock_ms = page->store_clock_ms;
			all.has_more = page->has_more;
			if (page->has_more && page->rows.empty())
				co_return absl::DataLossError("the store returned an empty page but reported further rows");
			// The smallest key that is greater than the last one read.
			if (page->has_more)
				range.from = page->rows.back().name.key + '\0';
			all.rows.insert(all.rows.end(), std::make_move_iterator(page->rows.begin()),
							std::make_move_iterator(page->rows.end()));
		} while (all.has_more);
		co_return all;
	}

	namespace
	{
		/// State of several ranges that are read concurrently.
		struct parallel_read
		{
			std::vector<absl::StatusOr<row_page>> pages;
			std::size_t pending{}; ///< Ranges that are not completely read yet.
			boost::asio::steady_timer done;
		};

		boost::asio::awaitable<void> read_into(std::shared_ptr<parallel_read> all, row_store& store, row_range range,
											   std::size_t index, instant deadline)
		{
			all->pages[index] = co_await read_all(store, std::move(range), deadline);
			if (--all->pending == 0)
				all->done.cancel();
		}
	}

	boost::asio::awaitable<absl::StatusOr<row_page>> read_all(boost::asio::io_context& io, row_store& store,
															  std::vector<row_range> ranges, instant deadline)
	{
		const auto all = std::make_shared<parallel_read>(parallel_read{
			std::vector<absl::StatusOr<row_page>>(ranges.size(), absl::UnknownError("the range was not read")),
			ranges.size(), boost::asio::steady_timer{io, std::chrono::steady_clock::time_point::max()}});
		for (std::size_t i = 0; i < ranges.size(); ++i)
			boost::asio::co_spawn(io, read_into(all, store, std::move(ranges[i]), i, deadline), boost::asio::detached);
		while (all->pending > 0)
			(void)co_await all->done.async_wait(as_result);
		row_page out;
		out.version = std::numeric_limits<std::int64_t>::max();
		for (auto& page : all->pages)
		{
			if (!page.ok())
				co_return page.status();
			out.version = std::min(out.version, page->version);
			out.store_clock_ms = std::max(out.store_clock_ms, page->store_clock_ms);
			out.rows.insert(out.rows.end(), std::make_move_iterator(page->rows.begin()),
							std::make_move_iterator(page->rows.end()));
		}
		co_return out;
	}
}
