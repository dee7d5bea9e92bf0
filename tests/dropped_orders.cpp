// SPDX-License-Identifier: MIT
/// \file
/// \brief Runs that were placed on a worker that crashed, and whose orders never reached it.
#include "job_fixtures.hpp"

#include <trailjunction/jobs/job_crashes.hpp>

using namespace trailjunction;
using namespace trailjunction::job_fixtures;

TEST_CASE("a run that its agent has not given to the worker is not suspected of having crashed it", "[jobs]")
{
	// Guards against a long-running task that is given up for good although its runs were never on the workers.
	job_table table;
	add_job(table, job_of("a", {group_of(2, 500)}));
	const worker_incarnation worker{"i-1"};
	const auto given = assign(table, {job_id{"a"}, 0, 0, 0}, worker, start);
	const auto dropped = assign(table, {job_id{"a"}, 0, 0, 1}, worker, start);
	lost_worker lost{worker, start + millis{100}, {}, {}};
	lost.reported_ages[given] = {millis{50}, millis{80}};
	const bool is_reported = GENERATE(true, false);
	lost.ages_reported = is_reported;
	for (const auto& run : collect_lost_runs(table, lost, true, crash_policy{}))
	{
		if (run.run_id == given)
			CHECK(run.age.has_value());
		if (run.run_id == dropped)
			CHECK(run.age.has_value() == !is_reported);
	}
}
