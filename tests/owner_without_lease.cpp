// SPDX-License-Identifier: MIT
/// \file
/// \brief Orders of an owner whose lease is over: another member may own the jobs by then.
#include "job_term_fixture.hpp"

using namespace trailjunction;
using namespace trailjunction::job_term_fixture;

namespace
{
	constexpr const char* unknown_job = "00000000000000b1"; ///< Accepted and started by a successor.
	/// Longer than an agent needs to be dialled, claimed and answered.
	constexpr auto exchange_time = millis{1'000};

	wire::job_run running_run(const std::string& job)
	{
		wire::job_run out;
		out.what = to_wire(task_run{{job_id{job}, 0, 0, 0}, 1});
		return out;
	}

	/// An owner with one agent, which it has claimed.
	struct claiming_owner : scene
	{
		claiming_owner()
		{
			begin_term();
			REQUIRE(run_until([&] { return !agent.received_confirms.empty(); }));
		}

		void run_for(millis time)
		{
			const auto end = boottime_now() + time;
			while (boottime_now() < end)
				io.run_one_for(millis{10});
		}

		/// Cuts the owner off from the store until its lease is over.
		void outlive_lease()
		{
			store.faults.hold_commits = true;
			run_for(ownership_times_of(settings).lease + millis{200});
		}
	};
}

TEST_CASE("an owner without a lease does not claim an agent that has restarted", "[jobs]")
{
	// A restarted agent obeys any epoch. An owner that was cut off from the store claimed it before the successor did,
	// and stopped the tasks that the successor had started.
	claiming_owner owner;
	owner.outlive_lease();
	const auto claims = owner.agent.claim_count;
	owner.agent.full_report.running.push_back(running_run(unknown_job));
	owner.agent.close_link();
	owner.run_for(exchange_time);
	CHECK(owner.agent.claim_count == claims);
	CHECK(owner.agent.received_stops.empty());

	// The row has not changed meanwhile, so the owner renews its lease as soon as the store answers.
	owner.store.faults = {};
	REQUIRE(owner.run_until([&] { return owner.agent.claim_count > claims; }));
	CHECK(owner.run_until([&] { return owner.agent.received_stops.size() == 1; }));
}

TEST_CASE("an owner without a lease withholds the stop of an unknown run until it holds the lease again", "[jobs]")
{
	claiming_owner owner;
	owner.outlive_lease();
	auto report = report_of("life-1");
	report.full = false;
	report.running.push_back(running_run(unknown_job));
	owner.agent.full_report.running = report.running;
	owner.agent.send_report(report);
	owner.run_for(exchange_time);
	CHECK(owner.agent.received_stops.empty());
	// The agent does not report the run again by itself, since it has not changed.
	owner.store.faults = {};
	CHECK(owner.run_until([&] { return !owner.agent.received_stops.empty(); }));
}

TEST_CASE("an owner without a lease does not repeat starts", "[jobs]")
{
	claiming_owner owner;
	owner.submit(first_job, one_task());
	REQUIRE(owner.run_until([&] { return owner.agent.received_starts.size() == 1; }));
	owner.outlive_lease();
	owner.agent.send_report(report_of("life-1")); // full, and without the run
	owner.run_for(exchange_time);
	CHECK(owner.agent.received_starts.size() == 1);
	owner.store.faults = {};
	CHECK(owner.run_until([&] { return owner.agent.received_starts.size() == 2; }));
}

TEST_CASE("an owner that has released the row gives no orders while the store does not answer", "[jobs]")
{
	// The successor of a released row does not wait for the lease.
	claiming_owner owner;
	owner.store.faults.lost_responses = 1'000;
	owner.store.faults.unanswered_table = owner_table;
	owner.term->release();
	const auto is_released = [&]
	{
		const auto row = decode_ownership(owner.store.value(job_partition, owner_table, owner_key));
		return row.ok() && row->released;
	};
	REQUIRE(owner.run_until(is_released));
	auto report = report_of("life-1");
	report.running.push_back(running_run(unknown_job));
	owner.agent.send_report(report);
	owner.run_for(millis{300});
	CHECK(owner.agent.received_stops.empty());
}
