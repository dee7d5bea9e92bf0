// SPDX-License-Identifier: MIT
/// \file
/// \brief A worker that restarts under the id that it had: all its counts begin anew.
#include "run_manager_fixture.hpp"

#include <trailjunction/platform/heartbeat_handler.hpp>

#include <absl/strings/str_format.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

using namespace trailjunction;

namespace
{
	/// Heartbeat contents that differ between the tests.
	struct heartbeat_fields
	{
		std::int64_t start_ms{1'800'000'000'000}; ///< Unix time of the worker's start.
		std::int64_t clock_ms{482'113};
		std::int64_t sequence{57};
		std::int64_t cpu_milli{8'000};
		std::string state{"ready"};
	};

	constexpr std::int64_t later_start_ms = 1'800'000'500'000;

	/// The first heartbeat of the incarnation after that of the default heartbeat_fields.
	heartbeat_fields first_of_next_incarnation()
	{
		heartbeat_fields out;
		out.start_ms = later_start_ms;
		out.clock_ms = 900;
		out.sequence = 1;
		return out;
	}

	std::string body_of(const heartbeat_fields& fields)
	{
		return absl::StrFormat(
			R"({"service":"tally","address":"127.0.0.1:9","zone":"z","version":"v1","slots":8,"state":"%s","coldLeftMs":0,)"
			R"("capacity":{"cpu":%d,"memMb":16000,"gpus":0},"labels":["a","r1-1"],"clockMs":%d,"seq":%d,"born":%d})",
			fields.state, fields.cpu_milli, fields.clock_ms, fields.sequence, fields.start_ms);
	}

	/// A run_manager that gets its heartbeats as the worker sends them; the worker's answers are scripted.
	struct agent_fixture
	{
		void put_heartbeat(const heartbeat_fields& fields)
		{
			bool answered = false;
			boost::asio::co_spawn(
				io,
				[&]() -> boost::asio::awaitable<void>
				{
					http_request request{"PUT", "/instances/i-1", {}, body_of(fields)};
					const auto response = co_await handler(std::move(request));
					CHECK(response.status == 200);
					answered = true;
				},
				boost::asio::detached);
			REQUIRE(run_until([&] { return answered; }));
		}

		/// Waits until a listing that began after this call has been applied.
		void await_listing()
		{
			const auto before = script.listings;
			REQUIRE(run_until([&] { return script.listings > before + 2; }));
		}

		/// Registers the worker and gives it a lease.
		void begin_first_incarnation(const heartbeat_fields& fields)
		{
			script.on_list = [fields]
			{
				return listing_result{{order_outcome::done, fields.clock_ms + 1}, {}};
			};
			runs.set_lease(millis{5'000});
			put_heartbeat(fields);
			await_listing();
			confirm(0);
		}

		void begin_next_incarnation(const heartbeat_fields& fields, const worker_listing& listing = {})
		{
			script.on_list = [fields, listing]
			{
				return listing_result{{order_outcome::done, fields.clock_ms + 1}, listing};
			};
			put_heartbeat(fields);
			await_listing();
		}

		void confirm(std::int64_t ends_kept)
		{
			wire::job_confirm confirmation;
			confirmation.worker = "i-1";
			confirmation.stamp_ms = runs.report(true).stamp_ms;
			confirmation.ends_kept = ends_kept;
			runs.confirm(confirmation);
		}

		void order_start(const task_run& run_id, std::int64_t cpu_milli)
		{
			wire::job_start order;
			order.what = to_wire(run_id);
			order.worker = "i-1";
			order.claim.cpu_milli = cpu_milli;
			runs.start(order);
		}

		template <typename Until>
		bool run_until(Until until)
		{
			const auto end = boottime_now() + run_manager_fixture::longest_wait;
			while (!until() && boottime_now() < end)
				io.run_one_for(millis{10});
			return until();
		}

		boost::asio::io_context io{1};
		run_manager_fixture::worker_script script;
		run_manager runs{
			io, [this](endpoint) { return std::make_unique<run_manager_fixture::scripted_worker>(io, script); },
			millis{5'000}, pacing_policy{},
			[] {
			}};
		http_server::handler handler{platform::make_heartbeat_handler({[this](worker_heartbeat heartbeat)
																	   { runs.on_heartbeat(std::move(heartbeat)); },
																	   [this](worker_incarnation incarnation)
																	   {
																		   runs.on_worker_leaving(incarnation);
																	   }})};
	};

	const task_run first_run{{job_id{"00000000000000a1"}, 0, 0, 0}, 1};
	const task_run other_run{{job_id{"00000000000000b2"}, 0, 0, 0}, 1};
}

TEST_CASE("the capacity in a restarted worker's first heartbeat replaces that of its former incarnation", "[jobs]")
{
	// Guards against heartbeats that are ignored because their sequence numbers begin anew.
	agent_fixture test;
	heartbeat_fields before;
	before.cpu_milli = 1'000;
	test.begin_first_incarnation(before);
	test.begin_next_incarnation(first_of_next_incarnation());
	CHECK(test.runs.report(true).capacity.cpu_milli == 8'000);
}

TEST_CASE("a restarted worker takes starts for as long as it sends heartbeats", "[jobs]")
{
	// Guards against starts that are refused for lack of room because the last heartbeat counts as too old.
	agent_fixture test;
	test.begin_first_incarnation({});
	auto heartbeat = first_of_next_incarnation();
	test.begin_next_incarnation(heartbeat);
	constexpr auto longer_than_capacity_is_known = millis{3'500};
	const auto end = boottime_now() + longer_than_capacity_is_known;
	while (boottime_now() < end)
	{
		++heartbeat.sequence;
		test.put_heartbeat(heartbeat);
		const auto next = boottime_now() + millis{200};
		(void)test.run_until([&] { return boottime_now() >= next; });
	}
	test.confirm(0);
	test.order_start(first_run, 500);
	std::vector<wire::job_refusal> refused;
	REQUIRE(test.run_until(
		[&]
		{
			const auto report = test.runs.report(false);
			refused.insert(refused.end(), report.refused.begin(), report.refused.end());
			return !refused.empty() || test.script.starts > 0;
		}));
	CHECK(refused.empty());
	CHECK(test.script.starts == 1);
}

TEST_CASE("an end in a worker's next incarnation is reported although its number was acknowledged before", "[jobs]")
{
	// Guards against runs that count as running for good because their ends are taken for known.
	agent_fixture test;
	test.begin_first_incarnation({});
	test.confirm(57);
	worker_listing listing;
	listing.ended.push_back({1, other_run, run_outcome::failed, ""});
	test.begin_next_incarnation(first_of_next_incarnation(), listing);
	CHECK(test.runs.report(true).ended.size() == 1);
}

TEST_CASE("a worker that restarts after it has drained is neither draining nor lost", "[jobs]")
{
	// Guards against a report that makes the owner give up the runs of the worker that has returned.
	agent_fixture test;
	test.begin_first_incarnation({});
	test.runs.on_worker_leaving(worker_incarnation{"i-1"});
	test.script.on_list = []
	{
		return listing_result{{order_outcome::no_listener, 0}, {}};
	};
	bool loss_reported = false;
	REQUIRE(test.run_until([&] { return loss_reported = loss_reported || test.runs.report(false).__isset.lost; }));
	worker_listing listing;
	listing.running.push_back({other_run, "", 10, 0});
	test.begin_next_incarnation(first_of_next_incarnation(), listing);
	(void)test.runs.report(false); // may still contain the loss of the former incarnation
	const auto report = test.runs.report(true);
	CHECK(report.running.size() == 1);
	CHECK_FALSE(report.draining);
	CHECK_FALSE((report.__isset.lost && worker_of(report.lost) == worker_of(report)));
}

TEST_CASE("a worker's next incarnation gets no lease before its owner confirms one", "[jobs]")
{
	// Guards against runs that outlive the lease that their owner counts: the former incarnation's clock was higher.
	agent_fixture test;
	test.begin_first_incarnation({});
	test.await_listing();
	REQUIRE(test.script.deadline_ms > 482'113);
	test.begin_next_incarnation(first_of_next_incarnation());
	CHECK(test.script.deadline_ms == 0);
}

TEST_CASE("an agent that restarts beside a restarted worker has no lower fencing token than its predecessor", "[jobs]")
{
	// Guards against an agent that the worker refuses because its predecessor's orders reached this incarnation.
	agent_fixture predecessor;
	predecessor.begin_first_incarnation({});
	agent_fixture successor;
	successor.begin_first_incarnation(first_of_next_incarnation());
	CHECK(successor.script.fencing_tokens.back() >= predecessor.script.fencing_tokens.back());
}
