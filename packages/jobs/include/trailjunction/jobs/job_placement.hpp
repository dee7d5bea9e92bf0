// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Assigns waiting tasks to workers.
#pragma once

#include "filler_pressure.hpp"
#include "job_ids.hpp"
#include "job_spec.hpp"
#include "job_table.hpp"
#include "placement_order.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace trailjunction
{
	/// \brief A serving task's expected latency ratio beside fillers that run at full pace.
	/// \details The latency ratio is a task's tail latency divided by its latency target; see filler_pressure.hpp.
	struct expected_latency
	{
		std::string image;
		double log_ratio_alone{}; ///< ln(latency ratio) without fillers.
		double log_ratio{};       ///< ln(latency ratio) with the fillers on the worker.
		/// ln(latency ratio) without fillers at each of forecast_offsets; all equal if the policy does not forecast the
		/// load.
		load_profile load_forecast{};
	};

	/// \brief A worker's capacity, load and state, as input to placement.
	struct worker_room
	{
		worker_incarnation incarnation;
		service_id service;
		std::vector<std::string> labels; ///< The worker's kind, then its rack.
		resources capacity;
		bool accepts{}; ///< The worker may receive new tasks.
		/// Between 0 (no recent failures) and 1 (all recent runs failed).
		double recent_failure_share{};
		/// Claims of all tasks on the worker, without the processor claims of fillers.
		resources claimed;
		std::int64_t filler_cpu_milli{};       ///< Processor claims of the fillers on the worker.
		std::int64_t serving_cpu_milli{};      ///< Processor claims of the serving tasks on the worker.
		std::vector<expected_latency> serving; ///< The serving tasks on the worker.
		double pace{1.0};                      ///< The share of full speed that the agent currently allows fillers.
		std::size_t suspect_runs{};            ///< Runs on the worker that are suspected of crashing workers.
		/// A suspected run has the worker to itself; nothing is started beside it.
		bool reserved{};
		bool crashed_recently{}; ///< The worker's previous incarnation crashed recently.
	};

	/// \brief Parameters of placement.
	struct placement_policy
	{
		/// The share of its processor claim that a serving task is assumed to use. Workers do not report the use; the
		/// specifications of both deployments state slightly lower values.
		double serving_use_share{0.5};
		/// Standard deviation of ln(latency ratio) around the pressure model's prediction; the residuals measured on
		/// both deployments.
		double log_ratio_deviation{0.35};
		/// A filler that adds less than this to ln(latency ratio) is not charged for the harm that other fillers cause.
		/// Three tenths of the image pairs stay below it on a day of full load: 0.003 per processor at 7 processors.
		double negligible_pressure{0.02};
		/// Cost of one serving task over its latency target, relative to a filler's full speed; derived from the values
		/// that both deployments' specifications assign to serving and batch work.
		double harm_cost{3.0};
		/// Expected number of serving tasks over their targets above which a filler waits. At this value the harm costs
		/// more than the filler's work is worth.
		double max_harm{0.4};
		/// Share of max_harm for a filler whose job is late: all specifications value late work less.
		double late_harm_share{0.3};
		/// Share of max_harm for a filler whose job has time left: it waits for a worker where it does little harm. In
		/// a simulated day of 240 workers without incidents, merge jobs earned 0.99 of their value without this limit
		/// and the serving tasks beside them 0.65. With the limit, the day's value rose from 0.780 to 0.797, and that
		/// of three days with faults by 0.021 on average.
		double low_urgency_harm_share{0.25};
		double low_urgency{0.6};   ///< Urgency up to which a job has time left; see placement_request.
		double high_urgency{0.95}; ///< Urgency from which a job has no time left.
		/// Cost of each serving task of another image on a worker, and gain of each one of the same image, relative to
		/// a worker full of serving tasks. Fillers exert high pressure on about a third of the images
		/// (docs/DECISIONS.md), so the fewer images a worker has, the more fillers can run there without harm. A cost
		/// of 0.6 outweighs packing: it earned 0.006 more of the value on a fleet whose long-running tasks claim all
		/// processors (48 simulated days) and 0.014 less on one with empty workers (24 days).
		double other_image_cost{0.2};
		double same_image_gain{0.1};
		pressure_policy pressure;
		/// Whether the load of serving tasks is forecast over a filler's run or assumed to be constant.
		bool forecasts_load{true};
		/// If less than this share of a service's capacity is claimed, a job without any running task gets a place
		/// regardless of the harm. Users tolerate such a wait only when half or more is claimed; the threshold is above
		/// that because claims change while an order is in flight.
		double spare_room_claimed_share{0.6};
		/// The share of a service's workers that may be reserved for tasks that start alone; at least one always may. A
		/// worker is reserved for one second, so ten such tasks on 11 workers are cleared within about five seconds.
		double reserved_share{0.25};
		/// Cost of each suspected task on a worker, relative to a worker whose capacity is fully claimed. It exceeds
		/// any cost of load: two suspects that crash together require two tests, and everything beside them is lost
		/// twice.
		double suspect_cost{4.0};
		/// Cost of a worker with suspected tasks for any other task, which is lost if a suspect crashes the worker. Of
		/// about ten tasks that a crash makes suspected, one may be at fault.
		double suspect_neighbour_cost{0.5};
		/// Cost of a recently crashed worker for a suspected task: a start on another worker shows whether the worker
		/// was at fault. It is lower than suspect_cost; otherwise a crash would concentrate all suspected tasks on the
		/// remaining workers.
		double recent_crash_cost{2.0};
		/// Cost of a recently crashed worker for a task that starts alone: any other worker is preferred, but even this
		/// one is better than waiting.
		double recent_crash_alone_cost{20.0};
		/// A filler waits rather than run below this share of its full speed: the fillers already placed finish sooner.
		double min_speed{0.5};
	};

	/// \brief The assignment of a task to a worker.
	struct placement
	{
		task_key task;
		std::size_t worker{}; ///< Index into the workers passed to place_tasks().
	};

	/// \brief Adds the load of all placed tasks to the workers' accounts.
	void charge_workers(std::span<worker_room> workers, const job_table& table, const pressure_model& pressures,
						const placement_policy& policy);

	/// \brief Chooses workers for tasks, in the order of order_requests(). Tasks for which there is no room are
	/// omitted.
	/// \details Adds the load of the tasks that it places to \p workers. A gang is placed completely or not at all.
	[[nodiscard]] std::vector<placement> place_tasks(std::span<worker_room> workers, const job_table& table,
													 std::vector<task_key> waiting, const pressure_model& pressures,
													 const placement_policy& policy, decision_time at);
}
