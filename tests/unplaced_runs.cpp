// SPDX-License-Identifier: MIT
/// \file
/// \brief A run that a late order has started, of a task whose next run is due: the two must not run at one time.
#include "job_term_fixture.hpp"

#include <trailjunction/jobs/unplaced_runs.hpp>

using namespace trailjunction;
using namespace trailjunction::job_term_fixture;

namespace
{
	constexpr std::uint64_t first_start_ms = 1'700'000'000'000;
	constexpr auto several_rounds = millis{600};

	task_run run_of_task(std::uint32_t run)
	{
		return {{job_id{first_job}, 0, 0, 0}, run};
	}

	wire::job_report report_of_incarnation(std::uint64_t start_ms)
	{
		auto out = report_of("life-1");
		set_worker(out, worker_incarnation{"life-1", worker_start_time{start_ms}});
		return out;
	}

	/// An owner whose agent took an unanswered start for not carried out, so that the task's second run was ordered.
	struct replaced_run_scene : scene
	{
		explicit replaced_run_scene(millis contact = millis{600'000})
		{
			settings.contact = contact;
			settings.longest_run_lease = 2 * contact;
			agent.full_report = report_of_incarnation(first_start_ms);
			begin_term();
			submit(first_job, one_task());
			REQUIRE(run_until([&] { return agent.received_starts.size() == 1; }));
			auto refusal = report_of_incarnation(first_start_ms);
			refusal.full = false;
			refusal.refused.push_back(to_wire(refused_run{run_of_task(1), start_refusal::never_started}));
			agent.send_report(refusal);
			REQUIRE(run_until([&] { return agent.received_starts.size() == 2; }));
		}

		[[nodiscard]] wire::job_report next_incarnation() const
		{
			return report_of_incarnation(first_start_ms + 5'000);
		}

		/// The worker restarts, and its next incarnation carries out the first order.
		void restart_with_first_run()
		{
			auto report = next_incarnation();
			report.running.push_back(to_wire(listed_run{run_of_task(1), "", 10, 0}));
			agent.send_report(report);
			REQUIRE(run_until([&] { return !agent.received_stops.empty(); }));
		}

		void run_for(millis time)
		{
			const auto end = boottime_now() + time;
			(void)run_until([&] { return boottime_now() >= end; });
		}
	};
}

TEST_CASE("a task does not start while another of its runs is being stopped", "[jobs]")
{
	replaced_run_scene test;
	test.restart_with_first_run();
	test.run_for(several_rounds);
	CHECK(test.agent.received_starts.size() == 2);

	auto report = test.next_incarnation();
	report.full = GENERATE(false, true);
	SECTION("it ends")
	{
		report.ended.push_back(to_wire(listed_end{1, run_of_task(1), run_outcome::stopped, ""}));
	}
	SECTION("it was never started")
	{
		report.refused.push_back(to_wire(refused_run{run_of_task(1), start_refusal::never_started}));
	}
	SECTION("the worker has lost it")
	{
		report.unlisted.push_back(to_wire(run_of_task(1)));
	}
	SECTION("the worker restarts again")
	{
		report = report_of_incarnation(first_start_ms + 9'000);
	}
	SECTION("the worker has ended")
	{
		report.draining = true;
		report.__set_lost(to_wire(lost_worker{worker_of(report), boottime_now(), {}, {}}, boottime_now()));
	}
	test.agent.send_report(report);
	if (report.draining)
		test.agent.send_report(report_of_incarnation(first_start_ms + 9'000));
	REQUIRE(test.run_until([&] { return test.agent.received_starts.size() == 3; }));
	CHECK(from_wire(test.agent.received_starts.back().what) == run_of_task(3));
}

TEST_CASE("a task starts once the lease of another of its runs has expired", "[jobs]")
{
	// Guards against a task that waits for good because of a worker that is no longer heard.
	replaced_run_scene test{millis{300}};
	test.restart_with_first_run();
	agent_standin other{test.io};
	other.full_report = report_of("life-9");
	stored::agent row;
	row.address = to_string(other.link_address());
	test.store.put(agent_partition, agents_table, "agent-2", encode_agent(row));
	test.agent.full_report.worker.clear(); // the agent is there again, and doesn't know its worker yet
	test.agent.close_link();
	CHECK(test.run_until([&] { return other.received_starts.size() == 1; }));
}

TEST_CASE("a listing shows that a refused run has started after all", "[jobs]")
{
	unplaced_runs known;
	update_unplaced_runs(known, {false, {run_of_task(1)}, {run_of_task(1)}});
	CHECK(known.contains(run_of_task(1)));
	update_unplaced_runs(known, {false, {}, {}});
	CHECK(known.size() == 1);
	update_unplaced_runs(known, {true, {run_of_task(2)}, {}});
	CHECK(known == unplaced_runs{run_of_task(2)});
	update_unplaced_runs(known, {false, {}, {run_of_task(2)}});
	CHECK(known.empty());
}
