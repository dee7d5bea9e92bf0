// SPDX-License-Identifier: MIT
/// \file
/// \brief Fillers must not concentrate on a worker whose serving tasks are already over their targets.
#include "job_fixtures.hpp"

#include <catch2/catch.hpp>

#include <cmath>
#include <numbers>

using namespace trailjunction;
using namespace trailjunction::job_fixtures;

namespace
{
	/// A worker with serving tasks of one image, running fillers that slow them down, and more waiting fillers.
	struct pressed_worker
	{
		pressed_worker(std::uint32_t at_work, double pressure)
		{
			auto serving = group_of(2, 4'000);
			serving.long_running = true;
			serving.latency_target = millis{20};
			serving.image = "s";
			add_job(table, job_of("a", {serving}));
			auto heavy = group_of(6, 1'000);
			heavy.filler = true;
			heavy.image = "heavy";
			add_job(table, job_of("b", {heavy}));
			for (std::uint32_t i = 0; i < 2; ++i)
				assign(table, {job_id{"a"}, 0, 0, i}, worker_incarnation{"w1"}, start);
			for (std::uint32_t i = 0; i < at_work; ++i)
				assign(table, {job_id{"b"}, 0, 0, i}, worker_incarnation{"w1"}, start);
			pressures.pairs[make_image_pair("s", "heavy")] = {pressure, 0.001, start};
		}

		std::size_t place()
		{
			std::vector<worker_room> rooms{room_of("w1", 32'000)};
			charge_workers(rooms, table, pressures, policy);
			return place_tasks(rooms, table, waiting_tasks(table, 0), pressures, policy, {start, 0}).size();
		}

		job_table table;
		pressure_model pressures;
		placement_policy policy;
	};
}

TEST_CASE("no filler is added to a worker whose fillers put its serving tasks over their targets", "[jobs]")
{
	// If only its additional harm counted, the fourth filler would be accepted: three put the serving tasks far over
	// their targets, and a fourth changes little.
	pressed_worker worker{3, 1.0};
	CHECK(worker.place() == 0);
	pressed_worker alone{0, 0.01};
	CHECK(alone.place() == 6);
}

TEST_CASE("a filler without pressure may be placed beside fillers with high pressure", "[jobs]")
{
	pressed_worker worker{3, 1.0};
	auto gentle = group_of(1, 1'000);
	gentle.filler = true;
	gentle.image = "gentle";
	worker.pressures.pairs[make_image_pair("s", "gentle")] = {0.001, 0.001, start};
	add_job(worker.table, job_of("c", {gentle}));
	CHECK(worker.place() == 1);
}

TEST_CASE("a filler avoids a serving task whose load is about to rise", "[jobs]")
{
	// The load is measured on the rise and on the fall of a swing, each time at its mean value, so the latest sample
	// alone does not tell them apart.
	const auto placed_after = [](double turns, bool forecasts_load)
	{
		pressed_worker worker{0, 0.12};
		worker.policy.forecasts_load = forecasts_load;
		const pressure_policy pressure_rules;
		constexpr double period = 8.0;
		for (double at = 0.0; at <= (2.0 + turns) * period; at += 0.5)
		{
			const double load = -0.45 + 0.7 * std::cos(2.0 * std::numbers::pi * at / period);
			const auto now = start + std::chrono::duration_cast<instant::duration>(std::chrono::duration<double>{at});
			learn_pressure(worker.pressures, {{job_id{"a"}, 0, 0, 0}, "s", std::exp(load)}, {}, pressure_rules, now);
		}
		return worker.place();
	};
	constexpr double rising = 0.75; // turns after the maximum: at the mean, halfway up
	constexpr double falling = 0.25;
	CHECK(placed_after(rising, true) < placed_after(falling, true));
	CHECK(placed_after(rising, true) < placed_after(rising, false));
	CHECK(placed_after(falling, true) > placed_after(falling, false));
}

TEST_CASE("without a load history, as after a takeover, the forecast is the prior until the next measurement", "[jobs]")
{
	const pressure_policy pressure_rules;
	const pressure_model empty_model;
	const task_key task{job_id{"a"}, 0, 0, 0};
	for (const auto base : forecast_bases(empty_model, task, pressure_rules))
		CHECK(base == pressure_rules.prior_base);
	pressure_model model;
	learn_pressure(model, {task, "s", 0.5}, {}, pressure_rules, start);
	CHECK(forecast_bases(model, task, pressure_rules).front() != pressure_rules.prior_base);
	forget_bases(model, task.job);
	CHECK(model.loads.empty());
}
