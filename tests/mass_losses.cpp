// SPDX-License-Identifier: MIT
/// \file
/// \brief Tests of crashes of nearly all workers at the same time, as in a power loss. Pure functions, no processes.
///
/// Guards against tasks that are given up, or that wait for a worker of their own, after the whole fleet has lost power
/// several times in a row.
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

	/// Workers of several data centres that run the tasks of some jobs and go down at the same time.
	struct fleet
	{
		void add_running(const std::string& id, std::uint32_t count, bool long_running)
		{
			auto group = group_of(count, 100);
			group.long_running = long_running;
			add_job(table, job_of(id, {group}));
		}

		[[nodiscard]] worker_incarnation worker(std::size_t number) const
		{
			return worker_incarnation{"w" + std::to_string(number) + "+" + std::to_string(wave)};
		}

		data_centre_id data_centre_of(std::size_t number) const
		{
			return data_centre_id{"dc-" + std::to_string(number % data_centres)};
		}

		/// Starts the waiting tasks of a job, one on each worker from \p first on.
		void start(const std::string& id, std::size_t first)
		{
			auto& job = *find_job(table, job_id{id});
			for (std::size_t i = 0; i < job.tasks.size() && !has_ended(job.status); ++i)
				if (job.tasks[i].phase == task_stage::waiting && !is_held_back(job.tasks[i], now))
					confirm_run(table, assign(table, task_key_at(job, i), worker((first + i) % workers), now), now);
		}

		/// Lets time pass, then crashes the workers that \p goes_down selects. The others answer on.
		template <typename Select>
		void crash_after(millis age, Select goes_down)
		{
			now += age;
			std::vector<worker_sighting> sightings;
			for (std::size_t i = 0; i < workers; ++i)
				if (goes_down(i))
					crash(i);
				else
					sightings.push_back({started_at, now + millis{400}, data_centre_of(i)});
			cleared = clear_mass_losses(table, sightings, policy);
			++wave;
			now += millis{700};
			started_at = now;
		}

		void crash(std::size_t number)
		{
			lost_worker lost{worker(number), now, {}, {}};
			lost.data_centre = data_centre_of(number);
			(void)record_worker_crash(table, lost, policy);
			for (const auto& run : collect_lost_runs(table, lost, true, policy))
				(void)record_lost_run(table, run, lost.incarnation, policy, now);
		}

		[[nodiscard]] bool is_failed(const std::string& id) const
		{
			return find_job(table, job_id{id})->status == job_status::failed;
		}

		/// Whether the job has failed or, if its tasks are long-running, all of them are held back.
		[[nodiscard]] bool is_given_up(const std::string& id) const
		{
			const auto& tasks = find_job(table, job_id{id})->tasks;
			return is_failed(id) || std::all_of(tasks.begin(), tasks.end(),
												[&](const job_task& task) { return is_held_back(task, now); });
		}

		[[nodiscard]] std::size_t suspects(const std::string& id) const
		{
			const auto& tasks = find_job(table, job_id{id})->tasks;
			return static_cast<std::size_t>(std::count_if(
				tasks.begin(), tasks.end(), [](const job_task& task) { return !task.crashes.workers.empty(); }));
		}

		job_table table;
		std::size_t workers{40};
		std::size_t data_centres{2};
		int wave{};
		instant now{instant{} + std::chrono::hours{1}};
		instant started_at{now};
		std::vector<task_key> cleared;
	};

	/// Longer than a harmful start takes, shorter than the time after which a run that continues clears its task.
	constexpr auto ordinary_age = millis{800};

	constexpr auto all = [](std::size_t)
	{
		return true;
	};
}

TEST_CASE("no task is suspected or given up however often the whole fleet loses power", "[jobs]")
{
	fleet test;
	test.add_running("batch", 20, false);
	test.add_running("serving", 24, true);
	for (int i = 0; i < 6; ++i)
	{
		test.start("batch", 0);
		test.start("serving", 20);
		test.crash_after(ordinary_age, all);
	}
	for (const auto* id : {"batch", "serving"})
	{
		CHECK_FALSE(test.is_failed(id));
		CHECK(test.table.held_back.empty());
		CHECK(test.suspects(id) == 0);
	}
}

TEST_CASE("no task is suspected if the whole data centre of its worker loses power", "[jobs]")
{
	fleet test;
	test.add_running("serving", 12, true);
	test.start("serving", 0);
	test.crash_after(ordinary_age, [](std::size_t worker) { return worker % 2 == 0; });
	CHECK(test.suspects("serving") == 0);
}

TEST_CASE("crashes of a tenth of the workers at the same time count as before", "[jobs]")
{
	fleet test;
	test.add_running("serving", 12, true);
	test.start("serving", 0);
	test.crash_after(ordinary_age, [](std::size_t worker) { return worker < 4; });
	CHECK(test.suspects("serving") == 4);
	CHECK(test.cleared.empty());
}

TEST_CASE("a job that crashes all workers at once is given up, and so are two that share them", "[jobs]")
{
	const bool shared = GENERATE(false, true);
	const bool long_running = GENERATE(false, true);
	fleet test;
	test.add_running("harmful", shared ? 20 : 40, long_running);
	test.add_running("harmful too", 20, long_running);
	constexpr int max_starts = 5;
	for (int i = 0; i < max_starts; ++i)
	{
		test.start("harmful", 0);
		if (shared)
			test.start("harmful too", 20);
		test.crash_after(millis{10}, all);
	}
	CHECK(test.is_given_up("harmful"));
	CHECK((test.is_given_up("harmful too") || !shared));
}

TEST_CASE("a job that crashes all workers a second after each start is given up", "[jobs]")
{
	fleet test;
	test.add_running("harmful", 40, GENERATE(false, true));
	test.add_running("harmless", 12, true);
	constexpr int max_starts = 5;
	for (int i = 0; i < max_starts; ++i)
	{
		test.start("harmful", 0);
		test.start("harmless", 0);
		test.crash_after(millis{1'000}, all);
	}
	CHECK(test.is_given_up("harmful"));
}

TEST_CASE("the chance that a worker goes down with the others", "[jobs]")
{
	CHECK(chance_of_loss(0, 0) == 0.5);
	CHECK(chance_of_loss(8, 0) == 0.9);
	CHECK(chance_of_loss(7, 0) < 0.9);
	CHECK(chance_of_loss(160, 640) < 0.3);
}
