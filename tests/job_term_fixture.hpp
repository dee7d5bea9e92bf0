// SPDX-License-Identifier: MIT
/// \file
/// \brief Fixtures for tests of job_term: an owner of jobs, an in-memory store and a simulated agent.
#pragma once

#include "../packages/entry/src/process/job_owner.hpp"

#include <trailjunction/jobs.hpp>
#include <trailjunction/platform/operator_rows.hpp>
#include <trailjunction/testkit/agent_standin.hpp>
#include <trailjunction/testkit/memory_store.hpp>
#include <trailjunction/wire/job_messages.hpp>

#include <absl/strings/str_format.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

namespace trailjunction::job_term_fixture
{
	using namespace testkit;

	inline constexpr const char* first_job = "00000000000000a1";
	inline constexpr auto test_timeout = std::chrono::seconds{20}; // after which a test without progress fails

	inline queue_policy some_queue()
	{
		return {queue_id{"checks"}, service_id{"tally"}, 0, 2, 1.5, millis{250}};
	}

	inline job_spec one_task()
	{
		job_spec spec;
		spec.payload = "work";
		spec.groups.resize(1);
		spec.groups[0].claim = {500, 256, 0};
		spec.groups[0].estimate = millis{100};
		return spec;
	}

	inline wire::job_report report_of(const std::string& worker)
	{
		wire::job_report out;
		out.worker = worker;
		out.service_name = "tally";
		out.capacity.cpu_milli = 8'000;
		out.capacity.memory_mib = 16'000;
		out.responsive = true;
		out.full = true;
		out.pace_percent = 100;
		return out;
	}

	/// An in-memory store and an owner of jobs.
	struct owner_fixture
	{
		/// Starts a term of ownership with the next epoch.
		void begin_term()
		{
			owned_row owned;
			owned.row.epoch = ++last_epoch;
			owned.row.member = settings.member.str();
			store.put(job_partition, owner_table, owner_key, encode_ownership(owned.row));
			const auto now = boottime_now();
			boost::asio::co_spawn(
				io,
				[this, owned, now]() mutable -> boost::asio::awaitable<void>
				{
					row_range range{owner_table, job_partition, "", "", 0};
					const auto page = co_await store.read(std::move(range), now + test_timeout);
					owned.version = page->rows.front().version;
					owned.renewal_sent = now;
					owned.store_ms = page->store_clock_ms;
					term = std::make_shared<job_term>(io, settings, store, evacuations, metrics, owned,
													  [](queue_depths) {});
					const auto loaded = co_await term->load();
					if (loaded.ok())
						co_await term->work();
					term_over = true;
				},
				boost::asio::detached);
		}

		boost::asio::io_context io{1};
		memory_store store{io};
		job_entry_settings settings;
		evacuation_rows evacuations{platform::make_evacuation_rows()};
		process_metrics metrics;
		std::shared_ptr<job_term> term;
		std::int64_t last_epoch{};
		bool term_over{}; ///< The latest term has ended.
	};

	/// An owner with one simulated agent.
	struct scene : owner_fixture
	{
		scene()
		{
			settings.member = member_id{"entry-1"};
			agent.full_report = report_of("life-1");
			stored::agent row;
			row.address = to_string(agent.link_address());
			store.put(agent_partition, agents_table, "agent-1", encode_agent(row));
		}

		void submit(const std::string& id, const job_spec& spec)
		{
			store.put(submission_partition(job_id{id}), submissions_table, id, encode_submission(some_queue(), spec));
		}

		template <typename Until>
		bool run_until(Until until)
		{
			const auto end = boottime_now() + test_timeout;
			while (!until() && boottime_now() < end)
				io.run_one_for(millis{10});
			return until();
		}

		/// A job as it is stored.
		job_state stored_job(const std::string& id)
		{
			auto job = decode_submission(
				job_id{id}, store.value(submission_partition(job_id{id}), submissions_table, id), boottime_now());
			REQUIRE(job.ok());
			for (std::size_t row = 0;; ++row)
			{
				const auto progress = store.value(job_partition, progress_table, progress_key(job_id{id}, row));
				if (progress.empty())
					return *std::move(job);
				REQUIRE(decode_progress(*job, progress, boottime_now()).ok());
			}
		}

		agent_standin agent{io};
	};

	inline bool saves_progress(const row_transaction& change)
	{
		return std::any_of(change.put.begin(), change.put.end(),
						   [](const row_value& row) { return row.name.table == progress_table; });
	}
}
