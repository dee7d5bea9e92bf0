// SPDX-License-Identifier: MIT
/// \file
/// \brief Tests of long-running tasks that are held back because workers crashed under them. Pure functions, no
/// processes.
///
/// Guards against failing a job of long-running tasks: such a task is to be started again however its runs end, and its
/// job, with all its other tasks, was shown as failed after crashes that it had not caused.
#include "job_fixtures.hpp"

#include <trailjunction/jobs/held_tasks.hpp>
#include <trailjunction/jobs/mass_losses.hpp>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace trailjunction;
using namespace trailjunction::job_fixtures;

namespace
{
	constexpr crash_policy policy{};
	const task_key some_task{job_id{"a"}, 0, 0, 0};

	job_table table_of(std::uint32_t count, bool gang = false)
	{
		job_table table;
		auto group = gang ? gang_of(count, 100) : group_of(count, 100);
		group.long_running = true;
		add_job(table, job_of("a", {group}));
		return table;
	}

	/// Starts a task at \p now and crashes its worker after \p age.
	end_effect crash_under(job_table& table, const task_key& key, const std::string& incarnation, instant now,
						   millis age = millis{0})
	{
		(void)assign(table, key, worker_incarnation{incarnation}, now);
		const lost_worker worker{worker_incarnation{incarnation}, now + age};
		(void)record_worker_crash(table, worker, policy);
		auto effect = end_effect::ignored;
		for (const auto& lost : collect_lost_runs(table, worker, true, policy))
			effect = record_lost_run(table, lost, worker.incarnation, policy, now + age);
		return effect;
	}

	/// Ends a run that has been assigned together with its worker, at \p age, without a crash.
	end_effect end_worker_under(job_table& table, const std::string& incarnation, instant now, millis age)
	{
		const lost_worker worker{worker_incarnation{incarnation}, now + age};
		auto effect = end_effect::ignored;
		for (const auto& lost : collect_lost_runs(table, worker, false, policy))
			effect = record_lost_run(table, lost, worker.incarnation, policy, now + age);
		return effect;
	}

	/// Crashes three workers in a row just after a task has been started there.
	end_effect hold_back_promptly(job_table& table, const task_key& key, instant now)
	{
		(void)crash_under(table, key, "w1", now);
		(void)crash_under(table, key, "w2", now);
		return crash_under(table, key, "w3", now);
	}

	std::size_t count_startable(const job_table& table, instant now)
	{
		return order_requests(table, waiting_tasks(table, 0), {now, 0}).size();
	}

	instant held_until(const job_table& table)
	{
		return find_task(table, some_task)->held_until;
	}
}

TEST_CASE("a long-running task is held back, and its job continues, after three workers crash just after its starts",
		  "[jobs]")
{
	auto table = table_of(1);
	CHECK(crash_under(table, some_task, "w1", start) == end_effect::recorded);
	CHECK(crash_under(table, some_task, "w2", start) == end_effect::recorded);
	CHECK(count_startable(table, start) == 1);
	CHECK(crash_under(table, some_task, "w3", start) == end_effect::held_back);
	CHECK(find_job(table, some_task.job)->status == job_status::running);
	CHECK(held_until(table) == start + policy.first_hold);
	CHECK(count_startable(table, start + policy.first_hold - millis{1}) == 0);
	CHECK(count_startable(table, start + policy.first_hold) == 1);
}

TEST_CASE("the time for which a task is held back grows with each crash up to its limit", "[jobs]")
{
	auto table = table_of(1);
	auto now = start;
	auto crashes_before = policy.max_prompt_crashes;
	(void)hold_back_promptly(table, some_task, now);
	auto expected = policy.first_hold;
	for (int i = 0; i < 40; ++i)
	{
		REQUIRE(held_until(table) - now == expected);
		now = held_until(table);
		CHECK(crash_under(table, some_task, "v" + std::to_string(i), now) == end_effect::held_back);
		const auto& record = find_task(table, some_task)->crashes;
		CHECK(record.workers.size() == std::min(crashes_before + 1, max_recorded_crashes));
		CHECK(record.ages.size() == record.workers.size());
		crashes_before = record.workers.size();
		expected = std::min(expected * policy.hold_growth, policy.max_hold);
	}
	CHECK(expected == policy.max_hold);
	CHECK(find_job(table, some_task.job)->status == job_status::running);
}

TEST_CASE("a long-running task that crashes each worker at once starts five times in a minute", "[jobs]")
{
	auto table = table_of(1);
	int starts = 0;
	for (auto now = start; now < start + std::chrono::minutes{1}; now += millis{100})
	{
		(void)release_held_back(table, policy, now);
		if (count_startable(table, now) == 0)
			continue;
		(void)crash_under(table, some_task, "w" + std::to_string(starts++), now);
	}
	CHECK(starts == 5);
}

TEST_CASE("a held back task is started alone, and waits for that until its isolation timeout", "[jobs]")
{
	auto table = table_of(1);
	(void)hold_back_promptly(table, some_task, start);
	const auto& job = *find_job(table, some_task.job);
	const auto released_at = held_until(table);
	CHECK(effective_suspicion(job, some_task, released_at) == suspicion::likely);
	const auto timeout_at = released_at + policy.isolation_timeout;
	CHECK(effective_suspicion(job, some_task, timeout_at - millis{1}) == suspicion::likely);
	CHECK(effective_suspicion(job, some_task, timeout_at) == suspicion::suspected);
	(void)assign(table, some_task, worker_incarnation{"w4"}, released_at);
	CHECK(find_task(table, some_task)->suspicion_at_start == suspicion::likely);
	CHECK(held_until(table) == instant{});
}

TEST_CASE("a held back task is released once its time is over", "[jobs]")
{
	auto table = table_of(1);
	(void)hold_back_promptly(table, some_task, start);
	CHECK(release_held_back(table, policy, held_until(table) - millis{1}).empty());
	const auto released = release_held_back(table, policy, held_until(table));
	REQUIRE(released.size() == 1);
	CHECK(released[0].task == some_task);
	CHECK(released[0].reason == release_reason::time_over);
	CHECK(release_held_back(table, policy, held_until(table)).empty());
}

TEST_CASE("evidence that a task did not cause its crashes releases it at once", "[jobs]")
{
	const bool new_owner = GENERATE(false, true);
	auto table = table_of(1);
	(void)hold_back_promptly(table, some_task, start);
	if (new_owner)
		table = successor_of(table, start);
	REQUIRE(release_held_back(table, policy, start).empty());
	REQUIRE(count_startable(table, start) == 0);
	SECTION("a worker responds")
	{
		CHECK(retract_crash(table, some_task, worker_incarnation{"w3"}));
	}
	SECTION("a crash had another cause")
	{
		CHECK(discount_crash(table, some_task, worker_incarnation{"w2"}));
	}
	const auto released = release_held_back(table, policy, start);
	REQUIRE(released.size() == 1);
	CHECK(released[0].reason == release_reason::exonerated);
	CHECK(count_startable(table, start) == 1);
	CHECK(held_until(table) == instant{});
	CHECK(table.unsaved.contains(some_task.job));
}

TEST_CASE("a task is released if crashes of other workers at the same time are reported after its own", "[jobs]")
{
	// Three crashes that follow promptly on a start are its own doing, unless nearly all workers went down.
	constexpr int others = 12;
	constexpr auto restart_time = millis{1'200}; // outside the correlation window, within the isolation timeout
	auto table = table_of(1);
	(void)crash_under(table, some_task, "w1", start);
	(void)crash_under(table, some_task, "w2", start + restart_time);
	const auto crashed_at = start + 2 * restart_time;
	REQUIRE(crash_under(table, some_task, "w3", crashed_at) == end_effect::held_back);
	for (int i = 0; i < others; ++i)
		(void)record_worker_crash(table, {worker_incarnation{"other" + std::to_string(i)}, crashed_at}, policy);
	CHECK(clear_mass_losses(table, {}, policy).size() == 1);
	CHECK(release_held_back(table, policy, crashed_at).size() == 1);
	CHECK(count_startable(table, crashed_at) == 1);
}

TEST_CASE("a task is released if its latest crash turns out to be shared, so that more crashes are needed", "[jobs]")
{
	constexpr auto age = millis{4'000};
	constexpr auto restart_time = millis{1'200};
	auto table = table_of(1);
	auto now = start;
	auto effect = end_effect::ignored;
	for (std::size_t i = 0; i < policy.max_crashes; ++i, now += age + restart_time)
		effect = crash_under(table, some_task, "w" + std::to_string(i), now, age);
	REQUIRE(effect == end_effect::held_back);
	const auto crashed_at = now - restart_time;
	for (const auto* other : {"other1", "other2"})
		(void)record_worker_crash(table, {worker_incarnation{other}, crashed_at}, policy);
	CHECK(release_held_back(table, policy, crashed_at).size() == 1);
	CHECK(count_startable(table, crashed_at) == 1);
}

TEST_CASE("one held back task does not affect the other thirteen of its job", "[jobs]")
{
	constexpr std::uint32_t count = 14;
	auto table = table_of(count);
	for (std::uint32_t i = 1; i < count; ++i)
		confirm_run(table, assign(table, {job_id{"a"}, 0, 0, i}, worker_incarnation{"v" + std::to_string(i)}, start),
					start);
	(void)hold_back_promptly(table, some_task, start);
	const auto& job = *find_job(table, some_task.job);
	CHECK(job.status == job_status::running);
	CHECK(std::count_if(job.tasks.begin(), job.tasks.end(),
						[](const job_task& task) { return task.phase == task_stage::running; }) == count - 1);
	CHECK(runs_to_stop(table).empty());
	CHECK(table.held_back.size() == 1);
	(void)crash_under(table, {job_id{"a"}, 0, 0, 1}, "v1+1", start + millis{1});
	CHECK(count_startable(table, start + millis{1}) == 1);
}

TEST_CASE("the members of a gang are held back together", "[jobs]")
{
	auto table = table_of(3, true);
	auto effect = end_effect::ignored;
	for (const auto* incarnation : {"w1", "w2", "w3"})
	{
		for (std::uint32_t i = 0; i < 3; ++i)
			(void)assign(table, {job_id{"a"}, 0, 0, i}, worker_incarnation{incarnation}, start);
		const lost_worker worker{worker_incarnation{incarnation}, start};
		for (const auto& lost : collect_lost_runs(table, worker, true, policy))
			effect = record_lost_run(table, lost, worker.incarnation, policy, start);
	}
	CHECK(effect == end_effect::held_back);
	CHECK(table.held_back.size() == 3);
	CHECK(count_startable(table, start) == 0);
	CHECK(count_startable(table, start + policy.first_hold) == 3);
}

TEST_CASE("a task stays held back across a change of owner", "[jobs]")
{
	auto table = table_of(2);
	(void)hold_back_promptly(table, some_task, start);
	find_task(table, some_task)->held_until_ms = 1'234;
	const auto taken_over = start + millis{1'000};
	const auto next = successor_of(table, taken_over);
	const auto& task = *find_task(next, some_task);
	CHECK(task.phase == task_stage::waiting);
	CHECK(task.held_until_ms == 1'234);
	CHECK(task.held_until == taken_over + policy.first_hold);
	CHECK(next.held_back.contains(some_task));
	CHECK(count_startable(next, taken_over) == 1); // the other one
	CHECK(find_task(next, {job_id{"a"}, 0, 0, 1})->held_until == instant{});
}

TEST_CASE("a stored task is not held back after it was started again", "[jobs]")
{
	auto table = table_of(1);
	(void)hold_back_promptly(table, some_task, start);
	confirm_run(table, assign(table, some_task, worker_incarnation{"w4"}, held_until(table)), held_until(table));
	const auto next = successor_of(table, start);
	CHECK(find_task(next, some_task)->held_until == instant{});
	CHECK(next.held_back.empty());
}

TEST_CASE("a job that was cancelled holds back no task", "[jobs]")
{
	auto table = table_of(1);
	(void)hold_back_promptly(table, some_task, start);
	CHECK(cancel_job(table, some_task.job));
	CHECK(release_held_back(table, policy, start).empty());
	CHECK(table.held_back.empty());
}

TEST_CASE("a worker that ends as planned does not hold a task back again", "[jobs]")
{
	auto table = table_of(1);
	REQUIRE(hold_back_promptly(table, some_task, start) == end_effect::held_back);
	const auto now = held_until(table);
	(void)assign(table, some_task, worker_incarnation{"w4"}, now);
	CHECK(end_worker_under(table, "w4", now, millis{700}) == end_effect::recorded);
	CHECK_FALSE(is_held_back(*find_task(table, some_task), now + millis{700}));
}

TEST_CASE("a worker that ends as planned does not fail a job over the limit of crashes", "[jobs]")
{
	// Each of the first three runs waited too long to start alone, so three crashes were not enough to give it up.
	job_table table;
	add_job(table, job_of("a", {group_of(1, 100)}));
	auto now = start;
	for (const auto* name : {"w1", "w2", "w3"})
	{
		REQUIRE(crash_under(table, some_task, name, now) == end_effect::recorded);
		now += policy.isolation_timeout + millis{1'000};
	}
	find_task(table, some_task)->phase_since = now;
	(void)assign(table, some_task, worker_incarnation{"w4"}, now);
	REQUIRE(find_task(table, some_task)->suspicion_at_start == suspicion::likely);
	CHECK(end_worker_under(table, "w4", now, millis{300}) == end_effect::recorded);
	CHECK(find_job(table, some_task.job)->status == job_status::running);
}
