// SPDX-License-Identifier: MIT
/// \file
/// \brief Jobs in the real programs while a worker holds a lease that no owner has confirmed: a start for its former
/// incarnation reached it, and its deadline lies far ahead on the clock of the next one.
#include "job_storm.hpp"

#include <trailjunction/jobs/job_rows.hpp>
#include <trailjunction/jobs/job_tables.hpp>

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>

using namespace trailjunction;
using namespace trailjunction::testkit;

namespace
{
	constexpr const char* some_job = "00000000000000a1";
	constexpr const char* some_task = "00000000000000a1.0.0.0";
	constexpr int workers = 2;
	constexpr auto longest_wait = millis{30'000};
	constexpr auto work = millis{60'000}; ///< Longer than any lease.
	/// Its lease ends long before the longest one, so that a task that starts too early is certain to overlap.
	constexpr auto contact_time = millis{1'000};
	constexpr auto longest_lease = millis{10'000};
	constexpr auto max_reaction_time = millis{2'000};
	constexpr std::int64_t former_clock_ms = 1'000'000;
	constexpr std::int64_t too_little_cpu_milli = 100;

	/// Two workers with real programs around them. One of them restarts under its id while a start for it is on its
	/// way, and carries out the start as the next incarnation.
	class unconfirmed_lease_fixture
	{
	public:
		unconfirmed_lease_fixture() : system{options()} {}

		/// Submits the job, and restarts the worker that its task is ordered to before the start is carried out.
		/// \param uptime How long the agents know the former incarnation.
		/// \returns Whether all of that has happened.
		[[nodiscard]] bool restart_before_start(millis uptime = millis{0})
		{
			for (int i = 0; i < workers; ++i)
				system.with_worker(i, [](worker_standin& worker) { set_clock_far_ahead(worker); });
			if (!system.wait_ready())
				return false;
			const auto ready_at = boottime_now();
			(void)job_cluster::wait_until([&] { return boottime_now() >= ready_at + uptime; }, longest_wait);
			for (int i = 0; i < workers; ++i)
				system.with_worker(i, [](worker_standin& worker) { worker.faults.starts_wait = true; });
			if (!job_cluster::wait_until([&] { return system.submit(0, some_job, 1, work) == 200; }, longest_wait) ||
				!job_cluster::wait_until([&] { return find_waiting_start(); }, longest_wait))
				return false;
			system.with_worker(restarted_,
							   [](worker_standin& worker)
							   {
								   worker.faults.holds_wait = worker.faults.stops_wait = true;
								   worker.restart_in_place();
							   });
			return true;
		}

		/// \returns Whether the next incarnation has begun the run, with the longest lease.
		[[nodiscard]] bool begin(millis uptime = millis{0})
		{
			if (!restart_before_start(uptime))
				return false;
			for (int i = 0; i < workers; ++i)
				let_starts_through(i);
			return job_cluster::wait_until([&] { return system.start_count(some_task) == 1; }, longest_wait) &&
				   remaining_lease() > longest_lease - max_reaction_time;
		}

		void let_starts_through(int worker)
		{
			system.with_worker(worker, [](worker_standin& standin) { standin.faults.starts_wait = false; });
		}

		/// Lets the agent's listing calls through, and waits until the owner has stored where the run is.
		[[nodiscard]] bool wait_known_to_owner()
		{
			system.with_worker(restarted_, [](worker_standin& worker) { worker.faults.holds_wait = false; });
			const auto start_time = system.with_worker(restarted_, [](worker_standin& worker)
													   { return static_cast<std::uint64_t>(worker.start_time_ms()); });
			return job_cluster::wait_until([&] { return stored_start_time() == start_time; }, longest_wait);
		}

		/// Cuts the worker off from its agent.
		/// \returns Whether its run goes on.
		[[nodiscard]] bool cut_off()
		{
			system.with_worker(restarted_, [](worker_standin& worker) { worker.faults.silent = true; });
			const auto runs = system.all_started_runs();
			return std::ranges::all_of(runs, [](const worker_standin::started_run& run)
									   { return run.task != some_task || (!run.ended_at && !run.stop_requested_at); });
		}

		/// Keeps owners from hearing the agent; its worker's run goes on.
		void pause_agent()
		{
			system.agent(restarted_).signal(SIGSTOP);
		}

		/// Kills the owner and starts it again.
		[[nodiscard]] bool replace_owner()
		{
			const auto owner = system.owner();
			if (owner >= 0)
				system.restart_entry(owner);
			return owner >= 0;
		}

		/// Restarts the agent of the restarted worker, which has no room for the task any more, and waits until the
		/// task runs on the other worker.
		[[nodiscard]] bool restart_agent_and_move()
		{
			system.with_worker(restarted_,
							   [](worker_standin& worker)
							   {
								   worker.cpu_milli = too_little_cpu_milli;
								   worker.faults.stops_wait = false;
							   });
			system.restart_agent(restarted_);
			if (!wait_known_to_owner())
				return false;
			let_starts_through(workers - 1 - restarted_);
			return job_cluster::wait_until([&] { return system.start_count(some_task) == 1; }, longest_wait);
		}

		/// Lets the start for the former incarnation through, and waits until the next one has answered it.
		[[nodiscard]] bool wait_late_start()
		{
			let_starts_through(restarted_);
			const auto has_answered = [](worker_standin& worker)
			{
				return std::ranges::any_of(worker.recorded_calls, [](const worker_standin::recorded_call& call)
										   { return call.task == some_task && call.run == 1; });
			};
			return job_cluster::wait_until([&] { return system.with_worker(restarted_, has_answered); }, longest_wait);
		}

		[[nodiscard]] bool wait_second_start()
		{
			return job_cluster::wait_until([&] { return system.start_count(some_task) > 1; }, longest_wait);
		}

		[[nodiscard]] bool wait_lease_over()
		{
			return job_cluster::wait_until([&] { return remaining_lease() < millis{0}; }, longest_wait);
		}

		/// The violated invariants, with the events of the task; empty if there is none.
		[[nodiscard]] std::string report()
		{
			system.with_worker(restarted_, [](worker_standin& worker) { worker.record_ends(boottime_now()); });
			const auto found = find_concurrent_runs(system.all_started_runs());
			return found ? report_violation(system, *found, {}) : std::string{};
		}

		job_cluster system;

	private:
		static job_cluster_options options()
		{
			job_cluster_options out;
			out.programs = storm_programs();
			out.workers = workers;
			out.contact_time = contact_time;
			out.longest_lease = longest_lease;
			return out;
		}

		/// Deadlines for this incarnation lie far ahead on the clock of the next one.
		static void set_clock_far_ahead(worker_standin& worker)
		{
			const auto usual = worker.next_first_clock_ms;
			worker.next_first_clock_ms = former_clock_ms;
			worker.restart_in_place();
			worker.next_first_clock_ms = usual;
		}

		bool find_waiting_start()
		{
			for (int i = 0; i < workers; ++i)
				if (system.with_worker(i, [](worker_standin& worker) { return worker.waiting_starts > 0; }))
					restarted_ = i;
			return restarted_ >= 0;
		}

		millis remaining_lease()
		{
			return system.with_worker(restarted_, [](worker_standin& worker) { return worker.remaining_lease(); });
		}

		/// The start time of the restarted worker's incarnation in the store; 0 if there is none.
		std::uint64_t stored_start_time()
		{
			const auto text = system.with_store(
				[this](memory_store& store)
				{ return store.value(job_partition, workers_table, absl::StrCat("agent-", restarted_ + 1)); });
			const auto row = decode_worker(text);
			return row.ok() ? static_cast<std::uint64_t>(row->start_ms) : 0;
		}

		int restarted_{-1};
	};

	void check_runs(unconfirmed_lease_fixture& test)
	{
		CHECK(test.wait_second_start());
		CHECK(test.wait_lease_over());
		const auto violations = test.report();
		INFO(violations);
		CHECK(violations.empty());
	}
}

TEST_CASE("a task does not run twice if its worker holds the lease of a call to its former incarnation", "[process]")
{
	unconfirmed_lease_fixture test;
	REQUIRE(test.begin());
	REQUIRE(test.wait_known_to_owner());
	REQUIRE(test.cut_off());
	check_runs(test);
}

TEST_CASE("a task does not run twice if its owner is replaced while its worker holds the lease of a call to its former "
		  "incarnation",
		  "[process]")
{
	// Guards against a new owner that counts only the lease that its predecessor may have confirmed.
	unconfirmed_lease_fixture test;
	REQUIRE(test.begin());
	REQUIRE(test.wait_known_to_owner());
	REQUIRE(test.cut_off());
	REQUIRE(test.replace_owner());
	check_runs(test);
}

TEST_CASE("a task does not run twice if its worker and its agent restart while its start is on its way", "[process]")
{
	// Guards against fencing tokens that fall with the worker's clock, so that the next incarnation takes the start.
	unconfirmed_lease_fixture test;
	REQUIRE(test.restart_before_start());
	REQUIRE(test.restart_agent_and_move());
	REQUIRE(test.wait_late_start());
	const auto violations = test.report();
	INFO(violations);
	CHECK(violations.empty());
}

TEST_CASE("a task does not run twice if its worker is cut off before its agent has listed the incarnation that runs it",
		  "[process]")
{
	// Guards against an owner that counts only its own lease for a run that no listing has shown.
	unconfirmed_lease_fixture test;
	// Agents count the longest lease for the first incarnation that they see.
	REQUIRE(test.begin(longest_lease + max_reaction_time));
	REQUIRE(test.cut_off());
	check_runs(test);
}

TEST_CASE("a task does not run twice if its worker is cut off before any listing and its owner is replaced",
		  "[process]")
{
	unconfirmed_lease_fixture test;
	REQUIRE(test.begin(longest_lease + max_reaction_time));
	REQUIRE(test.cut_off());
	REQUIRE(test.replace_owner());
	check_runs(test);
}

TEST_CASE(
	"a task does not run twice if its owner is replaced and its agent paused while its worker holds the lease of a "
	"call to its former incarnation",
	"[process]")
{
	// Guards against a new owner that counts the longest lease only if an agent tells it.
	unconfirmed_lease_fixture test;
	REQUIRE(test.begin(longest_lease + max_reaction_time));
	REQUIRE(test.wait_known_to_owner());
	test.pause_agent();
	REQUIRE(test.replace_owner());
	check_runs(test);
}
