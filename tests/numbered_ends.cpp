// SPDX-License-Identifier: MIT
/// \file
/// \brief The numbers up to which an owner tells an agent that ends are stored.
#include "job_term_fixture.hpp"

using namespace trailjunction;
using namespace trailjunction::job_term_fixture;

namespace
{
	constexpr const char* second_job = "00000000000000b2";

	task_run run_of(const char* job)
	{
		return {{job_id{job}, 0, 0, 0}, 1};
	}

	wire::job_report report_of_end(std::int64_t number, const task_run& run_id)
	{
		auto out = report_of("life-1");
		out.ended.push_back(to_wire(listed_end{number, run_id, run_outcome::done, ""}));
		return out;
	}

	/// Sends regular reports until the owner confirms that ends up to this number are stored.
	bool await_confirmation(scene& test, std::int64_t number)
	{
		auto regular = report_of("life-1");
		regular.full = false;
		auto next = boottime_now();
		return test.run_until(
			[&]
			{
				if (boottime_now() >= next)
				{
					test.agent.send_report(regular);
					next = boottime_now() + millis{300};
				}
				const auto& confirms = test.agent.received_confirms;
				return !confirms.empty() && confirms.back().ends_kept == number;
			});
	}
}

TEST_CASE("an end in a full report is not confirmed as stored by a number of an earlier report", "[jobs]")
{
	// Guards against an end that is acknowledged and lost with its owner: the agent and its worker have restarted, and
	// the worker states the start time of its former incarnation.
	constexpr std::int64_t former_number = 5;
	scene test;
	test.begin_term();
	test.submit(first_job, one_task());
	REQUIRE(test.run_until([&] { return test.agent.received_starts.size() == 1; }));
	auto report = report_of_end(former_number, run_of(first_job));
	report.full = false;
	test.agent.send_report(report);
	REQUIRE(await_confirmation(test, former_number));

	test.submit(second_job, one_task());
	REQUIRE(test.run_until([&] { return test.agent.received_starts.size() == 2; }));
	test.agent.full_report = report_of_end(1, run_of(second_job));
	const auto confirms = test.agent.received_confirms.size();
	test.agent.close_link();
	REQUIRE(test.run_until([&] { return test.agent.received_confirms.size() > confirms; }));
	CHECK(test.agent.received_confirms[confirms].ends_kept == 0);
	REQUIRE(await_confirmation(test, 1));
	CHECK(test.stored_job(second_job).status == job_status::completed);
}
