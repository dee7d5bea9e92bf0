// SPDX-License-Identifier: MIT
/// \file
/// \brief Jobs in the real programs while a worker restarts under its id, and its next incarnation carries out a start
/// that the former one has left without an answer.
#include "job_storm.hpp"

#include <absl/strings/match.h>
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
	constexpr auto work = millis{3'000};
	constexpr auto start_delay = millis{1'000};
	/// Longer than a task waits for its next run after a refusal, shorter than a start is valid.
	constexpr auto time_until_next_run = millis{300};

	/// Two workers with real programs around them; the first start of the job's task gets no answer.
	class late_start_fixture
	{
	public:
		late_start_fixture() : system{options()} {}

		/// Submits the job, and waits until the worker has answered the stop of its first run.
		/// \returns Whether all of that has happened.
		[[nodiscard]] bool begin()
		{
			if (!system.wait_ready())
				return false;
			for (int i = 0; i < workers; ++i)
				system.with_worker(i,
								   [](worker_standin& worker)
								   {
									   worker.faults.late_orders = 1;
									   worker.faults.late_delay = start_delay;
								   });
			return submit() && wait_unanswered() && wait_stopped();
		}

		/// The worker whose start got no answer.
		[[nodiscard]] int silent_worker() const noexcept
		{
			return silent_worker_;
		}

		[[nodiscard]] bool wait_late_start()
		{
			const auto is_late = [](const worker_standin::started_run& run)
			{
				return run.late;
			};
			return job_cluster::wait_until([&] { return std::ranges::any_of(system.all_started_runs(), is_late); },
										   longest_wait);
		}

		/// Gives an owner that takes the run for refused the time to start the next one.
		void allow_next_run()
		{
			(void)job_cluster::wait_until([&] { return system.start_count(some_task) > 0; }, time_until_next_run);
		}

		[[nodiscard]] bool wait_completed()
		{
			return job_cluster::wait_until([&] { return system.state(0, some_job) == "completed"; }, longest_wait);
		}

		/// The violated invariants, with the events of the task; empty if there is none.
		[[nodiscard]] std::string report()
		{
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
			out.proxies = true;
			return out;
		}

		bool submit()
		{
			return job_cluster::wait_until([&] { return system.submit(0, some_job, 1, work) == 200; }, longest_wait);
		}

		bool wait_unanswered()
		{
			const auto has_late_start = [this](int i)
			{
				return system.with_worker(i, [](worker_standin& worker) { return worker.faults.late_orders == 0; });
			};
			const auto found = [&]
			{
				for (int i = 0; i < workers && silent_worker_ < 0; ++i)
					silent_worker_ = has_late_start(i) ? i : -1;
				return silent_worker_ >= 0;
			};
			if (!job_cluster::wait_until(found, longest_wait))
				return false;
			for (int i = 0; i < workers; ++i)
				system.with_worker(i, [](worker_standin& worker) { worker.faults.late_orders = 0; });
			return true;
		}

		bool wait_stopped()
		{
			const auto is_stop = [](const worker_standin::recorded_call& call)
			{
				return absl::StartsWith(call.response, "/run-stop: 200");
			};
			const auto has_answered = [&](worker_standin& worker)
			{
				return std::ranges::any_of(worker.recorded_calls, is_stop);
			};
			return job_cluster::wait_until([&] { return system.with_worker(silent_worker_, has_answered); },
										   longest_wait);
		}

		int silent_worker_{-1};
	};

	void check_outcome(late_start_fixture& test)
	{
		REQUIRE(test.wait_late_start());
		CHECK(test.wait_completed());
		const auto violations = test.report();
		INFO(violations);
		CHECK(violations.empty());
	}
}

TEST_CASE("a task does not run twice if the next incarnation of its worker carries out a stopped start", "[process]")
{
	// Guards against an owner that takes a stop that the former incarnation has answered for one of the next.
	late_start_fixture test;
	REQUIRE(test.begin());
	test.allow_next_run();
	restart_in_place(test.system, test.silent_worker(), millis{700});
	check_outcome(test);
}

TEST_CASE("a task does not run twice if its agent is paused while the next incarnation carries out a stopped start",
		  "[process]")
{
	// As above, but no call of the agent comes before the late start.
	late_start_fixture test;
	REQUIRE(test.begin());
	test.allow_next_run();
	test.system.agent(test.silent_worker()).signal(SIGSTOP);
	restart_in_place(test.system, test.silent_worker(), millis{0});
	const bool has_started = test.wait_late_start();
	test.system.agent(test.silent_worker()).signal(SIGCONT);
	REQUIRE(has_started);
	check_outcome(test);
}
