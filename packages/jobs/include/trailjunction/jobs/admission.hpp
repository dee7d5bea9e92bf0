// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Whether an entry takes a new job, by the owner's forecast of room.
/// \details Answers callers who wait for what can't be of use to them any more: they are told at once, and when to come
/// back. Only what is certainly too late is refused; in doubt a job is taken.
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
	/// \brief When a job is refused.
	struct admission_policy
	{
		/// A forecast that is older says nothing: the owner has gone, or this entry is cut off.
		millis oldest_forecast{2'000};
		/// Times its objective, a job is late and still of use to its caller; from the users' rules.
		int of_use{3};
		/// Standard deviations by which a forecast may err: 1 of 40 refusals would be wrong by its spread alone.
		double margin{2.0};
		/// No wait is told that is longer: what is expected by then is not known.
		millis longest_wait{30'000};
		millis shortest_wait{1'000}; ///< Of what callers can be told.
		/// Callers who come back within this after their time go before newcomers.
		millis return_window{2'000};
		/// Refused jobs that are remembered, the oldest forgotten first: 100 KB.
		std::size_t most_refused{1'000};
	};

	/// \brief What an entry knows for its decisions; lives with the entry.
	struct admission_state
	{
		room_forecast forecast;
		/// Core-seconds that this entry has taken since the forecast was made, by queue. What others took is not
		/// known; leaving it out errs towards taking, by what they take in one forecast's age.
		absl::flat_hash_map<queue_id, double> taken;
		/// Core-seconds that were refused since then, by queue: callers return in the order in which they asked.
		absl::flat_hash_map<queue_id, double> refused;
		absl::flat_hash_map<job_id, instant> returns; ///< When refused jobs may come back.
		std::deque<job_id> refused_order;             ///< Of those, the first refused first; forgotten ones too.
	};

	/// \brief Why a job was taken or refused.
	enum class admission_reason : std::uint8_t
	{
		no_objective, ///< Taken: the queue states none, or the job lasts or has due times.
		unknown_room, ///< Taken: there is no forecast, an old one, or none for the queue.
		room_is_free, ///< Taken: its tasks fit beside what is there now.
		in_time,      ///< Taken: it may be of use to its caller.
		too_late,     ///< Refused: it would end later than anybody waits for it.
	};

	[[nodiscard]] std::string_view to_string(admission_reason reason) noexcept;

	/// \brief One decision.
	struct admission_decision
	{
		bool taken{true};
		admission_reason reason{admission_reason::unknown_room};
		millis retry_after{};   ///< Where it is refused.
		millis expected_wait{}; ///< Until its first task would start, as far as that is known.
		double core_seconds{};  ///< Of its work.
	};

	/// \brief Takes in a forecast, unless it is older than the one that is known.
	void note_forecast(admission_state& known, room_forecast forecast);

	/// \brief Decides about a new job. Changes nothing; say with note_decision() what came of it.
	[[nodiscard]] admission_decision decide_admission(const admission_state& known, const queue_policy& queue,
													  const job_id& id, const job_spec& spec, instant now,
													  const admission_policy& policy = {});

	/// \brief Notes a decision that was acted upon.
	void note_decision(admission_state& known, const queue_policy& queue, const job_id& id,
					   const admission_decision& decision, instant now, const admission_policy& policy = {});
}
