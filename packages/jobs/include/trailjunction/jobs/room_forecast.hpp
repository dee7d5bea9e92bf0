// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief The owner's forecast of free room and waiting times, by service and queue.
/// \details Made by the owner of the jobs, which knows all claims and all waiting work, and sent to the entries, which
/// use it for admission of new jobs. Its size does not depend on the number of jobs and tasks. It errs towards more
/// room: it contains neither work that is submitted later with precedence over a job, nor groups that are not due yet.
#pragma once

#include "job_ids.hpp"
#include "run_times.hpp"

#include <trailjunction/core/ids.hpp>
#include <trailjunction/core/units.hpp>

#include <jobs_types.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace trailjunction
{
	struct decision_time;
	struct job_table;
	struct worker_room;

	/// \brief The room on one service's workers.
	struct service_room
	{
		service_id service;
		resources capacity; ///< Total capacity of the workers that accept new tasks; not sent to entries.
		resources free;     ///< Unclaimed part of the capacity; only the processors are sent to entries.
		/// The largest amount of each resource that is free on a single worker; a task that needs more finds no free
		/// room.
		resources max_free_on_one_worker;
		double cores_at_work{};        ///< Processor claims of the running tasks that end and are not fillers.
		double filler_cores_at_work{}; ///< Processor claims of the running fillers.
		double cores_per_second{};     ///< Processors per second that the ends of these tasks are expected to free.
	};

	/// \brief The expected wait of a new job of a queue.
	struct queue_outlook
	{
		queue_id queue;
		service_id service;
		bool filler{};                 ///< Most of the queue's waiting work consists of fillers.
		double backlog_core_seconds{}; ///< Waiting work of this kind that has precedence over a new job of the queue.
		millis wait{};                 ///< Expected time until the job's first task starts.
		millis wait_spread{};          ///< Standard deviation of wait.
		run_time_record learnt;        ///< Learnt run times of the queue's tasks.
	};

	/// \brief A forecast of the room of all services and the waits of all queues.
	struct room_forecast
	{
		std::vector<service_room> services;
		std::vector<queue_outlook> queues; ///< Queues with waiting work; a new job of any other queue starts at once.
		std::optional<instant> made_at;    ///< Empty if there is no forecast, as after a takeover.
	};

	/// \brief Parameters of the forecast.
	struct forecast_policy
	{
		/// Relative standard deviation of a group's actual work: that of the run times within a queue.
		double work_spread{0.46};
		/// Relative standard deviation of the rate at which work is done: fillers rarely run at full speed.
		double rate_spread{0.3};
		/// Maximum number of queues in a forecast, those with the longest waits. Each adds about 120 bytes to a row
		/// that is written with every transaction of the owner.
		std::size_t max_queues{32};
	};

	/// \brief Forecasts the room from the placed and the waiting tasks.
	/// \param workers The input of placement, charged with the placed tasks by charge_workers().
	[[nodiscard]] room_forecast forecast_room(const job_table& table, std::span<const worker_room> workers,
											  const decision_time& at, const forecast_policy& policy = {});

	/// \brief Encodes a forecast for the owner's row.
	/// \param made_ms When the forecast was made, by the store's clock.
	[[nodiscard]] stored::forecast forecast_row(const room_forecast& forecast, std::int64_t made_ms);

	/// \brief Decodes the result of forecast_row(); empty if an older build wrote the row.
	/// \param store_ms The store's clock when it returned the row.
	/// \param read_at This instance's clock at that time.
	[[nodiscard]] room_forecast forecast_from(const stored::forecast& row, std::int64_t store_ms, instant read_at);
}
