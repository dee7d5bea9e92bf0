// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief What an owner makes of an agent's report about a run.
#pragma once

#include "shard_state.hpp"

#include <optional>

namespace trailjunction
{
	/// \brief A run as an agent reports it.
	enum class seen_run
	{
		active, ///< Something of it is, or may be, on the worker.
		ended,  ///< Over, with proof; see run_sighting::how.
	};

	/// \brief One line of a heartbeat.
	struct run_sighting
	{
		task_id task;
		run_number run;
		seen_run state{};
		run_end how{};            ///< Where it has ended.
		checkpoint_id checkpoint; ///< The last one; may be empty.
		std::string reason;
		bool throttled{};
	};

	/// \brief What the owner does about it.
	enum class run_answer
	{
		confirm,     ///< The lease is renewed from the heartbeat's stamp.
		write,       ///< Write the record; answer when it is durable.
		stop,        ///< An older run: it has to go.
		acknowledge, ///< Known and durable: the agent may forget it.
		ignore,
	};

	/// \brief The answer to one sighting.
	struct sighting_decision
	{
		run_answer what{run_answer::ignore};
		std::optional<journal_record> record; ///< With write; also with confirm, where a newer checkpoint was seen.
	};

	/// \brief Decides about one sighting.
	/// \param task The task, or null where the shard has none of this name.
	/// \param worker Who reports. \param worker_life The agent's incarnation.
	[[nodiscard]] sighting_decision decide_sighting(const task_state* task, const run_sighting& sighting,
													const worker_id& worker, incarnation worker_life);

	/// \brief What the owner does about a run that its worker's agent, which is ready, does not report.
	enum class missing_run
	{
		wait,        ///< The start is on its way.
		start_again, ///< The same run: the agent's run numbers let it start once.
		fence,       ///< Another life of the agent: whatever is left may still come to an end.
	};

	/// \param sent When the start was sent last. \param resend_after How long an answer may take.
	[[nodiscard]] missing_run decide_missing(const task_state& task, incarnation worker_life, instant sent,
											 millis resend_after, instant now) noexcept;
}
