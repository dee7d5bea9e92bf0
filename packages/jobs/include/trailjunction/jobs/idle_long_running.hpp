// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Finds long-running tasks that have no run, and why.
/// \details A long-running task serves until its job is cancelled, so it should always run. Its absence has no end of a
/// job that would show it. The owner looks for such tasks at regular intervals, reports those that are idle for long by
/// their reasons, and logs when a task becomes one of them or is no longer one.
#pragma once

#include "job_placement.hpp"
#include "job_table.hpp"

#include <trailjunction/core/units.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace trailjunction
{
	/// \brief Why a long-running task has no run.
	enum class idle_reason : std::uint8_t
	{
		given_up,              ///< Its job has failed; it is not started again.
		not_due,               ///< Its time has not come, or an earlier group is not done.
		owner_may_not_act,     ///< The owner has no lease, or is releasing the row.
		stale_input,           ///< The owner may have missed cancellations or evacuation requests.
		held_back,             ///< It crashed workers repeatedly and waits until it is tried again.
		no_worker,             ///< No worker of its service is known.
		workers_refuse,        ///< No worker of its service accepts starts: unresponsive, paused, draining, evacuated.
		no_room,               ///< No accepting worker has room for it.
		suspected,             ///< It must start apart or alone, and no worker with room is free of suspects.
		workers_reserved,      ///< The workers with room are reserved for tasks that start alone.
		not_chosen,            ///< A worker could run it; it is placed in the next round, or waits for its gang.
		not_ordered_yet,       ///< It is placed, and its order waits for the commit.
		ordered_not_confirmed, ///< It was ordered, and the worker has not confirmed it.
		worker_silent,         ///< It is placed on a worker that has not responded for long.
	};

	inline constexpr std::size_t idle_reason_count = 14;

	/// \brief Name of the reason in the log and in metrics.
	[[nodiscard]] std::string_view to_string(idle_reason reason) noexcept;

	/// \brief When an idle task is reported.
	struct idle_policy
	{
		/// A task without a run for longer than this is reported. Users notice the absence of a long-running task after
		/// this time. A worker that has not responded for longer than this is not known to run anything.
		millis report_after{3'000};
		millis check_interval{1'000};       ///< Between two searches; a search iterates over all long-running tasks.
		std::size_t max_changes_logged{20}; ///< Log lines after one search; a power loss makes all tasks idle at once.
	};

	/// \brief What the owner knows beside the jobs, as input to find_idle_long_running().
	struct idle_context
	{
		std::span<const worker_room> rooms; ///< With the load of all placed tasks.
		/// Last response of each worker to its agent, as far as it was reported.
		absl::flat_hash_map<worker_incarnation, instant> last_responses;
		const absl::flat_hash_set<task_run>* pending_starts{}; ///< Placed runs that are not ordered yet; null if none.
		/// Time since which workers might have been heard: workers without a response count as silent since then.
		instant listening_since{};
		bool may_act{};         ///< The owner holds its lease and does not release the row.
		bool has_stale_input{}; ///< The owner starts nothing until it has current input.
	};

	/// \brief A long-running task without a run.
	struct idle_task
	{
		task_key task;
		idle_reason reason{};
		/// Since its last run, its due time or when its job was known; for a silent worker, since its last response.
		millis idle_for{};
		worker_incarnation worker; ///< The worker on which it is placed, if any.
	};

	/// \brief Finds all long-running tasks that have been without a run for longer than idle_policy::report_after, and
	/// all of failed jobs.
	/// \details A run that its worker has confirmed counts as a run as long as the worker responds. Tasks that wait
	/// alike share one look at the workers, so the cost grows with the number of long-running tasks and not with its
	/// product with the number of workers.
	[[nodiscard]] std::vector<idle_task> find_idle_long_running(const job_table& table, const idle_context& context,
																const idle_policy& policy, decision_time at);

	/// \brief Number of idle tasks by idle_reason.
	[[nodiscard]] std::array<std::size_t, idle_reason_count> count_by_reason(std::span<const idle_task> idle) noexcept;

	/// \brief The idle tasks that were reported, with their latest reason and time.
	struct idle_reports
	{
		absl::flat_hash_map<task_key, idle_task> reported;
	};

	/// \brief Differences between two searches.
	struct idle_changes
	{
		std::vector<idle_task> begun; ///< Tasks that are idle now and were not before.
		std::vector<idle_task> ended; ///< Tasks that were idle, with their last known reason and time.
	};

	/// \brief Records the result of a search. Tasks that are not due need not run, and the end of a failed job is an
	/// event of its own; neither is reported.
	[[nodiscard]] idle_changes update_reports(idle_reports& reports, std::span<const idle_task> idle);
}
