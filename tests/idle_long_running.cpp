// SPDX-License-Identifier: MIT
/// \file
/// \brief Bounds on the time for which a long-running task may wait although a worker could run it; see
/// docs/design/idle-long-running.md.
#include "job_fixtures.hpp"
#include "job_term_fixture.hpp"
#include "run_manager_fixture.hpp"

using namespace trailjunction;
using namespace trailjunction::job_fixtures;

namespace
{
	task_group long_running_group(std::uint32_t count, std::int64_t cpu)
	{
		auto out = group_of(count, cpu);
		out.long_running = true;
		return out;
	}
}

// waiting, and kept from workers

namespace
{
	/// A worker on which runs of many jobs fail at a regular interval, and for how long it is avoided.
	struct failing_worker
	{
		void fail_until(instant end)
		{
			constexpr auto step = millis{10};
			for (; now < end; now += step)
			{
				if (now >= next_failure)
				{
					next_failure += interval;
					(void)record_run_end(trust, job_id{std::to_string(++failures)}, true, policy, now);
				}
				const bool avoided = now < trust.avoided_until;
				avoided_for = avoided ? avoided_for + step : millis{0};
				accepting_for = avoided ? millis{0} : accepting_for + step;
				longest_avoided = std::max(longest_avoided, avoided_for);
				longest_accepting =
					std::max(longest_accepting, now > start + policy.window ? accepting_for : millis{0});
			}
		}

		explicit failing_worker(millis failure_interval) : interval{failure_interval} {}

		trust_policy policy;
		millis interval;
		worker_trust trust;
		instant now{start};
		instant next_failure{start};
		int failures{};
		millis avoided_for{};
		millis accepting_for{};
		millis longest_avoided{};
		millis longest_accepting{}; ///< After the first window.
	};
}

TEST_CASE("a worker whose runs go on failing is avoided for one probation at a time", "[jobs]")
{
	// Guards against a worker, perhaps the only one of its service, that is avoided for as long as the runs that it
	// still has fail one after the other.
	failing_worker worker{GENERATE(millis{100}, millis{600}, millis{2'000})};
	worker.fail_until(start + std::chrono::seconds{60});
	CHECK(worker.longest_avoided > millis{0});
	CHECK(worker.longest_avoided <= worker.policy.probation);
	CHECK(worker.longest_accepting >= worker.interval);
}

TEST_CASE("a long-running filler waits for a harmless place for a limited time, also while its siblings run", "[jobs]")
{
	// Guards against a task that is kept from all workers for good because a sibling runs, which is no substitute.
	auto filler = long_running_group(2, 1'000);
	filler.filler = true;
	filler.image = "f";
	job_table table;
	add_job(table, job_of("batch", {group_of(1, 8'000)}));
	add_job(table, job_of("fillers", {filler}));
	assign(table, {job_id{"batch"}, 0, 0, 0}, worker_incarnation{"w1"}, start);
	assign(table, {job_id{"fillers"}, 0, 0, 0}, worker_incarnation{"w2"}, start);
	const task_key waiting{job_id{"fillers"}, 0, 0, 1};
	find_task(table, waiting)->phase_since = start;
	const auto place_at = [&](millis waited)
	{
		const placement_policy policy;
		const pressure_model pressures;
		std::vector<worker_room> rooms{room_of("w1")}; // its processors are all in use
		charge_workers(rooms, table, pressures, policy);
		return place_tasks(rooms, table, waiting_tasks(table, 0), pressures, policy, {start + waited, 0});
	};
	CHECK(place_at(millis{500}).empty());
	const auto placed = place_at(millis{2'000});
	REQUIRE(placed.size() == 1);
	CHECK(placed[0].task == waiting);
}

TEST_CASE("all long-running fillers that have waited for too long get a place, before those that have not", "[jobs]")
{
	auto filler = long_running_group(3, 1'000);
	filler.filler = true;
	filler.image = "f";
	job_table table;
	add_job(table, job_of("batch", {group_of(1, 8'000)}));
	add_job(table, job_of("fillers", {filler}));
	assign(table, {job_id{"batch"}, 0, 0, 0}, worker_incarnation{"w1"}, start);
	const auto now = start + std::chrono::seconds{10};
	find_task(table, {job_id{"fillers"}, 0, 0, 0})->phase_since = now;
	find_task(table, {job_id{"fillers"}, 0, 0, 1})->phase_since = start;
	find_task(table, {job_id{"fillers"}, 0, 0, 2})->phase_since = start;
	const placement_policy policy;
	const pressure_model pressures;
	std::vector<worker_room> rooms{room_of("w1")};
	charge_workers(rooms, table, pressures, policy);
	const auto placed = place_tasks(rooms, table, waiting_tasks(table, 0), pressures, policy, {now, 0});
	REQUIRE(placed.size() == 2);
	CHECK(placed[0].task.index == 1);
	CHECK(placed[1].task.index == 2);
}

TEST_CASE("a long-running task waits for a worker of its own for a limited time", "[jobs]")
{
	job_table table;
	add_job(table, job_of("batch", {group_of(1, 1'000)}));
	add_job(table, job_of("serving", {long_running_group(1, 1'000)}));
	assign(table, {job_id{"batch"}, 0, 0, 0}, worker_incarnation{"w1"}, start);
	const task_key waiting{job_id{"serving"}, 0, 0, 0};
	auto& task = *find_task(table, waiting);
	task.phase_since = start;
	task.crashes.blame = 1.0; // has to start alone
	find_task(table, {job_id{"batch"}, 0, 0, 0})->suspicion_at_start = suspicion::suspected;
	find_task(table, {job_id{"batch"}, 0, 0, 0})->crashes.blame = 0.2;
	const auto place_at = [&](millis waited)
	{
		const placement_policy policy;
		const pressure_model pressures;
		std::vector<worker_room> rooms{room_of("w1")};
		charge_workers(rooms, table, pressures, policy);
		return place_tasks(rooms, table, waiting_tasks(table, 0), pressures, policy, {start + waited, 0}).size();
	};
	const crash_policy policy;
	CHECK(place_at(policy.isolation_timeout_long_running - millis{1}) == 0);
	CHECK(place_at(policy.isolation_timeout_long_running) == 1);
}

TEST_CASE("a worker that refuses starts again and again is tried again within the longest pause", "[jobs]")
{
	worker_trust trust;
	const refusal_policy policy;
	auto now = start;
	for (int i = 0; i < 100; ++i)
	{
		record_refused_start(trust, policy, now);
		CHECK(trust.avoided_until - now <= policy.longest_pause);
		now = trust.avoided_until;
	}
	forget_refused_starts(trust);
	record_refused_start(trust, policy, now);
	CHECK(trust.avoided_until - now == policy.first_pause);
}

// owners that start nothing

TEST_CASE("an owner that alone hears nothing of evacuation requests releases the row", "[jobs]")
{
	// Guards against an owner that starts nothing for good, since a request may have been made that it does not know.
	job_term_fixture::scene test;
	test.begin_term();
	REQUIRE(test.run_until([&] { return !test.agent.received_confirms.empty(); }));
	const auto& table = test.evacuations.range.table;
	test.store.faults.silent_feed = table;
	test.store.faults.unanswered_table = table;
	REQUIRE(test.run_until([&] { return test.term_over; }));
	CHECK(test.term->handed_over());
	const auto row = decode_ownership(test.store.value(job_partition, owner_table, owner_key));
	REQUIRE(row.ok());
	CHECK(row->released);
}

namespace
{
	/// An owner that has heard of several agents, some of which it then reaches no longer.
	struct partitioned_owner : job_term_fixture::scene
	{
		explicit partitioned_owner(std::size_t others)
		{
			for (std::size_t i = 0; i < others; ++i)
			{
				other_agents.push_back(std::make_unique<testkit::agent_standin>(io));
				other_agents.back()->full_report = job_term_fixture::report_of("other-" + std::to_string(i));
				set_address(i, other_agents.back()->link_address());
			}
			begin_term();
			REQUIRE(run_until([&] { return !agent.received_confirms.empty() && has_confirmed_others(); }));
		}

		void cut_off_others()
		{
			for (std::size_t i = 0; i < other_agents.size(); ++i)
				set_address(i, endpoint{boost::asio::ip::address_v4::loopback(), 1}); // nobody listens there
		}

		void set_address(std::size_t other, const endpoint& address)
		{
			stored::agent row;
			row.address = to_string(address);
			store.put(agent_partition, agents_table, "other-" + std::to_string(other), encode_agent(row));
		}

		[[nodiscard]] bool has_confirmed_others() const
		{
			return std::none_of(other_agents.begin(), other_agents.end(),
								[](const auto& other) { return other->received_confirms.empty(); });
		}

		std::vector<std::unique_ptr<testkit::agent_standin>> other_agents;
	};
}

TEST_CASE("an owner that hears of fewer than half of its agents although the store answers releases the row", "[jobs]")
{
	// Guards against an owner that is cut off from other machines: it renews the row while all leases there expire.
	partitioned_owner test{2};
	test.cut_off_others();
	REQUIRE(test.run_until([&] { return test.term_over; }));
	CHECK(test.term->handed_over());
}

TEST_CASE("an owner that hears of half of its agents keeps the row", "[jobs]")
{
	partitioned_owner test{1};
	test.cut_off_others();
	const auto end = boottime_now() + std::chrono::seconds{9};
	(void)test.run_until([&] { return test.term_over || boottime_now() > end; });
	CHECK_FALSE(test.term_over);
}

TEST_CASE("an owner whose feed of agents is silent reads them and finds a new one", "[jobs]")
{
	// Guards against an owner that never places a task on the workers that have come since its feed fell silent.
	job_term_fixture::scene test;
	test.begin_term();
	REQUIRE(test.run_until([&] { return !test.agent.received_confirms.empty(); }));
	test.store.faults.silent_feed = agents_table;
	testkit::agent_standin added{test.io};
	stored::agent row;
	row.address = to_string(added.link_address());
	test.store.put(agent_partition, agents_table, "agent-2", encode_agent(row));
	CHECK(test.run_until([&] { return added.claim_count > 0; }));
}

// ordered, and neither started nor refused

namespace
{
	/// An agent whose worker answers listings while its clock advances, and leaves a start without an answer.
	struct unanswered_start : run_manager_fixture::fixture
	{
		unanswered_start()
		{
			script.on_start = []
			{
				return order_result{order_outcome::unknown, 0};
			};
			script.on_list = [this]
			{
				clock_ms += clock_step_ms;
				return listing_result{{order_outcome::done, clock_ms}, {}};
			};
		}

		static constexpr std::int64_t clock_step_ms = 100;
		std::int64_t clock_ms{1'000};
	};
}

TEST_CASE("a start without an answer is settled after its deadline, also if the worker refuses to stop the run",
		  "[jobs]")
{
	// Guards against a task that counts as ordered for as long as its worker refuses stops but answers listings.
	unanswered_start test;
	const auto outcome = GENERATE(order_outcome::unhealthy, order_outcome::invalid, order_outcome::unknown);
	test.script.on_stop = [outcome]
	{
		return order_result{outcome, 0};
	};
	test.order_start(GENERATE(false, true));
	REQUIRE(test.run_until_reported());
	REQUIRE(test.refused.size() == 1);
	CHECK(from_wire(test.refused[0].what) == run_manager_fixture::some_run);
	CHECK(test.clock_ms > 2'500); // no earlier than the deadline of the start, on the worker's clock
}

// stored by one owner, and read by the next

TEST_CASE("a new owner reserves a worker for a run that was started beside others for a limited time", "[jobs]")
{
	// A successor does not know how the run was started, so nothing else starts on its worker until it has lasted.
	job_table table;
	add_job(table, job_of("serving", {long_running_group(1, 1'000)}));
	const task_key key{job_id{"serving"}, 0, 0, 0};
	auto& task = *find_task(table, key);
	task.phase_since = start;
	add_crash(task.crashes, worker_incarnation{"w0"}, millis{1'000}, {millis{1'000}, millis{1'000}}, 1.0);
	const crash_policy policy;
	const auto run_id = assign(table, key, worker_incarnation{"w1"}, start + policy.isolation_timeout_long_running);
	const auto is_reserved = [](const job_table& jobs)
	{
		std::vector<worker_room> rooms{room_of("w1")};
		charge_workers(rooms, jobs, pressure_model{}, placement_policy{});
		return rooms[0].reserved;
	};
	REQUIRE_FALSE(is_reserved(table));
	const auto taken_over = start + std::chrono::seconds{10};
	auto successor = successor_of(table, taken_over);
	CHECK(is_reserved(successor));
	confirm_run(successor, run_id, taken_over);
	CHECK(lift_blame(successor, run_id, policy, taken_over + policy.lift_blame_after));
	CHECK_FALSE(is_reserved(successor));
}
