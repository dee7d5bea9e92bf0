// SPDX-License-Identifier: MIT
/// \file
/// \brief A run_keeper beside a worker that the test plays call by call.
#pragma once

#include "../packages/agent/src/process/run_keeper.hpp"

#include <trailjunction/net/coroutines.hpp>

#include <catch2/catch.hpp>

#include <map>

namespace trailjunction::run_keeper_scene
{
	inline constexpr auto longest_wait = std::chrono::seconds{20}; // until a test that cannot go on gives up
	inline const task_run some_run{{job_id{"00000000000000a1"}, 0, 0, 0}, 1};

	/// What the worker answers; each call asks the function that the test has put there.
	struct script
	{
		std::function<order_result()> on_start = []
		{
			return order_result{order_end::done, 1'000};
		};
		std::function<order_result()> on_stop = []
		{
			return order_result{order_end::done, 1'000};
		};
		std::function<listing_result()> on_list = []
		{
			return listing_result{{order_end::done, 1'000}, {}};
		};
		int starts{};
		int stops{};
		int lists{};
		std::optional<task_run> stopped;  ///< By the latest stop.
		std::vector<std::int64_t> tokens; ///< Of all calls, in order.
		std::int64_t deadline_ms{};       ///< Up to which runs are confirmed, by the latest listing call.
		std::map<task_run, int> paces;    ///< The latest of each filler.
		std::string life;                 ///< The only one that listings are answered for; empty: any.
	};

	class scripted_worker final : public worker_port
	{
	public:
		scripted_worker(boost::asio::io_context& io, script& lines) : io_{io}, lines_{lines} {}

		boost::asio::awaitable<order_result> start(order_authority authority, run_start, instant) override
		{
			++lines_.starts;
			lines_.tokens.push_back(authority.fencing_token);
			co_return lines_.on_start();
		}
		boost::asio::awaitable<order_result> stop(order_authority authority, task_run what, instant) override
		{
			++lines_.stops;
			lines_.stopped = what;
			lines_.tokens.push_back(authority.fencing_token);
			co_return lines_.on_stop();
		}
		boost::asio::awaitable<listing_result> list(order_authority authority, listing_order order, instant) override
		{
			lines_.deadline_ms = order.deadline_ms;
			co_await pause_for(io_, millis{5});
			++lines_.lists;
			if (!lines_.life.empty() && authority.life.str() != lines_.life)
				co_return listing_result{{order_end::other_life, 0}, {}};
			lines_.tokens.push_back(authority.fencing_token);
			co_return lines_.on_list();
		}
		boost::asio::awaitable<order_result> pace(order_authority, task_run what, int percent, instant) override
		{
			lines_.paces[what] = percent;
			co_return order_result{order_end::done, 0};
		}

	private:
		boost::asio::io_context& io_;
		script& lines_;
	};

	inline worker_heartbeat heartbeat_of(const std::string& life)
	{
		worker_heartbeat out;
		out.life = worker_life{life};
		out.service = service_id{"tally"};
		out.capacity = {8'000, 16'000, 0};
		out.clock_ms = 900;
		return out;
	}

	/// An agent whose owner has confirmed the worker once.
	struct scene
	{
		scene()
		{
			runs.set_lease(millis{5'000});
			runs.worker_seen(heartbeat_of("life-1"));
			REQUIRE(run_until([&] { return lines.lists > 1; }));
			wire::job_confirm answer;
			answer.worker = "life-1";
			answer.stamp_ms = runs.report(true).stamp_ms;
			runs.confirm(answer);
		}

		template <typename Until>
		bool run_until(Until until)
		{
			const auto end = steady_now() + longest_wait;
			while (!until() && steady_now() < end)
				io.run_one_for(millis{10});
			return until();
		}

		/// Takes in what the agent reports until something is refused, started or ended.
		bool run_until_told()
		{
			return run_until(
				[&]
				{
					const auto report = runs.report(false);
					refused.insert(refused.end(), report.refused.begin(), report.refused.end());
					ended.insert(ended.end(), report.ended.begin(), report.ended.end());
					started.insert(started.end(), report.started.begin(), report.started.end());
					return !refused.empty() || !ended.empty() || !started.empty();
				});
		}

		void order_start(bool repeated = false, std::int64_t cpu_milli = 0)
		{
			wire::job_start order;
			order.claim.cpu_milli = cpu_milli;
			order.what = to_wire(some_run);
			order.worker = "life-1";
			order.repeated = repeated;
			runs.start(order);
		}

		boost::asio::io_context io{1};
		script lines;
		run_keeper runs{io, [this](endpoint) { return std::make_unique<scripted_worker>(io, lines); }, millis{5'000},
						pacing_policy{},
						[] {
						}};
		std::vector<wire::job_refusal> refused;
		std::vector<wire::job_end> ended;
		std::vector<wire::task_run> started;
	};

	inline listing_result listing_with_end(run_outcome how)
	{
		listing_result out{{order_end::done, 1'000}, {}};
		out.listing.ended.push_back({1, some_run, how, ""});
		return out;
	}
}
