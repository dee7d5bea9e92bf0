// SPDX-License-Identifier: MIT
/// \file
/// \brief Bounds on the time for which a long-running task may wait although a worker could run it; see
/// docs/design/idle-long-running.md.
#include "job_fixtures.hpp"
#include "job_term_fixture.hpp"
#include "run_manager_fixture.hpp"

using namespace trailjunction;
using namespace trailjunction::job_fixtures;

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
