// SPDX-License-Identifier: MIT
/// \file
/// \brief An agent whose worker loses runs, and the listings of such a worker.
#pragma once

#include "run_manager_fixture.hpp"

namespace trailjunction::unlisted_runs_fixture
{
	using run_manager_fixture::some_run;

	inline void add_running(worker_listing& listing, const task_run& run_id)
	{
		listing.running.push_back({run_id, "", 10, 0});
	}

	inline void add_end(worker_listing& listing, std::int64_t number, const task_run& run_id)
	{
		listing.ended.push_back({number, run_id, run_outcome::done, ""});
	}

	/// A listing with ends of other tasks.
	inline worker_listing listing_with_ends(std::size_t count)
	{
		worker_listing out;
		for (std::size_t i = 0; i < count; ++i)
			add_end(out, static_cast<std::int64_t>(i) + 1,
					{{job_id{"00000000000000c3"}, 0, 0, static_cast<std::uint32_t>(i)}, 1});
		return out;
	}

	inline worker_listing listing_with_run(const task_run& run_id)
	{
		worker_listing out;
		add_running(out, run_id);
		return out;
	}

	/// An agent that collects the contents of its reports.
	struct agent_fixture : run_manager_fixture::fixture
	{
		void list(worker_listing listing)
		{
			script.on_list = [listing = std::move(listing)]
			{
				return listing_result{{order_outcome::done, 1'000}, listing};
			};
		}

		void collect()
		{
			const auto report = runs.report(false);
			unlisted.insert(unlisted.end(), report.unlisted.begin(), report.unlisted.end());
			refused.insert(refused.end(), report.refused.begin(), report.refused.end());
			ended.insert(ended.end(), report.ended.begin(), report.ended.end());
			started.insert(started.end(), report.started.begin(), report.started.end());
			running.insert(running.end(), report.running.begin(), report.running.end());
		}

		/// Waits without taking any report.
		void await_listings(int count)
		{
			const auto before = script.listings;
			REQUIRE(run_until([&] { return script.listings > before + count; }));
		}

		/// Collects reports until listings that began after this call have been applied.
		void collect_listings(int count = 4)
		{
			const auto before = script.listings;
			REQUIRE(run_until(
				[&]
				{
					collect();
					return script.listings > before + count;
				}));
			collect();
		}

		/// Waits until the worker's list contains a run, and the agent has applied it.
		void begin_run()
		{
			list(listing_with_run(some_run));
			collect_listings();
			REQUIRE(running.size() == 1);
		}

		std::vector<wire::task_run> unlisted;
		std::vector<wire::job_run> running;
	};
}
