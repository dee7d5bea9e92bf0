// SPDX-License-Identifier: MIT
/// \file
/// \brief How an agent recognises a restarted worker that states the start time of its former incarnation.
#include "../packages/agent/src/process/listing_memory.hpp"
#include "../packages/agent/src/process/unlisted_runs.hpp"

#include <catch2/catch.hpp>

using namespace trailjunction;

namespace
{
	constexpr std::int64_t clock_ms = 5'000;

	task_run run_of(const char* job)
	{
		return {{job_id{job}, 0, 0, 0}, 1};
	}

	const task_run some_run = run_of("00000000000000a1");
	const task_run other_run = run_of("00000000000000b2");

	listing_result listing_with(std::int64_t at_ms, std::vector<listed_end> ends)
	{
		listing_result out{{order_outcome::done, at_ms}, {}};
		out.listing.ended = std::move(ends);
		return out;
	}

	listing_memory memory_of(const std::vector<std::vector<listed_end>>& listings)
	{
		listing_memory out;
		for (const auto& ends : listings)
			record_listing(out, listing_with(clock_ms, ends).listing);
		return out;
	}

	listed_end done(std::int64_t number, const task_run& run_id)
	{
		return {number, run_id, run_outcome::done, ""};
	}
}

TEST_CASE("a listing whose clock is behind an earlier answer is of another incarnation", "[jobs]")
{
	const listing_memory memory;
	CHECK(shows_restart(memory, clock_ms, listing_with(clock_ms - 1, {})));
	CHECK_FALSE(shows_restart(memory, clock_ms, listing_with(clock_ms, {})));
	CHECK_FALSE(shows_restart(memory, clock_ms, listing_with(clock_ms + 1, {})));
	CHECK_FALSE(shows_restart(memory, 0, listing_with(1, {})));

	const listing_result refused{{order_outcome::fenced, clock_ms - 1}, {}};
	CHECK(shows_restart(memory, clock_ms, refused));
	const listing_result unanswered{{order_outcome::unknown, 0}, {}};
	CHECK_FALSE(shows_restart(memory, clock_ms, unanswered));
}

TEST_CASE("an end whose number has been used is of another incarnation", "[jobs]")
{
	// The end of the former incarnation was acknowledged, and is listed no more.
	const auto acknowledged = memory_of({{done(1, some_run)}, {}});
	CHECK(shows_restart(acknowledged, clock_ms, listing_with(clock_ms, {done(1, other_run)})));
	CHECK_FALSE(shows_restart(acknowledged, clock_ms, listing_with(clock_ms, {done(2, other_run)})));

	const auto still_listed = memory_of({{done(1, some_run)}});
	CHECK(shows_restart(still_listed, clock_ms, listing_with(clock_ms, {done(1, other_run)})));
	CHECK_FALSE(shows_restart(still_listed, clock_ms, listing_with(clock_ms, {done(1, some_run)})));
	CHECK_FALSE(shows_restart(still_listed, clock_ms, listing_with(clock_ms, {done(1, some_run), done(2, other_run)})));
}

TEST_CASE("an end that a full listing may have left out is of the same incarnation", "[jobs]")
{
	std::vector<listed_end> later_ends;
	for (std::size_t i = 0; i < max_listed_ends; ++i)
		later_ends.push_back(done(static_cast<std::int64_t>(i) + 2, some_run));
	CHECK_FALSE(shows_restart(memory_of({later_ends}), clock_ms, listing_with(clock_ms, {done(1, other_run)})));
}
