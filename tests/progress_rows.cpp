// SPDX-License-Identifier: MIT
/// \file
/// \brief Tests of the rows with the progress of a job.
#include "job_term_fixture.hpp"

using namespace trailjunction;
using namespace trailjunction::testkit;
using namespace trailjunction::job_term_fixture;

namespace
{
	constexpr std::uint32_t many_tasks = 3'000;

	job_spec small_tasks(std::uint32_t count)
	{
		auto spec = one_task();
		spec.groups[0].count = count;
		spec.groups[0].claim = {1, 1, 0};
		return spec;
	}

	/// A job of which all tasks run.
	job_state running_job(std::uint32_t tasks)
	{
		auto job = make_job(job_id{first_job}, some_queue(), small_tasks(tasks), boottime_now());
		job.status = job_status::running;
		for (std::size_t i = 0; i < job.tasks.size(); ++i)
		{
			job.tasks[i].phase = task_stage::ordered;
			job.tasks[i].run = static_cast<std::uint32_t>(1 + i % 5);
			job.tasks[i].worker = worker_incarnation{"life-" + std::to_string(i % 50)};
		}
		return job;
	}

	job_state decoded(const progress_rows& rows, std::uint32_t tasks)
	{
		auto out = make_job(job_id{first_job}, some_queue(), small_tasks(tasks), boottime_now());
		for (const auto& row : rows.values)
			REQUIRE(decode_progress(out, row, boottime_now()).ok());
		return out;
	}
}

TEST_CASE("the progress of a job of many tasks takes several rows, each within the limit", "[jobs]")
{
	const auto job = running_job(many_tasks);
	const progress_limits limits;
	const auto rows = encode_progress(job, limits);
	REQUIRE(rows.ok());
	CHECK(rows->values.size() > 1);
	CHECK(!rows->max_checkpoint_bytes);
	for (const auto& row : rows->values)
	{
		CHECK(row.size() <= limits.row_bytes);
		CHECK(decode_status(row).value() == job_status::running);
	}
	const auto read = decoded(*rows, many_tasks);
	for (std::size_t i = 0; i < job.tasks.size(); ++i)
	{
		REQUIRE(read.tasks[i].run == job.tasks[i].run);
		REQUIRE(read.tasks[i].worker == job.tasks[i].worker);
	}
}

TEST_CASE("the progress of a job with as many tasks as allowed fits into one transaction", "[jobs]")
{
	auto job = running_job(max_tasks_per_job);
	for (auto& task : job.tasks)
		task.checkpoint = std::string(16, 'c'); // as workers usually give them; not all fit
	const auto rows = encode_progress(job, progress_limits{});
	REQUIRE(rows.ok());
	row_transaction change;
	change.partition = job_partition;
	const row_limits limits;
	auto space = space_left(change, limits);
	std::vector<row_value> put;
	for (std::size_t i = 0; i < rows->values.size(); ++i)
		put.push_back({{progress_table, progress_key(job.id, i)}, rows->values[i]});
	for (std::size_t i = 0; i < 3; ++i) // the most that the owner writes for itself
		put.push_back({{owner_table, ownership_key(i)}, std::string(limits.value_bytes, 'o')});
	const bool added = add_if_fits(change, space, std::move(put));
	CHECK(added);
	CHECK(check_limits(change, limits).ok());
}

// Guards against the loss of jobs that earlier versions accepted.
TEST_CASE("a stored job of more tasks than are accepted now is read", "[jobs]")
{
	const auto now = boottime_now();
	CHECK(validate(small_tasks(max_tasks_per_job)).ok());
	const auto earlier = small_tasks(max_tasks_per_stored_job);
	CHECK(absl::IsInvalidArgument(validate(earlier)));
	CHECK(decode_submission(job_id{first_job}, encode_submission(some_queue(), earlier), now).ok());
	const auto too_many = small_tasks(max_tasks_per_stored_job + 1);
	CHECK(!decode_submission(job_id{first_job}, encode_submission(some_queue(), too_many), now).ok());
}

TEST_CASE("a job ends in its first row as soon as none of its tasks is placed", "[jobs]")
{
	auto job = running_job(many_tasks);
	job.status = job_status::cancelled;
	job.ended_ms = 77;
	const auto placed = encode_progress(job, progress_limits{});
	REQUIRE(placed.ok());
	CHECK(!decode_end(placed->values.front()).value());
	for (auto& task : job.tasks)
		task.phase = task_stage::waiting;
	const auto ended = encode_progress(job, progress_limits{});
	REQUIRE(ended.ok());
	CHECK(ended->values.size() == 1);
	CHECK(decode_end(ended->values.front()).value() == 77);
}

TEST_CASE("checkpoints are stored as long as they fit, and the longest are left out", "[jobs]")
{
	constexpr std::uint32_t tasks = 12;
	auto job = running_job(tasks);
	for (auto& task : job.tasks)
		task.checkpoint = std::string(15'000, 'c');
	const auto all = encode_progress(job, progress_limits{});
	REQUIRE(all.ok());
	CHECK(!all->max_checkpoint_bytes);
	CHECK(decoded(*all, tasks).tasks.back().checkpoint == job.tasks.back().checkpoint);
	job.tasks.front().checkpoint = std::string(70'000, 'c');
	const auto some = encode_progress(job, progress_limits{});
	REQUIRE(some.ok());
	REQUIRE(some->max_checkpoint_bytes);
	const auto read = decoded(*some, tasks);
	CHECK(read.tasks.front().checkpoint.empty());
	CHECK(read.tasks.front().run == job.tasks.front().run);
	CHECK(read.tasks.back().checkpoint == job.tasks.back().checkpoint);
}

TEST_CASE("progress that exceeds the limits without checkpoints is an error", "[jobs]")
{
	const auto rows =
		encode_progress(running_job(many_tasks), progress_limits{.row_bytes = 65'536, .total_bytes = 5'000});
	CHECK(absl::IsResourceExhausted(rows.status()));
}
