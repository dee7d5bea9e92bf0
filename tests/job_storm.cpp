// SPDX-License-Identifier: MIT
/// \file
/// \brief Jobs through the real programs in a storm: no task runs twice, and each accepted job ends.
///
/// By hand, one process for each range of seeds; several may run at once:
///
///     TRAILJUNCTION_STORM_SEEDS=1-50 build/tests/trailjunction-tests "[.storm]"
///
/// A seed draws the faults and their times, the jobs and the workers, so it names a plan; how the programs meet it
/// differs from run to run. Each seed takes some 25 s. Besides:
///
/// - TRAILJUNCTION_STORM_MS: how long faults begin, 20000 without it. A shorter plan is the beginning of a longer one
///   of the same seed, with shorter long jobs.
/// - TRAILJUNCTION_STORM_PROGRAMS: a build folder whose programs are put to the test, such as that of an older state.
/// - TRAILJUNCTION_KEEP_LOGS: the logs of the programs stay in the folder for temporary files.
///
/// A failure prints the events of the storm, the calls to workers and the lines of the logs on the task, in order.
#include "job_storm.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <future>
#include <thread>

using namespace trailjunction;
using namespace trailjunction::testkit;

namespace
{
	constexpr int clients = 3;
	constexpr auto look_again = millis{10};
	/// Its runs take 500 each: six or ten at once.
	constexpr std::int64_t small_worker_milli = 3'000;
	constexpr std::int64_t large_worker_milli = 5'000;
	constexpr auto quick_stop = millis{50};
	constexpr int shortest_long_stop = 200;
	constexpr int longest_long_stop = 900;
	/// Longer than agents wait for the answer to a start.
	constexpr int shortest_slow_start = 420;
	constexpr int longest_slow_start = 800;

	storm_options options_of(std::uint64_t seed)
	{
		storm_options out;
		out.seed = seed;
		out.entries = 2 + static_cast<int>(seed % 2);
		out.workers = 3 + static_cast<int>(seed / 2 % 2);
		if (const char* text = std::getenv("TRAILJUNCTION_STORM_MS"); text != nullptr)
		{
			std::int64_t lasts = 0;
			REQUIRE(absl::SimpleAtoi(text, &lasts));
			out.lasts = millis{lasts};
		}
		constexpr std::uint64_t workers_of_one_kind = 4;
		if (seed % workers_of_one_kind != 1)
			return out;
		storm_dice dice{seed};
		for (int i = 0; i < out.workers; ++i)
			out.slow_starts.push_back(
				{dice.one_in(2) ? dice.time(shortest_slow_start, longest_slow_start) : millis{0}, {}});
		return out;
	}

	job_cluster_options cluster_of(const storm_options& options)
	{
		job_cluster_options out;
		out.programs = storm_programs();
		out.entries = options.entries;
		out.workers = options.workers;
		out.proxies = true;
		return out;
	}

	/// Workers that check their room, or do not, with quick or slow stops.
	void set_up_workers(job_cluster& system, const storm_options& options)
	{
		storm_dice dice{options.seed};
		const bool checks_room = !dice.one_in(4);
		const bool slow_stops = dice.one_in(2);
		const auto cpu_milli = dice.one_in(2) ? small_worker_milli : large_worker_milli;
		for (int i = 0; i < options.workers; ++i)
		{
			const auto stop_time = slow_stops ? dice.time(shortest_long_stop, longest_long_stop) : quick_stop;
			system.with_worker(i,
							   [&](worker_standin& worker)
							   {
								   worker.cpu_milli = cpu_milli;
								   worker.checks_room = checks_room;
								   worker.stop_time = stop_time;
								   if (!options.slow_starts.empty())
									   worker.faults.starts = options.slow_starts[static_cast<std::size_t>(i)];
							   });
		}
	}

	/// Acts out a storm. \returns What broke in it.
	std::optional<storm_finding> play(job_cluster& system, const storm_options& options,
									  std::vector<std::string>& events)
	{
		std::optional<storm_finding> found;
		const auto begin = steady_now();
		auto last_look = begin;
		constexpr auto look_every = millis{100};
		for (const auto& event : draw_storm(options))
		{
			while (!found && steady_now() < begin + event.at)
			{
				std::this_thread::sleep_for(look_again);
				if (steady_now() - last_look < look_every)
					continue;
				last_look = steady_now();
				found = find_double_run(system.all_begun());
			}
			if (found)
				return found;
			events.push_back(absl::StrCat(log_time(steady_now()), " ", event.what));
			event.act(system);
		}
		return found;
	}

	/// \returns What broke in the storm of a seed; empty where nothing did.
	std::string storm(const storm_options& options)
	{
		job_cluster system{cluster_of(options)};
		if (!system.wait_ready())
			return "not ready:\n" + system.logs();
		set_up_workers(system, options);
		std::atomic<bool> over{};
		std::vector<std::future<std::vector<storm_job>>> handed_in;
		for (int i = 0; i < clients; ++i)
			handed_in.push_back(std::async(std::launch::async, [&, i]
										   { return hand_in_jobs(system, options, i, [&] { return over.load(); }); }));
		std::vector<std::string> events;
		auto found = play(system, options, events);
		auto seen = found ? describe(system, *found, events) : std::string{};
		events.push_back(absl::StrCat(log_time(steady_now()), " all is well again"));
		end_storm(system, options);
		over = true;
		std::vector<storm_job> jobs;
		for (auto& some : handed_in)
			for (auto& job : some.get())
				jobs.push_back(std::move(job));
		if (found)
			return seen;
		found = find_unfinished(system, jobs);
		if (!found)
			found = find_double_run(system.all_begun());
		return found ? describe(system, *found, events) : std::string{};
	}

	std::string short_storm(std::uint64_t seed)
	{
		auto options = options_of(seed);
		options.lasts = millis{7'000};
		return storm(options);
	}

	/// The seeds of a text like `3-20`, or of one like `7`.
	std::pair<std::uint64_t, std::uint64_t> seeds_of(const char* text)
	{
		const std::string range{text == nullptr ? "1-10" : text};
		const auto dash = range.find('-');
		std::uint64_t first = 0;
		std::uint64_t last = 0;
		REQUIRE(absl::SimpleAtoi(range.substr(0, dash), &first));
		REQUIRE(absl::SimpleAtoi(dash == std::string::npos ? range : range.substr(dash + 1), &last));
		return {first, last};
	}
}

std::string testkit::storm_programs()
{
	const char* programs = std::getenv("TRAILJUNCTION_STORM_PROGRAMS");
	return programs == nullptr ? TRAILJUNCTION_PROGRAMS : programs;
}

TEST_CASE("no task runs twice in storms of many seeds, and each accepted job ends", "[.storm]")
{
	const auto [first, last] = seeds_of(std::getenv("TRAILJUNCTION_STORM_SEEDS"));
	for (auto seed = first; seed <= last; ++seed)
	{
		INFO("seed " << seed);
		const auto found = storm(options_of(seed));
		INFO(found);
		CHECK(found.empty());
	}
}

TEST_CASE("no task runs twice in a short storm, where refusals cross with repeated orders on slow links", "[process]")
{
	// An agent was paused just before orders went out to it, and its link was slow. It refused one as late and told so,
	// while its owner, which had read its full report, ordered the same run again.
	const auto found = short_storm(6);
	INFO(found);
	CHECK(found.empty());
}

TEST_CASE("no task runs twice in a short storm, where refused tasks go on to other workers", "[process]")
{
	// As above, and the store refused everything meanwhile: the first run was told to stop only when it was back, and
	// the task's next run began on another worker before that stop was over.
	const auto found = short_storm(30);
	INFO(found);
	CHECK(found.empty());
}

TEST_CASE("no task runs twice in a short storm, where owners and agents are paused in turn", "[process]")
{
	// An owner came back from a pause and dialled an agent that was paused by then. It ordered a run over that link;
	// the agent refused that order and carried out the second one, after its full report.
	const auto found = short_storm(33);
	INFO(found);
	CHECK(found.empty());
}
