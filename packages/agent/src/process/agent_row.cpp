// SPDX-License-Identifier: MIT
#include "agent_row.hpp"

#include <trailjunction/core/event.hpp>
#include <trailjunction/jobs/job_tables.hpp>
#include <trailjunction/net/coroutines.hpp>

namespace trailjunction
{
	namespace asio = boost::asio;

	namespace
	{
		constexpr auto read_time = millis{1'000};  ///< For the only try: a heartbeat comes soon after it.
		constexpr auto write_time = millis{1'000}; ///< For one try to write the row.
		constexpr auto retry_pause = millis{500};
		/// The row is looked at so often even if nobody said that something changed.
		constexpr auto longest_wait = std::chrono::minutes{1};

		stored::heard_worker to_stored(const worker_heartbeat& heard)
		{
			stored::heard_worker out;
			out.life = heard.life.str();
			out.address = to_string(heard.address);
			out.service_name = heard.service.str();
			out.cpu_milli = heard.capacity.cpu_milli;
			out.memory_mib = heard.capacity.memory_mib;
			out.accelerators = heard.capacity.accelerators;
			out.labels = heard.labels;
			out.draining = heard.draining;
			return out;
		}

		absl::StatusOr<worker_heartbeat> from_stored(const stored::heard_worker& row)
		{
			const auto address = parse_endpoint(row.address);
			if (!address.ok())
				return address.status();
			worker_heartbeat out;
			out.life = worker_life{row.life};
			out.address = *address;
			out.service = service_id{row.service_name};
			out.capacity = {row.cpu_milli, row.memory_mib, row.accelerators};
			out.labels = row.labels;
			out.draining = row.draining;
			return out;
		}
	}

	agent_row::agent_row(asio::io_context& io, row_store& store, const job_agent_settings& settings, run_keeper& runs)
		: io_{io},
		  store_{store},
		  settings_{settings},
		  runs_{runs},
		  changed_{io}
	{
	}

	std::string agent_row::wanted_row() const
	{
		stored::agent row;
		row.address = to_string(*settings_.links);
		row.data_centre = settings_.data_centre;
		if (const auto& worker = runs_.worker())
			row.__set_heard(to_stored(*worker));
		return encode_agent(row);
	}

	asio::awaitable<void> agent_row::recall_worker()
	{
		row_range range{agents_table, agent_partition, settings_.worker.str(), "", 1};
		const auto page = co_await store_.read(std::move(range), steady_now() + read_time);
		if (!page.ok())
		{
			watch_.note_failure("read agent", page.status().ToString());
			co_return;
		}
		watch_.note_answer();
		if (page->rows.empty() || page->rows.front().name.key != settings_.worker.str())
			co_return;
		const auto row = decode_agent(page->rows.front().value);
		if (row.ok() && !row->__isset.heard)
			co_return;
		auto heard = row.ok() ? from_stored(row->heard) : absl::StatusOr<worker_heartbeat>{row.status()};
		if (heard.ok())
			runs_.recall(*std::move(heard));
		else
			log_event(event::row_unreadable,
					  {{"agent", settings_.worker.str()}, {"reason", heard.status().ToString()}});
	}

	asio::awaitable<void> agent_row::write(std::string value)
	{
		row_change change;
		change.partition = agent_partition;
		change.put.push_back({{agents_table, settings_.worker.str()}, value});
		const auto result = co_await store_.commit(std::move(change), steady_now() + write_time);
		if (result.how != commit_end::applied)
		{
			watch_.note_failure("write agent", result.reason);
			co_await pause_for(io_, retry_pause);
			co_return;
		}
		watch_.note_answer();
		if (written_.empty())
			log_event(event::process_ready, {{"worker", settings_.worker.str()}});
		written_ = std::move(value);
	}

	asio::awaitable<void> agent_row::keep()
	{
		co_await recall_worker();
		while (true)
		{
			auto wanted = wanted_row();
			if (wanted != written_)
			{
				co_await write(std::move(wanted));
				continue;
			}
			changed_.expires_after(longest_wait);
			(void)co_await changed_.async_wait(as_result);
		}
	}
}
