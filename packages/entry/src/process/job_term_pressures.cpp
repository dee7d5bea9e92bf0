// SPDX-License-Identifier: MIT
/// \file
/// \brief The part of job_term that loads and stores the learnt pressures of fillers.
#include "job_term.hpp"

#include <trailjunction/core/event.hpp>
#include <trailjunction/jobs/job_tables.hpp>
#include <trailjunction/net/coroutines.hpp>

#include <utility>

namespace trailjunction
{
	namespace asio = boost::asio;

	namespace
	{
		/// Interval between two writes of the learnt pressures. A successor that continues from stored values of this
		/// age has lost one or two measurements of a pair of images.
		constexpr auto store_interval = millis{2'000};
		constexpr auto store_timeout = millis{600};
	}

	void job_term::apply_pressures(const std::vector<stored_row>& rows)
	{
		for (const auto& row : rows)
		{
			const bool is_named = row.name.key == named_pressures_key;
			auto model = is_named ? decode_named_pressures(row.value, boottime_now())
								  : decode_pressures(row.value, boottime_now());
			if (!model.ok())
			{
				log_event(event::row_unreadable, {{"row", row.name.key}, {"reason", model.status().ToString()}});
				continue;
			}
			has_named_pressures_ = has_named_pressures_ || is_named;
			// The row of an earlier version only adds what the present one lacks.
			for (const auto& [images, pressure] : model->pairs)
				if (is_named)
					pressures_.pairs.try_emplace(images, pressure);
				else
					pressures_.pairs.insert_or_assign(images, pressure);
		}
	}

	asio::awaitable<void> job_term::store_pressures()
	{
		// The pressures only improve decisions, so they must not delay the transactions that renew the lease. A write
		// that is applied after the end of the term is harmless: the successor writes its own values soon.
		std::string stored;
		while (!over_)
		{
			co_await pause_for(io_, store_interval);
			drop_oldest_pairs(pressures_, default_pressure_policy);
			auto row = encode_pressures(pressures_, settings_.store_limits.value_bytes);
			if (over_ || pressures_.pairs.empty() || row == stored || !may_act(boottime_now()))
				continue;
			row_transaction change;
			change.partition = job_partition;
			change.put.push_back({{pressures_table, pressures_key}, row});
			if (has_named_pressures_)
				change.remove.push_back({pressures_table, named_pressures_key});
			const auto result = co_await store_.commit(std::move(change), boottime_now() + store_timeout);
			if (result.outcome == commit_outcome::rejected)
				log_event(event::row_rejected, {{"row", pressures_key}, {"reason", result.reason}});
			if (result.outcome != commit_outcome::applied)
				continue; // repeated after the interval
			stored = std::move(row);
			has_named_pressures_ = false;
		}
	}
}
