// SPDX-License-Identifier: MIT
#include <trailjunction/store/row_store.hpp>

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
			all.store_ms = page->store_ms;
			all.more = page->more;
			if (page->more && page->rows.empty())
				co_return absl::DataLossError("the store gave an empty page and said that more follows");
			// The smallest key after the last one that was read.
			if (page->more)
				range.from = page->rows.back().name.key + '\0';
			all.rows.insert(all.rows.end(), std::make_move_iterator(page->rows.begin()),
							std::make_move_iterator(page->rows.end()));
		} while (all.more);
		co_return all;
	}
}
