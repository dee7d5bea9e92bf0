// SPDX-License-Identifier: MIT
/// \file
/// \brief Under overload core-seconds go where they bring most.
#include "job_fixtures.hpp"

#include <catch2/catch.hpp>

#include <map>

using namespace trailjunction;
using namespace trailjunction::job_tests;

namespace
{
	/// A merge in two groups of 1.7 s each, which may take twice its chain and a second more.
	job_progress merge_at(millis age, millis rest)
	{
		return {age, millis{3'400}, rest, 2.0, millis{1'000}};
	}

	constexpr usual_work usual{100.0, 200.0};
}

TEST_CASE("the chance to be in time falls with a job's age and rises with what is done", "[jobs]")
{
	const millis whole{3'400};
	const millis half{1'700};
	CHECK(chance_in_time(merge_at(millis{0}, whole)) == 1.0);
	CHECK(chance_in_time(merge_at(millis{2'000}, whole)) > 0.9);
	CHECK(chance_in_time(merge_at(millis{6'000}, whole)) < 0.1);
	CHECK(chance_in_time(merge_at(millis{5'000}, half)) > chance_in_time(merge_at(millis{5'000}, whole)));
	CHECK(objective_of(merge_at(millis{0}, whole)) == millis{7'800});
}

TEST_CASE("work goes to jobs that can be in time, and first to those nearly done", "[jobs]")
{
	const millis whole{3'400};
	const auto fresh = merit_of(merge_at(millis{0}, whole), 200.0, 200.0, usual);
	const auto past_help = merit_of(merge_at(millis{9'000}, whole), 200.0, 200.0, usual);
	CHECK(past_help < fresh / 5);
	CHECK(merit_of(merge_at(millis{2'000}, whole), 800.0, 100.0, usual) > fresh);
	CHECK(merit_of(merge_at(millis{0}, whole), 50.0, 50.0, usual) > fresh); // small ones first
	CHECK(merit_of(merge_at(millis{0}, whole), 800.0, 800.0, usual) < fresh);
	CHECK(merit_of(merge_at(millis{0}, whole), 0.0, 0.0, {}) > 0.0); // nothing known of the queue
}

// A burst brings more work than there is room for: jobs that have waited too long gave way too late before, and kept
// fresh ones waiting until these were late as well.
TEST_CASE("in a burst more jobs are in time than by the least work left", "[jobs]")
{
	// One worker that runs one task at a time, and jobs of one task of 1 s that come every 0.7 s.
	constexpr int jobs = 40;
	const auto in_time = [](auto goes_first)
	{
		int out = 0;
		std::map<int, millis> waiting; // job: when it came
		millis now{0};
		for (int next = 0; next < jobs || !waiting.empty();)
		{
			while (next < jobs && millis{700 * next} <= now)
			{
				waiting[next] = millis{700 * next};
				++next;
			}
			if (waiting.empty())
			{
				now += millis{100};
				continue;
			}
			const auto chosen = goes_first(waiting, now);
			now += millis{1'000};
			out += now - waiting[chosen] <= millis{2'000} ? 1 : 0;
			waiting.erase(chosen);
		}
		return out;
	};
	const auto first_come = [](const std::map<int, millis>& waiting, millis)
	{
		return waiting.begin()->first;
	};
	const auto by_merit = [](const std::map<int, millis>& waiting, millis now)
	{
		const auto merit = [&](millis came)
		{
			return merit_of({now - came, millis{1'000}, millis{1'000}, 1.5, millis{500}}, 8.0, 8.0, {10.0, 8.0});
		};
		int best = waiting.begin()->first;
		for (const auto& [job, came] : waiting)
			if (merit(came) > merit(waiting.at(best)))
				best = job;
		return best;
	};
	const auto by_turn = in_time(first_come); // of equal jobs, the least work left is the one that came first
	CHECK(in_time(by_merit) > 3 * by_turn);
}
