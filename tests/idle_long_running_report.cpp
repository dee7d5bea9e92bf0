// SPDX-License-Identifier: MIT
/// \file
/// \brief Tests of the report of long-running tasks without a run: each reason, the time, and what is logged.
#include "job_fixtures.hpp"
#include "job_term_fixture.hpp"

#include "../packages/entry/src/process/idle_meter.hpp"

#include <trailjunction/net/process_metrics.hpp>

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <set>

using namespace trailjunction;
using namespace trailjunction::job_fixtures;

namespace
{
	constexpr idle_policy policy{};
	constexpr crash_policy crashes{};
	const task_key some_task{job_id{"a"}, 0, 0, 0};
	const worker_incarnation some_worker{"w1"};
	/// Just longer than a task may be idle without a report.
	constexpr auto reported_after = policy.report_after + millis{1};

	task_group long_running_group(std::uint32_t count = 1)
	{
		auto out = group_of(count, 100);
		out.long_running = true;
		return out;
	}

	/// A job of one long-running task, and an owner that may act and has one worker with room.
	struct idle_fixture
	{
		explicit idle_fixture(task_group group = long_running_group())
		{
			add_job(table, job_of("a", {std::move(group)}));
			context.may_act = true;
			context.pending_starts = &pending_starts;
			context.listening_since = start;
		}

		std::vector<idle_task> find(millis after = reported_after)
		{
			context.rooms = rooms;
			return find_idle_long_running(table, context, policy, {start + after, unix_ms});
		}

		/// The reason why the only task is idle; empty if it is not.
		std::optional<idle_reason> reason(millis after = reported_after)
		{
			const auto idle = find(after);
			REQUIRE(idle.size() <= 1);
			return idle.empty() ? std::nullopt : std::optional{idle[0].reason};
		}

		/// Places the task and confirms the run at \p at.
		void run(instant at = start)
		{
			confirm_run(table, assign(table, some_task, some_worker, at), at);
		}

		/// Lets \p count workers crash just after they started the task.
		end_effect crash(int count)
		{
			auto effect = end_effect::ignored;
			for (int i = 0; i < count; ++i)
			{
				const lost_worker worker{worker_incarnation{absl::StrCat("crashed-", i)}, start};
				(void)assign(table, some_task, worker.incarnation, start);
				for (const auto& lost : collect_lost_runs(table, worker, true, crashes))
					effect = record_lost_run(table, lost, worker.incarnation, crashes, start);
			}
			return effect;
		}

		/// Fails the job as a task of another group may, or an earlier version that gave long-running tasks up.
		void fail_job()
		{
			auto& job = *find_job(table, some_task.job);
			job.status = job_status::failed;
			job.tasks.front().phase = task_stage::failed;
		}

		job_table table;
		std::vector<worker_room> rooms{room_of("w1")};
		absl::flat_hash_set<task_run> pending_starts;
		idle_context context;
		std::int64_t unix_ms{1'000'000};
	};
}

TEST_CASE("a long-running task is reported only after it has been idle for the whole time", "[jobs]")
{
	idle_fixture test;
	CHECK_FALSE(test.reason(policy.report_after));
	CHECK(test.reason() == idle_reason::not_chosen);
	CHECK(test.find(millis{5'000})[0].idle_for == millis{5'000});
}

TEST_CASE("a confirmed run on a worker that responds is not reported, nor are tasks that end by themselves", "[jobs]")
{
	idle_fixture test;
	test.run();
	test.context.last_responses[some_worker] = start + millis{60'000};
	add_job(test.table, job_of("b", {group_of(3, 100)}));
	CHECK_FALSE(test.reason(millis{60'000}));
}

TEST_CASE("the time without a run counts from the end of the last run, over all attempts since", "[jobs]")
{
	idle_fixture test;
	test.run();
	(void)end_run(test.table, {some_task, 1}, run_outcome::lapsed, "", start + millis{10'000});
	const auto refused = assign(test.table, some_task, some_worker, start + millis{12'000});
	release_run(test.table, refused, start + millis{13'000});
	CHECK_FALSE(test.reason(millis{13'000}));
	REQUIRE(test.reason(millis{14'000}) == idle_reason::not_chosen);
	CHECK(test.find(millis{14'000})[0].idle_for == millis{4'000});
}

TEST_CASE("a run that was lost with its worker counts as absent since the worker was last heard", "[jobs]")
{
	idle_fixture test;
	test.run();
	(void)end_run(test.table, {some_task, 1}, run_outcome::lapsed, "", start + millis{10'000});
	note_idle_since(test.table, some_task, start + millis{4'000});
	CHECK(test.find(millis{10'000})[0].idle_for == millis{6'000});
}

TEST_CASE("idle: the owner may not act", "[jobs]")
{
	idle_fixture test;
	test.context.may_act = false;
	test.context.has_stale_input = true;
	CHECK(test.reason() == idle_reason::owner_may_not_act);
	test.context.may_act = true;
	CHECK(test.reason() == idle_reason::stale_input);
}

TEST_CASE("idle: no worker is known, accepts starts or has room", "[jobs]")
{
	idle_fixture test;
	test.rooms[0].claimed = test.rooms[0].capacity;
	CHECK(test.reason() == idle_reason::no_room);
	test.rooms[0].accepts = false;
	CHECK(test.reason() == idle_reason::workers_refuse);
	test.rooms.push_back(room_of("w2"));
	test.rooms[1].claimed = test.rooms[1].capacity;
	CHECK(test.reason() == idle_reason::no_room); // the worker that comes closest to running it decides
	for (auto& room : test.rooms)
		room.service = service_id{"other"};
	CHECK(test.reason() == idle_reason::no_worker);
}

TEST_CASE("idle: no accepting worker has the required label", "[jobs]")
{
	auto group = long_running_group();
	group.required_label = "fast";
	idle_fixture test{group};
	CHECK(test.reason() == idle_reason::no_room);
	test.rooms[0].labels = {"fast"};
	CHECK(test.reason() == idle_reason::not_chosen);
}

TEST_CASE("idle: the workers with room are reserved for tasks that start alone", "[jobs]")
{
	idle_fixture test;
	test.rooms[0].reserved = true;
	CHECK(test.reason() == idle_reason::workers_reserved);
}

TEST_CASE("idle: a suspected task finds no worker that it may start on", "[jobs]")
{
	idle_fixture test;
	(void)test.crash(2);
	// It has to start alone until the end of the isolation timeout, and apart from then on.
	test.rooms[0].reserved = true;
	CHECK(test.reason() == idle_reason::suspected);
	test.rooms[0].reserved = false;
	CHECK(test.reason() == idle_reason::not_chosen);
}

TEST_CASE("idle: the task is held back after it lost three workers", "[jobs]")
{
	idle_fixture test;
	REQUIRE(test.crash(3) == end_effect::held_back);
	CHECK(test.reason() == idle_reason::held_back);
	test.context.may_act = false;
	CHECK(test.reason() == idle_reason::owner_may_not_act);
}

TEST_CASE("idle: the job has failed", "[jobs]")
{
	idle_fixture test;
	test.fail_job();
	CHECK(test.reason() == idle_reason::given_up);
	CHECK(test.reason(millis{0}) == idle_reason::given_up); // at once
}

TEST_CASE("tasks of a cancelled job are not reported", "[jobs]")
{
	idle_fixture test;
	cancel_job(test.table, some_task.job);
	CHECK(test.find().empty());
}

TEST_CASE("idle: the task is not due, and the time counts from when it became due", "[jobs]")
{
	auto job = job_of("a", {long_running_group()});
	job.spec.repeated = true;
	job.spec.first_due_ms = 2'000'000;
	idle_fixture test;
	test.table = {};
	add_job(test.table, std::move(job));
	CHECK(test.reason() == idle_reason::not_due);
	test.unix_ms = 2'000'000 + policy.report_after.count();
	CHECK_FALSE(test.reason(millis{600'000}));
	++test.unix_ms;
	CHECK(test.reason(millis{600'000}) == idle_reason::not_chosen);
}

TEST_CASE("idle: a group that follows another one is due once that is done", "[jobs]")
{
	auto service = long_running_group();
	service.after = {0};
	idle_fixture test;
	test.table = {};
	add_job(test.table, job_of("a", {group_of(1, 100), service}));
	CHECK(test.reason() == idle_reason::not_due);
	const auto first = assign(test.table, some_task, some_worker, start);
	(void)end_run(test.table, first, run_outcome::done, "", start + millis{50'000});
	CHECK_FALSE(test.reason(millis{53'000}));
	CHECK(test.reason(millis{53'001}) == idle_reason::not_chosen);
}

TEST_CASE("idle: the task is placed and its order waits for the commit", "[jobs]")
{
	idle_fixture test;
	test.pending_starts.insert(assign(test.table, some_task, some_worker, start));
	CHECK(test.reason() == idle_reason::not_ordered_yet);
}

TEST_CASE("idle: the task was ordered and its worker has not confirmed it", "[jobs]")
{
	idle_fixture test;
	(void)assign(test.table, some_task, some_worker, start);
	test.context.last_responses[some_worker] = start + reported_after;
	CHECK(test.reason() == idle_reason::ordered_not_confirmed);
}

TEST_CASE("idle: the task is placed on a worker that does not respond", "[jobs]")
{
	idle_fixture test;
	SECTION("ordered")
	{
		(void)assign(test.table, some_task, some_worker, start);
	}
	SECTION("confirmed")
	{
		test.run();
	}
	SECTION("on a worker that has responded before")
	{
		test.run();
		test.context.listening_since = start - millis{60'000};
		test.context.last_responses[some_worker] = start;
	}
	CHECK_FALSE(test.reason(policy.report_after));
	CHECK(test.reason() == idle_reason::worker_silent);
}

TEST_CASE("each reason has a name of its own and is counted", "[jobs]")
{
	std::set<std::string_view> names;
	std::vector<idle_task> idle;
	for (std::size_t i = 0; i < idle_reason_count; ++i)
	{
		idle.push_back({some_task, static_cast<idle_reason>(i), {}, {}});
		names.insert(to_string(idle.back().reason));
	}
	CHECK(names.size() == idle_reason_count);
	CHECK_FALSE(names.contains("unnamed"));
	idle.push_back({some_task, idle_reason::no_room, {}, {}});
	const auto counts = count_by_reason(idle);
	for (std::size_t i = 0; i < idle_reason_count; ++i)
		CHECK(counts[i] == (static_cast<idle_reason>(i) == idle_reason::no_room ? 2U : 1U));
}

TEST_CASE("an idle task is reported once when it becomes idle and once when it no longer is", "[jobs]")
{
	idle_reports reports;
	std::vector<idle_task> idle{{some_task, idle_reason::no_room, reported_after, {}}};
	CHECK(update_reports(reports, idle).begun.size() == 1);
	idle[0].reason = idle_reason::suspected;
	idle[0].idle_for = millis{9'000};
	const auto unchanged = update_reports(reports, idle);
	CHECK((unchanged.begun.empty() && unchanged.ended.empty()));
	const auto last = update_reports(reports, {});
	REQUIRE(last.ended.size() == 1);
	CHECK(last.ended[0].reason == idle_reason::suspected);
	CHECK(last.ended[0].idle_for == millis{9'000});
	CHECK(update_reports(reports, {}).ended.empty());
	idle[0].reason = idle_reason::not_due;
	CHECK(update_reports(reports, idle).begun.empty());
}

TEST_CASE("the metrics show idle tasks by reason, and those of failed jobs until the jobs are forgotten", "[jobs]")
{
	process_metrics metrics;
	const auto shows = [&](const std::string& line)
	{
		return metrics.expose().find("trailjunction_long_running_" + line + "\n") != std::string::npos;
	};
	job_table table;
	table.ended[some_task.job] = 1;
	idle_meter meter{metrics};
	meter.note_failed(some_task.job, 14);
	meter.note_failed(some_task.job, 14); // its row was saved once more
	const std::vector<idle_task> idle{{some_task, idle_reason::no_room, reported_after, {}}};
	meter.publish(idle, table);
	CHECK(shows("idle{reason=\"no_room\"} 1"));
	CHECK(shows("idle{reason=\"given_up\"} 14"));
	table.ended.clear();
	meter.publish({}, table);
	CHECK(shows("idle{reason=\"no_room\"} 0"));
	CHECK(shows("idle{reason=\"given_up\"} 0"));
	meter.publish(idle, table);
	meter.clear(); // the process owns the jobs no longer
	CHECK(shows("idle{reason=\"no_room\"} 0"));
	CHECK(shows("given_up_total 14"));
}

TEST_CASE("a search over a fleet in which everything waits does not look at every worker for every task", "[jobs]")
{
	constexpr int jobs = 400;
	constexpr std::uint32_t tasks_per_job = 50;
	constexpr int workers = 2'000;
	idle_fixture test;
	for (int i = 0; i < jobs; ++i)
		add_job(test.table, job_of(absl::StrCat("job-", i), {long_running_group(tasks_per_job)}));
	for (int i = 0; i < workers; ++i)
	{
		test.rooms.push_back(room_of(absl::StrCat("full-", i)));
		test.rooms.back().claimed = test.rooms.back().capacity;
	}
	test.rooms.erase(test.rooms.begin());
	const auto began = boottime_now();
	const auto idle = test.find();
	const auto took = boottime_now() - began;
	CHECK(idle.size() == jobs * tasks_per_job + 1);
	CHECK(count_by_reason(idle)[static_cast<std::size_t>(idle_reason::no_room)] == idle.size());
	// One look at 2,000 workers for each of 20,000 tasks takes many times this, also in a build with sanitizers.
	CHECK(took < millis{1'000});
}

TEST_CASE("an owner shows long-running tasks whose failure an earlier owner has stored", "[jobs]")
{
	// The earlier owner was replaced before it heard that its decision was stored, so neither of them told of it.
	job_term_fixture::scene test;
	auto spec = job_term_fixture::one_task();
	spec.groups[0].long_running = true;
	test.submit(job_term_fixture::first_job, spec);
	auto job = test.stored_job(job_term_fixture::first_job);
	job.status = job_status::failed;
	job.ended_ms = 1'000'000'000'000; // far in the future of the store's clock, so that it is not forgotten
	test.store.put(job_partition, progress_table, job_term_fixture::first_job, encode_progress(job));
	test.begin_term();
	CHECK(test.run_until(
		[&]
		{
			return test.metrics.expose().find("trailjunction_long_running_idle{reason=\"given_up\"} 1\n") !=
				   std::string::npos;
		}));
}
