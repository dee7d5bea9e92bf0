// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief An agent's table of the runs on its worker, and its decisions about starts, lease renewals and expiry.
#pragma once

#include "protocol_times.hpp"
#include "run_report.hpp"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <string>
#include <vector>

namespace trailjunction
{
	/// \brief State of a run at the agent.
	enum class agent_run_state
	{
		starting, ///< Start sent to the platform, no answer yet.
		running,
		paused, ///< Its lease has expired.
		stopping,
		ended, ///< Kept until the owner has acknowledged the end.
	};

	/// \brief One run on the worker.
	struct agent_run
	{
		task_id task;
		run_number run;
		shard_id shard;
		kind_id kind;
		resources claim;
		bool replica{}; ///< Replica of a service: keeps running while no entry confirms it.
		agent_run_state state{agent_run_state::starting};
		run_end end_status{};
		std::string reason;
		checkpoint_id checkpoint;
		instant lease_end{};
		instant started_at{}; ///< When the platform answered the start.
		instant paused_at{};
		bool pause_confirmed{}; ///< The platform has confirmed the pause: no process of the run executes.
		bool throttled{};
		bool evicting{};    ///< A checkpoint was taken for an eviction; the stop ends the run as evicted.
		bool unconfirmed{}; ///< Found after a restart of the agent; not renewed before an owner confirms it.
	};

	/// \brief An order to start a run, as received.
	struct start_order
	{
		task_id task;
		run_number run;
		shard_id shard;
		epoch owner_epoch;
		instant stamp{};               ///< Time by the agent's own clock, echoed by the owner.
		incarnation agent_incarnation; ///< Incarnation of the agent that the stamp belongs to.
		kind_id kind;
		resources claim;
		bool replica{};
		checkpoint_id checkpoint;
		std::string command;
		bool adopt{};
	};

	/// \brief Resources of one worker that tasks of this system can use.
	struct worker_room
	{
		resources capacity;
		resources reserved;    ///< Reserved for the operators' own scripts.
		resources foreign_use; ///< Measured use by processes that this system did not start.

		/// \brief Capacity minus the larger of reservation and foreign use, in each dimension.
		[[nodiscard]] resources usable() const noexcept;
	};

	/// \brief State that the decisions about runs on one worker depend on.
	struct run_table
	{
		incarnation agent_incarnation;
		bool ready{}; ///< The agent knows what runs on the worker; starts are ignored before.
		bool leaving{};
		worker_room room;
		absl::flat_hash_map<task_id, agent_run> runs;
		absl::flat_hash_map<shard_id, epoch> epochs;        ///< Highest owner epoch seen of each shard.
		absl::flat_hash_map<task_id, run_number> last_runs; ///< Highest run number seen, by task; includes ended runs.
	};

	/// \brief Sum of the claims of all runs that have not ended.
	[[nodiscard]] resources claimed(const run_table& table) noexcept;

	/// \brief Result of an order to start a run.
	enum class start_result
	{
		accepted,  ///< The run is in the table as starting.
		duplicate, ///< The order was accepted or refused before.
		refused,   ///< The run has provably not started and never will; it is in the table as ended.
		ignored,   ///< Not valid for this agent now; implies nothing about whether the run exists.
	};

	/// \brief The result of a start with its reason.
	struct start_decision
	{
		start_result result{start_result::ignored};
		std::string reason;
	};

	/// \brief Decides about an order to start a run and updates the table.
	[[nodiscard]] start_decision accept_start(run_table& table, const start_order& order, const protocol_times& times,
											  instant now);

	/// \brief Whether an order or grant of this epoch is valid for the shard; records the epoch if it is higher.
	[[nodiscard]] bool accept_epoch(run_table& table, shard_id shard, epoch owner_epoch);

	/// \brief One run that a grant confirms or acknowledges.
	struct run_grant
	{
		task_id task;
		run_number run;
		shard_id shard;
		epoch owner_epoch;
		instant stamp{};
		incarnation agent_incarnation;
	};

	/// \brief Result of a grant for one run.
	enum class grant_result
	{
		renewed,
		resumed, ///< The run was paused and continues.
		other_incarnation,
		stale_epoch,
		expired, ///< The lease that the grant would give has already expired.
		unknown_run,
	};

	/// \brief Applies one confirmation. The lease starts at the agent's own stamp.
	[[nodiscard]] grant_result apply_grant(run_table& table, const run_grant& grant, const protocol_times& times,
										   instant now);

	/// \brief Applies an owner's acknowledgement that the end of a run is durable.
	/// \returns Whether the run may be removed; false if the owner has been superseded.
	[[nodiscard]] bool accept_acknowledgement(run_table& table, const run_grant& acknowledged);

	/// \brief Runs whose leases have expired, by the action that is due.
	struct expired_leases
	{
		std::vector<task_id> pause;
		std::vector<task_id> stop;
	};

	/// \brief Pauses runs whose lease (L) has expired, and stops them later.
	/// \details A run is stopped P/2 after the expiry if the platform has not confirmed the pause, otherwise after
	/// paused_hold. A confirmed pause keeps the run on the worker, so that an outage of the store does not force a
	/// restart. It is safe because a paused run does not execute, and only an owner of the newest epoch can confirm it.
	[[nodiscard]] expired_leases expire_leases(run_table& table, const protocol_times& times, instant now);

	/// \brief Runs whose lease at the platform may be renewed now.
	[[nodiscard]] std::vector<task_id> renewable_runs(const run_table& table, instant now);
}
