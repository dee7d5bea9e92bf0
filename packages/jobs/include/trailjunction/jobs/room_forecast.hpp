// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief What room the owner of the jobs expects, by service and queue.
/// \details Made by the owner, who knows all claims and all that waits; told to the entries, who decide about new jobs
/// by it. A forecast is flat in jobs and tasks: some numbers for each service and queue. It errs towards more room than
/// there is: work that is handed in later and goes before a job is not in it, nor are groups whose turn has not come.
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

	/// \brief The room of one service's workers.
	struct service_room
	{
		service_id service;
		resources capacity;     ///< Of the workers that take new work; not told to entries.
		resources free;         ///< Of that, what nothing claims; entries are told its processors alone.
		resources widest;       ///< The most of each kind that is free on one of them: what does not fit is not free.
		double cores_at_work{}; ///< Processor claims of the tasks there that end and are no fillers.
		double filler_cores_at_work{}; ///< Processor claims of the fillers there.
		double cores_per_second{};     ///< Processors that ends of these tasks are expected to set free each second.
	};

	/// \brief What a new job of a queue may expect.
	struct queue_outlook
	{
		queue_id queue;
		service_id service;
		bool filler{};                 ///< Most of its work that waits are fillers.
		double backlog_core_seconds{}; ///< Of waiting work of this kind that goes before a new job of the queue.
		millis wait{};                 ///< Until its first task would start.
		millis wait_spread{};          ///< Standard deviation of that.
		run_time_record learnt;        ///< How long its tasks take.
	};

	/// \brief A forecast, as it was when it was made.
	struct room_forecast
	{
		std::vector<service_room> services;
		std::vector<queue_outlook> queues; ///< Those for which work waits; a new job of any other starts at once.
		std::optional<instant> made_at;    ///< Nothing: none is known, as after a takeover.
	};

	/// \brief How sure a forecast is.
	struct forecast_policy
	{
		/// Standard deviation of a group's work around what is expected, as a share: run times of a queue differ so.
		double work_spread{0.46};
		/// The same for the rate at which work is done: fillers seldom work at their full speed.
		double rate_spread{0.3};
		/// Queues in one forecast, those with the longest waits: some 120 bytes each in a row that is written with
		/// every transaction of the owner.
		std::size_t most_queues{32};
	};

	/// \brief Forecasts the room from what is placed and what waits.
	/// \param workers As placement sees them, charged with what is placed.
	[[nodiscard]] room_forecast forecast_room(const job_table& table, std::span<const worker_room> workers,
											  const decision_time& at, const forecast_policy& policy = {});

	/// \brief A forecast as the owner's row carries it.
	/// \param made_ms When it was made, of the store's clock.
	[[nodiscard]] stored::forecast forecast_row(const room_forecast& forecast, std::int64_t made_ms);

	/// \brief Reads forecast_row()'s row; unknown where an older build wrote none.
	/// \param store_ms The store's clock when it gave the row out.
	/// \param read_at This instance's clock then.
	[[nodiscard]] room_forecast forecast_from(const stored::forecast& row, std::int64_t store_ms, instant read_at);
}
