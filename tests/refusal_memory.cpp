// SPDX-License-Identifier: MIT
/// \file
/// \brief What an agent remembers of its refusals.
#include <trailjunction/jobs/refusal_memory.hpp>

#include <catch2/catch.hpp>

using namespace trailjunction;

namespace
{
	task_run run_of(std::uint32_t index, std::uint32_t run)
	{
		return {{job_id{"00000000000000a1"}, 0, 0, index}, run};
	}
}

TEST_CASE("a refusal forbids its run and those before it, and no later one", "[jobs]")
{
	refusal_memory memory;
	note_refusal(memory, {run_of(0, 2), start_refusal::no_room});
	CHECK(refusal_of(memory, run_of(0, 2)) == start_refusal::no_room);
	CHECK(refusal_of(memory, run_of(0, 1)) == start_refusal::superseded);
	CHECK(refusal_of(memory, run_of(0, 3)) == std::nullopt);
	CHECK(refusal_of(memory, run_of(1, 2)) == std::nullopt);
	note_refusal(memory, {run_of(0, 1), start_refusal::unhealthy}); // told late
	CHECK(refusal_of(memory, run_of(0, 2)) == start_refusal::no_room);
	note_refusal(memory, {run_of(0, 3), start_refusal::unhealthy});
	CHECK(refusal_of(memory, run_of(0, 3)) == start_refusal::unhealthy);
}

TEST_CASE("a task that was refused again just now is not the next to be forgotten", "[jobs]")
{
	// Tasks were forgotten in the order of their first refusals, so that of a task that is refused now and then the
	// latest refusal, the only one that an order may still be behind, could go first.
	refusal_memory memory;
	for (std::uint32_t i = 0; i < most_refusals; ++i)
		note_refusal(memory, {run_of(i, 1), start_refusal::no_room});
	note_refusal(memory, {run_of(0, 2), start_refusal::no_room});
	note_refusal(memory, {run_of(most_refusals, 1), start_refusal::no_room});
	CHECK(refusal_of(memory, run_of(0, 2)) != std::nullopt);
	CHECK(refusal_of(memory, run_of(1, 1)) == std::nullopt);
	CHECK(memory.latest.size() == most_refusals);
}

TEST_CASE("of many refusals the oldest are forgotten", "[jobs]")
{
	refusal_memory memory;
	for (std::uint32_t i = 0; i <= most_refusals; ++i)
		note_refusal(memory, {run_of(i, 1), start_refusal::no_room});
	CHECK(memory.latest.size() == most_refusals);
	CHECK(refusal_of(memory, run_of(0, 1)) == std::nullopt);
	CHECK(refusal_of(memory, run_of(1, 1)) != std::nullopt);
	CHECK(refusal_of(memory, run_of(most_refusals, 1)) != std::nullopt);
}
