// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Admission control: whether an entry accepts a new job, by the owner's room forecast.
/// \details Refuses at once a job whose result would be too late to be useful, and states when to retry. Only a job
/// that is certainly too late is refused; in doubt it is accepted.
#pragma once

#include "job_spec.hpp"
#include "queue_policy.hpp"
#include "room_forecast.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>

namespace trailjunction
{
	/// \brief Parameters of admission control.
	struct admission_policy
	{
		/// An older forecast is ignored: the owner is gone, or this entry is disconnected from it.
		millis max_forecast_age{2'000};
		/// A late job is still useful to its caller up to this multiple of its objective; from the users' requirements.
		int useful_until_objectives{3};
		/// Standard deviations of the forecast wait that are allowed for its error. At 2, 1 of 40 refusals would be
		/// wrong by the spread alone.
		double margin_deviations{2.0};
		/// Upper bound of the retry delay: the load after that time cannot be predicted.
		millis max_retry_after{30'000};
		millis min_retry_after{1'000}; ///< Lower bound of the retry delay.
		/// Callers who retry within this time after their retry time take precedence over new callers.
		millis retry_window{2'000};
		/// Number of refused jobs that are remembered, about 100 KB; the oldest are dropped first.
		std::size_t max_remembered_refusals{1'000};
	};

	/// \brief An entry's state for admission decisions; lives as long as the entry.
	struct admission_state
	{
		room_forecast forecast;
		/// Core-seconds that this entry has accepted since the forecast was made, by queue. Jobs that other entries
		/// accept are not known. Ignoring them errs towards accepting, by at most what the others accept during the age
		/// of one forecast.
		absl::flat_hash_map<queue_id, double> accepted_core_seconds;
		/// Core-seconds that were refused since the forecast was made, by queue. They delay the retry time of later
		/// refusals, so that callers retry in the order in which they asked.
		absl::flat_hash_map<queue_id, double> refused_core_seconds;
		absl::flat_hash_map<job_id, instant> retry_times; ///< When each refused job may be retried.
		/// Refused jobs, the oldest refusal first; may contain jobs that are no longer in retry_times.
		std::deque<job_id> refusal_order;
	};

	/// \brief Why a job was accepted or refused.
	enum class admission_reason : std::uint8_t
	{
		no_objective, ///< Accepted: the queue has no objective, the job is long-running, or it has due times.
		unknown_room, ///< Accepted: there is no recent forecast, or it does not contain the queue.
		room_is_free, ///< Accepted: its tasks fit into the room that is free now.
		in_time,      ///< Accepted: it may end while it is still useful to its caller.
		too_late,     ///< Refused: it would end too late to be useful.
	};

	[[nodiscard]] std::string_view to_string(admission_reason reason) noexcept;

	/// \brief An admission decision.
	struct admission_decision
	{
		bool accepted{true};
		admission_reason reason{admission_reason::unknown_room};
		millis retry_after{};   ///< When to retry; only set for a refused job.
		millis expected_wait{}; ///< Expected time until the first task starts; 0 if unknown.
		double core_seconds{};  ///< Expected work of the job.
	};

	/// \brief Replaces the known forecast, unless the new one is not more recent.
	void note_forecast(admission_state& state, room_forecast forecast);

	/// \brief Decides about a new job. Does not change \p state; call note_decision() once the decision has taken
	/// effect.
	[[nodiscard]] admission_decision decide_admission(const admission_state& state, const queue_policy& queue,
													  const job_id& id, const job_spec& spec, instant now,
													  const admission_policy& policy = {});

	/// \brief Records a decision that has taken effect.
	void note_decision(admission_state& state, const queue_policy& queue, const job_id& id,
					   const admission_decision& decision, instant now, const admission_policy& policy = {});
}
