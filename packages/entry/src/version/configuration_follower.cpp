// SPDX-License-Identifier: MIT
#include "configuration_follower.hpp"

#include <trailjunction/core/event.hpp>
#include <trailjunction/net/coroutines.hpp>
#include <trailjunction/store/store_monitor.hpp>

namespace trailjunction
{
	namespace asio = boost::asio;

	namespace
	{
		constexpr auto read_timeout = millis{800};
		/// How long the store may hold a feed request without changes. Half of the time in which a new version must
		/// take effect, so that a feed that stops answering is noticed in time.
		constexpr auto long_poll_time = millis{900};
		constexpr auto response_reserve = millis{400};
		constexpr auto retry_delay = millis{100};

		void apply_rows(const std::vector<stored_row>& rows, const entry_adapters& adapters, job_gateway& gateway)
		{
			const auto watched_row = adapters.configuration_row;
			for (const auto& row : rows)
			{
				if (row.removed || row.name.key != watched_row.key)
					continue;
				auto configuration = adapters.decode_configuration(row.value);
				if (configuration.ok())
					gateway.apply(*std::move(configuration));
				else
					log_event(event::config_refused, {{"reason", configuration.status().ToString()}});
			}
		}
	}

	asio::awaitable<void> follow_configuration(asio::io_context& io, row_store& store, const entry_adapters& adapters,
											   job_gateway& gateway)
	{
		const auto row = adapters.configuration_row;
		store_monitor monitor;
		bool has_read_row = false;
		std::int64_t version = 0;
		while (true)
		{
			// Each co_await is a statement of its own: GCC 12 destroys the arguments of an awaited conditional
			// expression twice.
			absl::StatusOr<row_page> page = row_page{};
			if (has_read_row)
				page = co_await store.poll_changes(row.table, version, long_poll_time,
												   boottime_now() + long_poll_time + response_reserve);
			else
			{
				row_range range{row.table, "", row.key, "", 1};
				page = co_await store.read(std::move(range), boottime_now() + read_timeout);
			}
			gateway.record_store_result(page.ok(), boottime_now());
			if (page.ok())
				monitor.record_success();
			else
				monitor.record_failure("follow configuration", page.status().ToString());
			if (page.ok())
			{
				apply_rows(page->rows, adapters, gateway);
				version = std::max(version, page->version);
				has_read_row = true;
				continue;
			}
			// After any failure the row is read directly, since a failed feed may have skipped a change.
			has_read_row = false;
			co_await pause_for(io, retry_delay);
		}
	}
}
