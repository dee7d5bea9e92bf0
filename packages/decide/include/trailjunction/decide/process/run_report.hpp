// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief An owner's decisions about the runs that an agent reports, or does not report, in a heartbeat.
#pragma once

#include "shard_state.hpp"

#include <optional>

namespace trailjunction
{
	/// \brief State of a run as an agent reports it.
	enum class reported_run_state
	{
		active, ///< Something of the run is, or may be, on the worker.
		ended,  ///< The run has provably ended; see reported_run::end_status.
	};

	/// \brief One run in a heartbeat.
	struct reported_run
	{
		task_id task;
		run_number run;
		reported_run_state state{};
		run_end end_status{};     ///< How the run ended; only valid if it has ended.
		checkpoint_id checkpoint; ///< Last checkpoint; may be empty.
		std::string reason;
		bool throttled{};
	};

	/// \brief The owner's response to one reported run.
	enum class run_report_action
	{
		confirm,     ///< Renew the lease from the heartbeat's stamp.
		write,       ///< Write the record, and respond when it is durable.
		stop,        ///< The run is not the task's current one: stop it.
		acknowledge, ///< The end is durable: the agent may remove the run.
		ignore,
	};

	/// \brief The response to one reported run.
	struct run_report_decision
	{
		run_report_action action{run_report_action::ignore};
		std::optional<journal_record> record; ///< With write; also with confirm if something is new.
	};

	/// \brief Decides how to respond to one reported run.
	/// \param task The task, or null if the shard has no task of this name.
	/// \param worker The reporting worker. \param worker_incarnation The incarnation of its agent.
	[[nodiscard]] run_report_decision decide_run_report(const task_state* task, const reported_run& report,
														const worker_id& worker, incarnation worker_incarnation);

	/// \brief The owner's response when a ready agent does not report a run that its worker should have.
	enum class missing_run_action
	{
		wait,         ///< The start order may still be in flight.
		resend_start, ///< Send the start order of the same run again; the agent's run numbers prevent a second start.
		fence,        ///< The agent has another incarnation: fence the run, because parts of it may still exist.
	};

	/// \brief Decides how to respond to a run that is missing from the heartbeat of a ready agent.
	/// \param sent When the start order was last sent. \param resend_after How long a response to it may take.
	[[nodiscard]] missing_run_action decide_missing_run(const task_state& task, incarnation worker_incarnation,
														instant sent, millis resend_after, instant now) noexcept;
}
