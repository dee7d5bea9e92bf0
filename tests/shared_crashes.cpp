// SPDX-License-Identifier: MIT
/// \file
/// \brief Tests of crashes of several workers at the same time (correlated crashes). Pure functions, no processes.
///
/// Guards against giving up harmless tasks, and failing their jobs, after four workers in a row have crashed under each
/// of them together with many other workers.
#include "job_fixtures.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace trailjunction;
using namespace trailjunction::job_fixtures;

namespace
{
	constexpr crash_policy policy{};
	const task_key some_task{job_id{"a"}, 0, 0, 0};

	/// When the crash under some_task is reported, relative to the crashes of other workers at the same time.
	enum class report_order
	{
		first,
		last,
		first_with_silence, ///< First, and the other workers are known to be silent.
	};

	job_table table_of(std::uint32_t count, bool long_running = true)
	{
		job_table table;
		auto group = group_of(count, 100);
		group.long_running = long_running;
		add_job(table, job_of("a", {group}));
		return table;
	}

	void crash(job_table& table, const lost_worker& worker, instant now)
	{
		(void)record_worker_crash(table, worker, policy);
		for (const auto& run : collect_lost_runs(table, worker, true, policy))
			(void)record_lost_run(table, run, worker.incarnation, policy, now);
	}

	worker_incarnation other_worker(int wave, int number)
	{
		return worker_incarnation{"other" + std::to_string(wave) + "-" + std::to_string(number)};
	}

	void crash_others(job_table& table, int wave, int count, instant now)
	{
		for (int i = 0; i < count; ++i)
			crash(table, {other_worker(wave, i), now, {}, {}}, now);
	}

	/// Between a crash and the next start: outside the correlation window, and within the isolation timeout.
	constexpr auto restart_pause = millis{1'200};

	/// Starts some_task and crashes its worker after \p age, and \p others other workers at the same time.
	void start_and_crash(job_table& table, int wave, millis age, int others, report_order order)
	{
		const worker_incarnation incarnation{"w" + std::to_string(wave)};
		const auto started_at = find_task(table, some_task)->phase_since + restart_pause;
		const auto run_id = assign(table, some_task, incarnation, started_at);
		confirm_run(table, run_id, started_at + std::min(age, millis{200}));
		const auto crashed_at = started_at + age;
		if (order == report_order::last)
			crash_others(table, wave, others, crashed_at);
		std::vector<worker_incarnation> silent;
		for (int i = 0; order == report_order::first_with_silence && i < others; ++i)
			silent.push_back(other_worker(wave, i));
		crash(table, {incarnation, crashed_at, std::move(silent), {}}, crashed_at);
		if (order != report_order::last)
			crash_others(table, wave, others, crashed_at);
	}

	/// Whether the job has failed or, if its tasks are long-running, all of them are held back.
	bool is_given_up(const job_table& table)
	{
		const auto& job = *find_job(table, some_task.job);
		return job.status == job_status::failed || table.held_back.size() == job.tasks.size();
	}
}

TEST_CASE("a task that had run for long is not given up for correlated crashes, however many", "[jobs]")
{
	const auto order = GENERATE(report_order::first, report_order::last, report_order::first_with_silence);
	const bool new_owners = GENERATE(false, true);
	auto table = table_of(1);
	int wave = 0;
	for (const int age : {8'900, 4'900, 1'400, 1'200, 300, 1'200, 900, 1'400, 100, 1'200})
	{
		start_and_crash(table, wave++, millis{age}, 2, order);
		if (new_owners)
			table = successor_of(table, find_task(table, some_task)->phase_since);
		INFO("after the crash at an age of " << age);
		REQUIRE_FALSE(is_given_up(table));
	}
	CHECK(find_task(table, some_task)->crashes.workers.size() <= 2);
}

TEST_CASE("a run that got older than any suspected run exonerates its task", "[jobs]")
{
	auto table = table_of(1);
	start_and_crash(table, 0, millis{15'000}, 2, report_order::last);
	for (int wave = 1; wave < 10; ++wave)
		start_and_crash(table, wave, millis{1'200}, 2, report_order::last);
	CHECK_FALSE(is_given_up(table));
}

TEST_CASE("a crash together with only one other worker counts as usual", "[jobs]")
{
	auto table = table_of(1, GENERATE(false, true));
	int starts = 0;
	for (; starts < 10 && !is_given_up(table); ++starts)
		start_and_crash(table, starts, millis{4'000}, 1, report_order::last);
	CHECK(starts == static_cast<int>(policy.max_crashes));
}

TEST_CASE("a task that crashes its worker at once is given up even if other workers crash at the same time", "[jobs]")
{
	const auto order = GENERATE(report_order::first, report_order::last, report_order::first_with_silence);
	const bool new_owners = GENERATE(false, true);
	const auto age = GENERATE(millis{0}, millis{10}, millis{400});
	auto table = table_of(1, GENERATE(false, true));
	int starts = 0;
	for (; starts < 10 && !is_given_up(table); ++starts)
	{
		start_and_crash(table, starts, age, 5, order);
		if (new_owners)
			table = successor_of(table, find_task(table, some_task)->phase_since);
	}
	CHECK(starts == static_cast<int>(policy.max_prompt_crashes));
}

TEST_CASE("tasks that crash their workers at the same time are given up", "[jobs]")
{
	constexpr std::uint32_t count = 10;
	const auto age = GENERATE(millis{0}, millis{10}, millis{700}, millis{4'000});
	const bool new_owners = GENERATE(false, true);
	auto table = table_of(count, GENERATE(false, true));
	int starts = 0;
	for (; starts < 10 && !is_given_up(table); ++starts)
	{
		const auto started_at = start + starts * (age + restart_pause);
		const auto crashed_at = started_at + age;
		const auto incarnation_of = [&](std::uint32_t i)
		{
			return worker_incarnation{"w" + std::to_string(i) + "+" + std::to_string(starts)};
		};
		for (std::uint32_t i = 0; i < count; ++i)
			confirm_run(table, assign(table, {job_id{"a"}, 0, 0, i}, incarnation_of(i), started_at),
						started_at + std::min(age, millis{200}));
		if (new_owners)
			table = successor_of(table, started_at);
		for (std::uint32_t i = 0; i < count; ++i)
			crash(table, {incarnation_of(i), crashed_at, {}, {}}, crashed_at);
	}
	CHECK(starts <= static_cast<int>(policy.max_colocated_crashes));
	if (age <= policy.prompt_age)
		CHECK(starts == static_cast<int>(policy.max_prompt_crashes));
}

TEST_CASE("a delayed start does not exonerate its task", "[jobs]")
{
	// A slow store delays every second start: the run is ordered 3 s before it begins, and crashes its worker at once.
	auto table = table_of(1, GENERATE(false, true));
	int starts = 0;
	for (; starts < 10 && !is_given_up(table); ++starts)
	{
		const worker_incarnation incarnation{"w" + std::to_string(starts)};
		const auto started_at = find_task(table, some_task)->phase_since + restart_pause;
		(void)assign(table, some_task, incarnation, started_at);
		const auto crashed_at = started_at + (starts % 2 == 0 ? millis{3'000} : millis{10});
		crash_others(table, starts, 3, crashed_at);
		crash(table, {incarnation, crashed_at, {}, {}}, crashed_at);
	}
	CHECK(starts <= static_cast<int>(policy.max_colocated_crashes));
}

TEST_CASE("the ages of runs at crashes are kept across a change of owner", "[jobs]")
{
	auto table = table_of(1);
	start_and_crash(table, 0, millis{4'000}, 2, report_order::first);
	const auto next = successor_of(table, start);
	const auto& record = find_task(next, some_task)->crashes;
	CHECK(record.longest_survived == millis{3'800});
	CHECK(record.earliest_crash == millis{4'000});
	CHECK(record.correlated == std::vector{worker_incarnation{"w0"}});
}

TEST_CASE("retracting a crash does not affect the crashes of other workers", "[jobs]")
{
	auto table = table_of(1);
	start_and_crash(table, 0, millis{4'000}, 1, report_order::first);
	CHECK(retract_crash(table, some_task, worker_incarnation{"w0"}));
	CHECK(table.crashes.entries.size() == 1);
	CHECK(find_task(table, some_task)->crashes.workers.empty());
}

TEST_CASE("a new owner uses the ages that agents report", "[jobs]")
{
	auto table = table_of(1);
	for (int wave = 0; wave < 8; ++wave)
	{
		const auto started_at = find_task(table, some_task)->phase_since + restart_pause;
		const auto run_id = assign(table, some_task, worker_incarnation{"w" + std::to_string(wave)}, started_at);
		const auto age = wave == 0 ? millis{8'000} : millis{900};
		const auto crashed_at = started_at + age;
		table = successor_of(table, crashed_at);
		crash_others(table, wave, 3, crashed_at);
		crash(table, {find_task(table, some_task)->worker, crashed_at, {}, {{run_id, {age - millis{100}, age}}}},
			  crashed_at);
	}
	CHECK_FALSE(is_given_up(table));
	CHECK(find_task(table, some_task)->crashes.longest_survived == millis{7'900});
}

TEST_CASE("the age of a run excludes the time for which its order waited for the store", "[jobs]")
{
	auto table = table_of(1);
	const auto run_id = assign(table, some_task, worker_incarnation{"w"}, start);
	const auto crashed_at = start + millis{5'000};
	crash(table, {worker_incarnation{"w"}, crashed_at, {}, {{run_id, {millis{0}, millis{20}}}}}, crashed_at);
	CHECK(find_task(table, some_task)->crashes.max_age == millis{20});
}
