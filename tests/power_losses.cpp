// SPDX-License-Identifier: MIT
/// \file
/// \brief Jobs in the real programs when all entries, agents and workers lose power at the same moment, while one of
/// the owner's transactions is on its way to the store. \details The store alone survives. It carries the transaction
/// out at once without an answer, or seconds later while the next owner takes over, or not at all.
#include "job_storm.hpp"

#include <trailjunction/jobs/job_rows.hpp>
#include <trailjunction/jobs/job_tables.hpp>

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <functional>
#include <thread>

using namespace trailjunction;
using namespace trailjunction::testkit;

namespace
{
	constexpr const char* batch_job = "00000000000000a1";
	constexpr const char* long_running_job = "00000000000000a2";
	constexpr const char* pending_job = "00000000000000a3";
	constexpr int entries = 2;
	constexpr int workers = 3;
	constexpr auto longest_wait = millis{30'000};
	constexpr auto short_work = millis{100};
	constexpr auto medium_work = millis{1'500};
	/// Longer than an owner takes to learn that a run has begun.
	constexpr auto confirmation_time = millis{1'500};
	/// Longer than the runs before had lasted when their workers crashed, and too short to clear a task of them.
	constexpr auto outlived_time = millis{700};
	constexpr auto downtime = millis{1'000};
	/// Time after the power loss at which a transaction is carried out late: about when the next owner takes over.
	constexpr auto late_by = millis{1'300};
	/// Time in which the store notices a change of its faults.
	constexpr auto store_turn = millis{30};

	/// What becomes of the transaction that is on its way.
	enum class fate
	{
		applied,      ///< At once; its answer is lost.
		applied_late, ///< About when the next owner takes over; its answer is lost.
		dropped,
	};

	/// How the workers come back.
	enum class worker_ids
	{
		kept,
		changed,
	};

	bool has_status(const row_value& row, const char* id, job_status status)
	{
		return row.name.table == progress_table && row.name.key == id && decode_status(row.value).value() == status;
	}

	class blackout_fixture
	{
	public:
		blackout_fixture() : system{options()} {}

		/// Runs a batch job and a long-running job until the owner knows that they run.
		[[nodiscard]] bool begin()
		{
			if (!system.wait_ready())
				return false;
			submitted_at_ = boottime_now();
			const bool accepted = system.submit(0, batch_job, 4, 2 * medium_work) == 200 &&
								  system.submit_long_running(1, long_running_job, 2) == 200;
			const auto all_started = [&]
			{
				return system.start_count(task(batch_job, 3)) > 0 && system.start_count(task(long_running_job, 1)) > 0;
			};
			return accepted && job_cluster::wait_until(all_started, longest_wait);
		}

		/// Transactions with progress of jobs wait in the store from now on.
		void hold_progress()
		{
			system.with_store(
				[this](memory_store& store)
				{
					store.faults.held_table = progress_table;
					first_held_ = store.requested_commits.size();
				});
		}

		/// Waits until the store holds a transaction with a row of the kind.
		[[nodiscard]] bool wait_held(const std::function<bool(const row_value&)>& is_awaited)
		{
			const auto writes_awaited = [&](const row_transaction& commit)
			{
				return std::any_of(commit.put.begin(), commit.put.end(), is_awaited);
			};
			return job_cluster::wait_until(
				[&]
				{
					return system.with_store(
						[&](memory_store& store)
						{
							const auto begin =
								store.requested_commits.begin() + static_cast<std::ptrdiff_t>(first_held_);
							return store.held_commits > 0 &&
								   std::any_of(begin, store.requested_commits.end(), writes_awaited);
						});
				},
				longest_wait);
		}

		/// Ends all processes and workers at the same moment, lets the store finish what it has, and starts all again.
		void lose_power(fate what, worker_ids ids)
		{
			for (int i = 0; i < entries; ++i)
				system.entry(i).signal(SIGKILL);
			for (int i = 0; i < workers; ++i)
			{
				system.agent(i).signal(SIGKILL);
				system.with_worker(i,
								   [&](worker_standin& worker)
								   {
									   worker.restart_in_place(downtime);
									   if (ids == worker_ids::changed)
										   worker.restart(absl::StrCat("life-after-", i + 1));
								   });
			}
			for (int i = 0; i < entries; ++i)
				system.entry(i).kill();
			for (int i = 0; i < workers; ++i)
				system.agent(i).kill();
			system.with_store([&](memory_store& store) { store.faults = faults_for(what); });
			std::this_thread::sleep_for(store_turn);
			system.with_store([](memory_store& store) { store.faults = {}; });
			std::this_thread::sleep_for(downtime);
			for (int i = 0; i < workers; ++i)
				system.restart_agent(i);
			for (int i = 0; i < entries; ++i)
				system.restart_entry(i);
		}

		[[nodiscard]] bool wait_completed(const char* id)
		{
			return job_cluster::wait_until([&] { return system.state(0, id) == "completed"; }, longest_wait);
		}

		/// Waits until each task of a long-running job has exactly one run.
		[[nodiscard]] std::string wait_running(const char* id, int tasks)
		{
			storm_job job;
			job.id = id;
			job.tasks = tasks;
			job.accepted = true;
			job.submitted_at = submitted_at_;
			const auto found = find_idle_long_running(system, {job}, instant{});
			return found ? report_violation(system, *found, {}) : std::string{};
		}

		[[nodiscard]] std::string concurrent_runs()
		{
			const auto found = find_concurrent_runs(system.all_started_runs());
			return found ? report_violation(system, *found, {}) : std::string{};
		}

		/// Checks the jobs of begin(), and that nothing ran twice.
		void check_jobs()
		{
			{
				const bool completed = wait_completed(batch_job);
				INFO((completed ? std::string{} : report_violation(system, {task(batch_job, 0), "not completed"}, {})));
				CHECK(completed);
			}
			CHECK(wait_running(long_running_job, 2).empty());
			const auto twice = concurrent_runs();
			INFO(twice);
			CHECK(twice.empty());
		}

		static std::string task(const char* job, int index = 0)
		{
			return absl::StrCat(job, ".0.0.", index);
		}

		job_cluster system;

	private:
		static job_cluster_options options()
		{
			job_cluster_options out;
			out.programs = storm_programs();
			out.entries = entries;
			out.workers = workers;
			return out;
		}

		static store_faults faults_for(fate what)
		{
			store_faults out;
			out.refuse_all = what == fate::dropped;
			if (what == fate::applied_late)
			{
				out.transaction_duration = millis{1};
				out.answer_delay = late_by;
				out.late_commits = true;
			}
			return out;
		}

		std::size_t first_held_{};
		instant submitted_at_{};
	};

	/// Each fate of the transaction, with both kinds of workers' ids.
	std::vector<std::pair<fate, worker_ids>> all_outcomes()
	{
		std::vector<std::pair<fate, worker_ids>> out;
		for (const auto what : {fate::applied, fate::applied_late, fate::dropped})
			for (const auto ids : {worker_ids::kept, worker_ids::changed})
				out.emplace_back(what, ids);
		return out;
	}

	std::string describe(const std::pair<fate, worker_ids>& outcome)
	{
		constexpr const char* fates[] = {"applied", "applied late", "dropped"};
		return absl::StrCat("transaction ", fates[static_cast<int>(outcome.first)], ", ids ",
							outcome.second == worker_ids::kept ? "kept" : "changed");
	}
}

TEST_CASE("after a power loss with a start on its way to the store, the job ends and nothing runs twice", "[process]")
{
	for (const auto& outcome : all_outcomes())
	{
		INFO(describe(outcome));
		blackout_fixture test;
		REQUIRE(test.begin());
		test.hold_progress();
		REQUIRE(test.system.submit(0, pending_job, 3, short_work) == 200);
		REQUIRE(test.wait_held([](const row_value& row) { return has_status(row, pending_job, job_status::running); }));
		test.lose_power(outcome.first, outcome.second);
		CHECK(test.wait_completed(pending_job));
		test.check_jobs();
		for (int i = 0; i < 3; ++i) // its order had not left
			CHECK(test.system.start_count(blackout_fixture::task(pending_job, i)) == 1);
	}
}

TEST_CASE("after a power loss with an end on its way to the store, the job ends and nothing runs twice", "[process]")
{
	for (const auto& outcome : all_outcomes())
	{
		INFO(describe(outcome));
		blackout_fixture test;
		REQUIRE(test.begin());
		REQUIRE(test.system.submit(0, pending_job, 1, medium_work) == 200);
		REQUIRE(job_cluster::wait_until(
			[&] { return test.system.start_count(blackout_fixture::task(pending_job)) > 0; }, longest_wait));
		test.hold_progress();
		REQUIRE(
			test.wait_held([](const row_value& row) { return has_status(row, pending_job, job_status::completed); }));
		test.lose_power(outcome.first, outcome.second);
		CHECK(test.wait_completed(pending_job));
		test.check_jobs();
		// An end that is stored is final; otherwise its task runs again.
		const int starts = outcome.first == fate::applied ? 1 : 2;
		CHECK(test.system.start_count(blackout_fixture::task(pending_job)) <= starts);
	}
}

TEST_CASE("after a power loss with the start of a long-running task on its way to the store, it runs", "[process]")
{
	for (const auto& outcome : all_outcomes())
	{
		INFO(describe(outcome));
		blackout_fixture test;
		REQUIRE(test.begin());
		test.hold_progress();
		REQUIRE(test.system.submit_long_running(0, pending_job, 2) == 200);
		REQUIRE(test.wait_held([](const row_value& row) { return has_status(row, pending_job, job_status::running); }));
		test.lose_power(outcome.first, outcome.second);
		const auto idle = test.wait_running(pending_job, 2);
		INFO(idle);
		CHECK(idle.empty());
		test.check_jobs();
	}
}

namespace
{
	/// Crashes the worker of the task's latest run, as soon as it has begun.
	[[nodiscard]] bool crash_worker_of(job_cluster& system, const std::string& task, int earlier_starts)
	{
		if (!job_cluster::wait_until([&] { return system.start_count(task) > earlier_starts; }, longest_wait))
			return false;
		const auto runs = system.all_started_runs();
		for (int i = 0; i < workers; ++i)
			system.with_worker(i,
							   [&](worker_standin& worker)
							   {
								   const bool has_it = std::any_of(runs.begin(), runs.end(),
																   [&](const worker_standin::started_run& run) {
																	   return run.task == task && !run.ended_at &&
																			  run.incarnation == worker.incarnation();
																   });
								   if (has_it)
									   worker.crash();
							   });
		return true;
	}
}

TEST_CASE("a power loss gives up no task whose workers crashed twice before", "[process]")
{
	// The crashes were counted, and the third run had not lasted for long enough to clear its task. Nobody had seen the
	// workers' last responses, so the power loss counted as a third crash by the task.
	for (const auto ids : {worker_ids::kept, worker_ids::changed})
	{
		INFO((ids == worker_ids::kept ? "ids kept" : "ids changed"));
		blackout_fixture test;
		REQUIRE(test.system.wait_ready());
		REQUIRE(test.system.submit_long_running(0, long_running_job, 1) == 200);
		const auto name = blackout_fixture::task(long_running_job);
		REQUIRE(crash_worker_of(test.system, name, 0));
		REQUIRE(crash_worker_of(test.system, name, 1));
		REQUIRE(job_cluster::wait_until([&] { return test.system.start_count(name) == 3; }, longest_wait));
		std::this_thread::sleep_for(outlived_time);
		test.lose_power(fate::applied, ids);
		const auto idle = test.wait_running(long_running_job, 1);
		INFO(idle);
		CHECK(idle.empty());
	}
}
