// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief What room the owner of the jobs expects, by service and queue.
/// \details Made by the owner, who knows all claims and all that waits; told to the entries, who decide about new jobs
/// by it. A forecast is flat in jobs and tasks: some numbers for each service and queue.
#pragma once

#include "job_ids.hpp"

#include <trailjunction/core/ids.hpp>
#include <trailjunction/core/units.hpp>

#include <optional>
#include <span>
#include <vector>

namespace trailjunction
{
	struct decision_time;
	struct job_table;
	struct worker_room;

	/// \brief The room of one service's workers.
	struct service_room
	{
		service_id service;
		resources capacity;        ///< Of the workers that take new work.
		resources free;            ///< Of that, what nothing claims.
		double cores_per_second{}; ///< Processors that end of runs is expected to set free each second.
	};

	/// \brief What a new job of a queue may expect.
	struct queue_outlook
	{
		queue_id queue;
		service_id service;
		double backlog_core_seconds{}; ///< Of waiting work that goes before a new job of the queue.
		millis wait{};                 ///< Until its first task would start.
		millis wait_spread{};          ///< Standard deviation of that.
	};

	/// \brief A forecast, as it was when it was made.
	struct room_forecast
	{
		std::vector<service_room> services;
		std::vector<queue_outlook> queues;
		std::optional<instant> made_at; ///< Nothing: none is known, as after a takeover.
	};

	/// \brief Forecasts the room from what is placed and what waits.
	[[nodiscard]] room_forecast forecast_room(const job_table& table, std::span<const worker_room> workers,
											  const decision_time& at);
}
