// SPDX-License-Identifier: MIT
/// \file
/// \brief Tests of which crashes add up against a task, by the ages of its runs. Pure functions, no processes.
///
/// Guards against giving up a harmless task after five crashes by chance: one of its runs had worked for 3.2 s, while
/// others had ended with their workers after 0.4 s and 1 s.
#include "job_fixtures.hpp"

#include <catch2/catch.hpp>
#include <jobs_types.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

using namespace trailjunction;
using namespace trailjunction::job_fixtures;

namespace
{
	constexpr crash_policy policy{};
	const task_key some_task{job_id{"a"}, 0, 0, 0};

	job_table table_of(bool long_running)
	{
		job_table table;
		auto group = group_of(1, 100);
		group.long_running = long_running;
		add_job(table, job_of("a", {group}));
		return table;
	}

	/// The workers that crashed under a task so far and how.
	struct scene
	{
		explicit scene(bool long_running) : table{table_of(long_running)} {}

		/// Starts the task and crashes its worker; the agent reports the age of the run exactly.
		void crash_after(millis age, int others = 0)
		{
			const worker_incarnation incarnation{"w" + std::to_string(crashes)};
			const auto run_id = assign(table, some_task, incarnation, now);
			now += age;
			for (int i = 0; i < others; ++i)
				(void)record_worker_crash(table, {other_worker(i), now, {}, {}}, policy);
			const lost_worker lost{incarnation, now, {}, {{run_id, {age, age}}}};
			(void)record_worker_crash(table, lost, policy);
			for (const auto& run : collect_lost_runs(table, lost, true, policy))
				(void)record_lost_run(table, run, incarnation, policy, now);
			++crashes;
			now += restart_time;
		}

		[[nodiscard]] worker_incarnation other_worker(int number) const
		{
			return worker_incarnation{"other" + std::to_string(crashes) + "-" + std::to_string(number)};
		}

		[[nodiscard]] bool is_failed() const
		{
			return find_job(table, some_task.job)->status == job_status::failed;
		}

		[[nodiscard]] const crash_record& record() const
		{
			return find_task(table, some_task)->crashes;
		}

		/// Between a crash and the next start: outside the correlation window.
		static constexpr auto restart_time = millis{1'200};

		job_table table;
		instant now{start};
		int crashes{};
	};

	crash_record record_of(std::vector<crash_age> ages)
	{
		crash_record out;
		for (std::size_t i = 0; i < ages.size(); ++i)
		{
			add_crash_age(out, ages[i]);
			add_crash(out, worker_incarnation{"w" + std::to_string(i)}, ages[i].upper_bound.value_or(millis{0}),
					  ages[i], 0.0);
		}
		return out;
	}

	/// The row of a job as a version wrote it that did not store the age at each crash.
	std::string without_ages(const std::string& text)
	{
		using apache::thrift::transport::TMemoryBuffer;
		const auto buffer = std::make_shared<TMemoryBuffer>();
		buffer->write(reinterpret_cast<const std::uint8_t*>(text.data()), static_cast<std::uint32_t>(text.size()));
		apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol{buffer};
		stored::progress row;
		row.read(&protocol);
		for (auto& task : row.tasks)
		{
			task.crash_survived_each_ms.clear();
			task.crash_latest_each_ms.clear();
		}
		buffer->resetBuffer();
		row.write(&protocol);
		return buffer->getBufferAsString();
	}

	crash_age exactly(int age_ms)
	{
		return {millis{age_ms}, millis{age_ms}};
	}
}

TEST_CASE("a task is not given up for crashes that its other runs have outlived", "[jobs]")
{
	const bool long_running = GENERATE(true, false);
	scene test{long_running};
	SECTION("the first crash shared with others")
	{
		test.crash_after(millis{975}, 2);
		for (const int age : {2'129, 2'178, 3'167, 439})
			test.crash_after(millis{age});
	}
	SECTION("no crash shared with others")
	{
		for (const int age : {2'462, 0, 1'693, 527, 3'242})
			test.crash_after(millis{age});
	}
	SECTION("with a new owner after each crash")
	{
		for (const int age : {2'462, 0, 1'693, 527, 3'242})
		{
			test.crash_after(millis{age});
			test.table = successor_of(test.table, test.now);
		}
	}
	CHECK_FALSE(test.is_failed());
	CHECK(count_consistent(test.record(), policy) <= 3);
}

TEST_CASE("a run that has outlived the earlier crashes of its task clears them when its own worker crashes", "[jobs]")
{
	scene test{true};
	test.crash_after(millis{900});
	test.crash_after(millis{900});
	test.crash_after(millis{1'799}); // a live run of that age would not have cleared them
	CHECK(test.record().workers.size() == 3);
	test.crash_after(millis{2'799});
	CHECK(test.record().workers == std::vector{worker_incarnation{"w3"}});
	CHECK(test.record().longest_survived == millis{2'799});
	CHECK(test.record().earliest_crash == millis{2'799});
}

TEST_CASE("only crashes that one cause can explain add up", "[jobs]")
{
	CHECK(count_consistent({}, policy) == 0);
	CHECK(count_consistent(record_of({exactly(4'000), exactly(4'000), exactly(4'000)}), policy) == 3);
	CHECK(count_consistent(record_of({exactly(10), exactly(10), exactly(1'015)}), policy) == 3);
	CHECK(count_consistent(record_of({exactly(10), exactly(10), exactly(1'016)}), policy) == 2);
	CHECK(count_consistent(record_of({exactly(1'016), exactly(10), exactly(10)}), policy) == 2);
	CHECK(count_consistent(record_of({exactly(10), exactly(3'000), exactly(9'000)}), policy) == 1);
}

TEST_CASE("crashes at ages that are not known add up with all others", "[jobs]")
{
	const crash_age unknown;
	CHECK(count_consistent(record_of({unknown, unknown, unknown}), policy) == 3);
	CHECK(count_consistent(record_of({unknown, exactly(10), exactly(9'000)}), policy) == 2);
	const crash_age at_least_3_s{millis{3'000}, std::nullopt};
	CHECK(count_consistent(record_of({at_least_3_s, exactly(10), exactly(10)}), policy) == 2);
	CHECK(count_consistent(record_of({at_least_3_s, exactly(4'000), exactly(4'000)}), policy) == 3);
}

TEST_CASE("a task that crashes its workers just after its starts is given up though an earlier run got old", "[jobs]")
{
	scene test{false};
	test.crash_after(millis{4'000});
	int prompt_starts = 0;
	for (; prompt_starts < 10 && !test.is_failed(); ++prompt_starts)
		test.crash_after(millis{10});
	CHECK(prompt_starts <= static_cast<int>(policy.max_colocated_crashes));
}

TEST_CASE("retracting a crash removes its age", "[jobs]")
{
	auto record = record_of({exactly(10), exactly(20), exactly(30)});
	CHECK(remove_crash(record, worker_incarnation{"w1"}));
	REQUIRE(record.ages.size() == 2);
	CHECK(record.ages[1].upper_bound == millis{30});
}

TEST_CASE("the age at each crash is kept across a change of owner", "[jobs]")
{
	scene test{false};
	test.crash_after(millis{2'000});
	test.crash_after(millis{300});
	const auto next = successor_of(test.table, test.now);
	const auto& record = find_task(next, some_task)->crashes;
	REQUIRE(record.ages.size() == 2);
	CHECK(record.ages[0].lower_bound == millis{2'000});
	CHECK(record.ages[1].upper_bound == millis{300});
	CHECK(count_consistent(record, policy) == 1);
}

TEST_CASE("crashes in rows of earlier versions, which have no ages, count in full", "[jobs]")
{
	scene test{true};
	test.crash_after(millis{2'000});
	test.crash_after(millis{300});
	test.crash_after(millis{300});
	auto job = job_of("a", find_job(test.table, some_task.job)->spec.groups);
	REQUIRE(decode_progress(job, without_ages(encode_progress(*find_job(test.table, some_task.job))), test.now).ok());
	CHECK(job.tasks[0].crashes.workers.size() == 3);
	CHECK(count_consistent(test.record(), policy) == 2);
	CHECK(count_consistent(job.tasks[0].crashes, policy) == 3);
}
