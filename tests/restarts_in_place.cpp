// SPDX-License-Identifier: MIT
/// \file
/// \brief Jobs in the real programs while a worker restarts under the id that it had, at each point of a run's life.
#include "job_storm.hpp"

#include <trailjunction/jobs/job_rows.hpp>
#include <trailjunction/jobs/job_tables.hpp>

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <thread>

using namespace trailjunction;
using namespace trailjunction::testkit;

namespace
{
	constexpr const char* earlier_job = "00000000000000a0";
	constexpr const char* batch_job = "00000000000000a1";
	constexpr const char* long_running_job = "00000000000000a2";
	constexpr const char* later_job = "00000000000000a3";
	constexpr auto longest_wait = millis{30'000};
	/// Longer than an owner takes to learn that a run has begun.
	constexpr auto confirmation_time = millis{1'500};
	constexpr auto in_flight_time = millis{300};
	/// Shorter than the time that an owner waits for the store.
	constexpr auto slow_transaction = millis{400};
	constexpr auto short_work = millis{50};
	constexpr auto medium_work = millis{800};
	constexpr auto long_work = millis{3'000};
	/// Longer than the silence after which a worker is known to be away.
	constexpr auto noticed_downtime = millis{2'000};

	std::string task(const std::string& job, int index = 0)
	{
		return absl::StrCat(job, ".0.0.", index);
	}

	/// One worker with real programs around it; each of its tasks can only run there.
	class restart_fixture
	{
	public:
		restart_fixture() : system{options()} {}

		/// Runs a job, so that the ends of the first incarnation have other numbers than those of the next one.
		[[nodiscard]] bool begin()
		{
			return system.wait_ready() && run_job(earlier_job, 6) &&
				   job_cluster::wait_until([&] { return all_ends_acknowledged(); }, longest_wait);
		}

		[[nodiscard]] bool run_job(const char* id, int tasks)
		{
			const auto accepted = [&]
			{
				return system.submit(0, id, tasks, short_work) == 200;
			};
			return job_cluster::wait_until(accepted, longest_wait) && wait_completed(id);
		}

		[[nodiscard]] bool wait_completed(const char* id)
		{
			return job_cluster::wait_until([&] { return system.state(0, id) == "completed"; }, longest_wait);
		}

		[[nodiscard]] bool wait_started(const std::string& name)
		{
			return job_cluster::wait_until([&] { return system.start_count(name) > 0; }, longest_wait);
		}

		[[nodiscard]] bool wait_done(const std::string& name)
		{
			return job_cluster::wait_until([&] { return done_count(name) > 0; }, longest_wait);
		}

		/// Waits until the owner asks the store to keep that a job is completed.
		[[nodiscard]] bool wait_commit_of_end(const char* id)
		{
			const auto is_end = [id](const row_value& row)
			{
				return row.name.table == progress_table && row.name.key == id &&
					   decode_status(row.value).value() == job_status::completed;
			};
			const auto saves_end = [&](const row_transaction& commit)
			{
				return std::any_of(commit.put.begin(), commit.put.end(), is_end);
			};
			return job_cluster::wait_until(
				[&]
				{
					return system.with_store(
						[&](memory_store& store)
						{
							const auto& commits = store.requested_commits;
							return std::any_of(commits.begin(), commits.end(), saves_end);
						});
				},
				longest_wait);
		}

		/// Waits until a long-running task runs in the worker's current incarnation.
		[[nodiscard]] bool wait_running_again(const std::string& name)
		{
			return job_cluster::wait_until([&] { return runs_in_current_incarnation(name); }, longest_wait);
		}

		void restart(millis downtime = millis{0})
		{
			restart_in_place(system, 0, downtime);
		}

		/// Restarts the worker after the clock of its instance was set back, so that its start time is the same.
		void restart_in_same_millisecond()
		{
			system.with_worker(0,
							   [](worker_standin& worker)
							   {
								   worker.next_start_time_ms = worker.start_time_ms();
								   worker.restart_in_place();
							   });
		}

		int done_count(const std::string& name)
		{
			const auto runs = system.all_started_runs();
			return static_cast<int>(std::count_if(runs.begin(), runs.end(),
												  [&](const worker_standin::started_run& run)
												  { return run.task == name && run.end_state == "done"; }));
		}

		/// The violated invariants of all tasks so far, with the events of the task; empty if there is none.
		[[nodiscard]] std::string report()
		{
			const auto found = find_concurrent_runs(system.all_started_runs());
			return found ? report_violation(system, *found, {}) : std::string{};
		}

		[[nodiscard]] std::string events_of(const std::string& name)
		{
			return report_violation(system, {name, "not as expected"}, {});
		}

		job_cluster system;

	private:
		static job_cluster_options options()
		{
			job_cluster_options out;
			out.programs = storm_programs();
			out.workers = 1;
			out.proxies = true;
			return out;
		}

		bool all_ends_acknowledged()
		{
			const auto runs = system.all_started_runs();
			return std::all_of(runs.begin(), runs.end(),
							   [](const auto& run) { return run.acknowledged_at.has_value(); });
		}

		bool runs_in_current_incarnation(const std::string& name)
		{
			const auto current = system.with_worker(0, [](worker_standin& worker) { return worker.incarnation(); });
			const auto runs = system.all_started_runs();
			return std::any_of(runs.begin(), runs.end(),
							   [&](const worker_standin::started_run& run)
							   { return run.task == name && run.incarnation == current && !run.ended_at; });
		}
	};

	/// Checks that a later job ends, and the invariants of all tasks.
	void check_later(restart_fixture& test)
	{
		{
			const bool completed = test.run_job(later_job, 6);
			INFO((completed ? std::string{} : test.events_of(task(later_job))));
			CHECK(completed);
		}
		const auto violations = test.report();
		INFO(violations);
		CHECK(violations.empty());
	}

	/// Checks that the batch job ends as required, and what check_later() checks.
	void check_batch_job(restart_fixture& test, int tasks)
	{
		{
			const bool completed = test.wait_completed(batch_job);
			INFO((completed ? std::string{} : test.events_of(task(batch_job))));
			CHECK(completed);
		}
		for (int i = 0; i < tasks; ++i)
			CHECK(test.done_count(task(batch_job, i)) > 0);
		check_later(test);
	}

	/// Checks that the long-running task runs again, and what check_later() checks.
	void check_long_running_job(restart_fixture& test)
	{
		{
			const bool runs_again = test.wait_running_again(task(long_running_job));
			INFO((runs_again ? std::string{} : test.events_of(task(long_running_job))));
			CHECK(runs_again);
		}
		check_later(test);
	}

	/// Submits a job of two tasks and waits until its owner knows that they run.
	void run_batch_job(restart_fixture& test)
	{
		REQUIRE(test.system.submit(0, batch_job, 2, long_work) == 200);
		for (int i = 0; i < 2; ++i)
			REQUIRE(test.wait_started(task(batch_job, i)));
		std::this_thread::sleep_for(confirmation_time);
	}

	/// Submits a long-running task and waits until its owner knows that it runs.
	void run_long_running_job(restart_fixture& test)
	{
		REQUIRE(test.system.submit_long_running(0, long_running_job, 1) == 200);
		REQUIRE(test.wait_started(task(long_running_job)));
		std::this_thread::sleep_for(confirmation_time);
	}

	/// Runs a task and waits until the transaction that stores its end has begun, which then takes some time.
	void begin_commit_of_end(restart_fixture& test)
	{
		REQUIRE(test.system.submit(0, batch_job, 1, medium_work) == 200);
		REQUIRE(test.wait_started(task(batch_job)));
		test.system.with_store([](memory_store& store) { store.faults.transaction_duration = slow_transaction; });
		REQUIRE(test.wait_commit_of_end(batch_job));
	}

	void end_slow_transactions(restart_fixture& test)
	{
		test.system.with_store([](memory_store& store) { store.faults.transaction_duration = millis{0}; });
	}
}

TEST_CASE("a task runs as required if its worker restarts under its id while the start is in flight", "[process]")
{
	restart_fixture test;
	REQUIRE(test.begin());
	test.system.with_worker(0,
							[](worker_standin& worker)
							{
								worker.faults.late_orders = 1;
								worker.faults.late_delay = in_flight_time;
							});
	REQUIRE(test.system.submit(0, batch_job, 1, medium_work) == 200);
	const auto is_in_flight = [&]
	{
		return test.system.with_worker(0, [](worker_standin& worker) { return worker.faults.late_orders == 0; });
	};
	REQUIRE(job_cluster::wait_until(is_in_flight, longest_wait));
	test.restart();
	check_batch_job(test, 1);
}

TEST_CASE("a task runs as required if its worker restarts under its id before it answers the start", "[process]")
{
	restart_fixture test;
	REQUIRE(test.begin());
	test.system.with_worker(0,
							[](worker_standin& worker) { worker.faults.start_delay.before_response = in_flight_time; });
	REQUIRE(test.system.submit(0, batch_job, 1, medium_work) == 200);
	REQUIRE(test.wait_started(task(batch_job)));
	test.restart();
	check_batch_job(test, 1);
}

TEST_CASE("running tasks run again if their worker restarts under its id at once", "[process]")
{
	restart_fixture test;
	REQUIRE(test.begin());
	run_batch_job(test);
	test.restart();
	check_batch_job(test, 2);
}

TEST_CASE("running tasks run again if their worker restarts under its id in the same millisecond", "[process]")
{
	restart_fixture test;
	REQUIRE(test.begin());
	run_batch_job(test);
	test.restart_in_same_millisecond();
	check_batch_job(test, 2);
}

TEST_CASE("running tasks run again if their worker restarts under its id after some time", "[process]")
{
	restart_fixture test;
	REQUIRE(test.begin());
	run_batch_job(test);
	test.restart(noticed_downtime);
	check_batch_job(test, 2);
}

TEST_CASE("a task runs as required if its worker restarts under its id before the end of the run was heard",
		  "[process]")
{
	restart_fixture test;
	REQUIRE(test.begin());
	REQUIRE(test.system.submit(0, batch_job, 1, medium_work) == 200);
	REQUIRE(test.wait_started(task(batch_job)));
	const auto with_calls = [&](const std::function<void(fault_proxy&)>& work)
	{
		test.system.with_proxy(proxied_connection::worker_calls, 0, work);
	};
	with_calls([](fault_proxy& proxy) { proxy.faults().hold_responses = true; });
	REQUIRE(test.wait_done(task(batch_job)));
	test.restart();
	with_calls(
		[](fault_proxy& proxy)
		{
			proxy.close_connections();
			proxy.faults() = {};
		});
	check_batch_job(test, 1);
}

TEST_CASE("a task runs as required if its worker restarts under its id before the end of the run was stored",
		  "[process]")
{
	restart_fixture test;
	REQUIRE(test.begin());
	begin_commit_of_end(test);
	test.restart();
	end_slow_transactions(test);
	check_batch_job(test, 1);
}

TEST_CASE("a stored end stays if its worker restarts under its id before it hears that it was stored", "[process]")
{
	restart_fixture test;
	REQUIRE(test.begin());
	begin_commit_of_end(test);
	const auto with_calls = [&](const std::function<void(fault_proxy&)>& work)
	{
		test.system.with_proxy(proxied_connection::worker_calls, 0, work);
	};
	with_calls([](fault_proxy& proxy) { proxy.faults().hold_all = true; });
	REQUIRE(test.wait_completed(batch_job));
	end_slow_transactions(test);
	test.restart();
	with_calls(
		[](fault_proxy& proxy)
		{
			proxy.close_connections();
			proxy.faults() = {};
		});
	check_batch_job(test, 1);
	CHECK(test.system.start_count(task(batch_job)) == 1);
}

TEST_CASE("a task runs as required if a late listing acknowledges ends of its worker's earlier incarnation",
		  "[process]")
{
	// Listings with the acknowledgement of ends of the earlier incarnation are carried out by the next one while the
	// task runs there.
	restart_fixture test;
	REQUIRE(test.begin());
	run_batch_job(test);
	test.system.with_worker(0,
							[](worker_standin& worker)
							{
								worker.faults.late_holds = 1;
								worker.faults.late_delay = medium_work;
							});
	const auto is_late = [&]
	{
		return test.system.with_worker(0, [](worker_standin& worker) { return worker.faults.late_holds == 0; });
	};
	REQUIRE(job_cluster::wait_until(is_late, longest_wait));
	test.restart();
	check_batch_job(test, 2);
}

TEST_CASE("tasks run as required on a restarted worker that a listing call for its earlier incarnation reaches first",
		  "[process]")
{
	// The call acknowledges ends of the earlier incarnation, and no heartbeat has told the agent of the restart.
	restart_fixture test;
	REQUIRE(test.begin());
	const auto with_calls = [&](const std::function<void(fault_proxy&)>& work)
	{
		test.system.with_proxy(proxied_connection::worker_calls, 0, work);
	};
	with_calls([](fault_proxy& proxy) { proxy.faults().hold_all = true; });
	// Longer than a listing call waits, so that the next one is on its way.
	std::this_thread::sleep_for(noticed_downtime);
	test.system.with_worker(0,
							[](worker_standin& worker)
							{
								worker.faults.late_heartbeats = 3;
								worker.faults.late_delay = in_flight_time;
								worker.restart_in_place();
							});
	with_calls([](fault_proxy& proxy) { proxy.faults() = {}; });
	REQUIRE(test.system.submit(0, batch_job, 2, medium_work) == 200);
	check_batch_job(test, 2);
}

TEST_CASE("tasks that ended after their worker's restart under its id are not started again when it is replaced",
		  "[process]")
{
	restart_fixture test;
	REQUIRE(test.begin());
	test.restart();
	REQUIRE(test.system.submit(0, batch_job, 2, medium_work) == 200);
	for (int i = 0; i < 2; ++i)
		REQUIRE(test.wait_done(task(batch_job, i)));
	std::this_thread::sleep_for(confirmation_time);
	test.system.with_worker(0, [](worker_standin& worker) { worker.restart("life-of-replacement"); });
	check_batch_job(test, 2);
}

TEST_CASE("a long-running task runs again if its worker restarts under its id at once", "[process]")
{
	restart_fixture test;
	REQUIRE(test.begin());
	run_long_running_job(test);
	test.restart();
	check_long_running_job(test);
}

TEST_CASE("a long-running task runs again if its worker restarts under its id after some time", "[process]")
{
	restart_fixture test;
	REQUIRE(test.begin());
	run_long_running_job(test);
	test.restart(noticed_downtime);
	check_long_running_job(test);
}

TEST_CASE("a long-running task runs again if its worker restarts under its id while their agent is down", "[process]")
{
	restart_fixture test;
	REQUIRE(test.begin());
	run_long_running_job(test);
	test.system.agent(0).kill();
	test.restart();
	test.system.restart_agent(0);
	check_long_running_job(test);
}

TEST_CASE("a long-running task runs again if its worker restarts under its id and another owner takes over",
		  "[process]")
{
	restart_fixture test;
	REQUIRE(test.begin());
	run_long_running_job(test);
	const int owner = test.system.owner();
	REQUIRE(owner >= 0);
	test.system.entry(owner).kill();
	test.restart();
	const auto taken_over = [&]
	{
		return test.system.owner() != owner;
	};
	REQUIRE(job_cluster::wait_until(taken_over, longest_wait));
	test.system.restart_entry(owner);
	check_long_running_job(test);
}

TEST_CASE("running tasks run again if their worker restarts under its id while their agent is down", "[process]")
{
	restart_fixture test;
	REQUIRE(test.begin());
	run_batch_job(test);
	test.system.agent(0).kill();
	test.restart();
	test.system.restart_agent(0);
	check_batch_job(test, 2);
}

TEST_CASE("running tasks run again if their worker restarts under its id and another owner takes over", "[process]")
{
	restart_fixture test;
	REQUIRE(test.begin());
	run_batch_job(test);
	const int owner = test.system.owner();
	REQUIRE(owner >= 0);
	test.system.entry(owner).kill();
	test.restart();
	const auto taken_over = [&]
	{
		return test.system.owner() != owner;
	};
	REQUIRE(job_cluster::wait_until(taken_over, longest_wait));
	test.system.restart_entry(owner);
	check_batch_job(test, 2);
}
