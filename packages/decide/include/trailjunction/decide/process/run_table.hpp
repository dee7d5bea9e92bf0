// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief The runs on one worker, as its agent holds them.
#pragma once

#include "protocol_times.hpp"
#include "sighting.hpp"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <string>
#include <vector>

namespace trailjunction
{
	/// \brief Where a run stands at the agent.
	enum class agent_run_state
	{
		starting, ///< Handed to the platform, no answer yet.
		running,
		paused, ///< Its lease has lapsed.
		stopping,
		ended, ///< Kept until the owner has acknowledged it.
	};

	/// \brief One run on the worker.
	struct agent_run
	{
		task_id task;
		run_number run;
		shard_id shard;
		kind_id kind;
		resources claim;
		bool replica{}; ///< Keeps running while no entry confirms it.
		agent_run_state state{agent_run_state::starting};
		run_end how{};
		std::string reason;
		checkpoint_id checkpoint;
		instant lease_end{};
		instant started{}; ///< When the platform answered the start.
		instant paused_at{};
		bool pause_held{}; ///< The platform has answered the pause: nothing of the run moves.
		bool throttled{};
		bool evicting{};    ///< A checkpoint was taken for an eviction: the stop ends it as evicted.
		bool unconfirmed{}; ///< Found on the worker after a restart: not renewed before an owner confirms it.
	};

	/// \brief An order to start, as it came.
	struct start_order
	{
		task_id task;
		run_number run;
		shard_id shard;
		epoch owner_epoch;
		instant stamp{};  ///< The agent's own clock, as echoed by the owner.
		incarnation life; ///< The life that the stamp is from.
		kind_id kind;
		resources claim;
		bool replica{};
		checkpoint_id checkpoint;
		std::string command;
		bool adopt{};
	};

	/// \brief What one worker can give to tasks of the system.
	struct worker_room
	{
		resources capacity;
		resources reserved; ///< For the operators' own scripts.
		resources foreign;  ///< Seen in use by work that is not the system's.

		/// \brief Capacity less the larger of reservation and foreign use, in each dimension.
		[[nodiscard]] resources usable() const noexcept;
	};

	/// \brief Everything that decides about runs on one worker.
	struct run_table
	{
		incarnation life;
		bool ready{}; ///< Knows what runs on the worker; refuses starts before.
		bool leaving{};
		worker_room room;
		absl::flat_hash_map<task_id, agent_run> runs;
		absl::flat_hash_map<shard_id, epoch> epochs;        ///< The highest seen of each shard.
		absl::flat_hash_map<task_id, run_number> last_runs; ///< The highest run seen of each task, ended ones too.
	};

	/// \brief Claims of everything that is on the worker.
	[[nodiscard]] resources claimed(const run_table& table) noexcept;

	/// \brief What became of a start.
	enum class start_end
	{
		accepted, ///< The run is in the table as starting.
		known,    ///< It was accepted before.
		refused,  ///< Proved not run, and never will be: it is in the table as ended.
		ignored,  ///< Not for this agent now; says nothing about whether the run exists.
	};

	/// \brief A start's end with its reason.
	struct start_decision
	{
		start_end what{start_end::ignored};
		std::string reason;
	};

	/// \brief Decides about a start.
	[[nodiscard]] start_decision accept_start(run_table& table, const start_order& order, const protocol_times& times,
											  instant now);

	/// \brief Whether an order or a grant of this epoch may act; notes a higher one.
	[[nodiscard]] bool accept_epoch(run_table& table, shard_id shard, epoch owner_epoch);

	/// \brief One confirmed run of a grant.
	struct run_grant
	{
		task_id task;
		run_number run;
		shard_id shard;
		epoch owner_epoch;
		instant stamp{};
		incarnation life;
	};

	/// \brief Why a grant did nothing.
	enum class grant_end
	{
		renewed,
		resumed, ///< The run was paused and goes on.
		other_life,
		old_epoch,
		expired, ///< The lease that it would give is over already.
		no_run,
	};

	/// \brief Applies one confirmation. The lease runs from the agent's own stamp.
	[[nodiscard]] grant_end apply_grant(run_table& table, const run_grant& grant, const protocol_times& times,
										instant now);

	/// \brief Applies an owner's word that the end of a run is durable.
	/// \returns Whether the run may be forgotten; not on the word of an owner that was replaced.
	[[nodiscard]] bool accept_acknowledgement(run_table& table, const run_grant& known);

	/// \brief What has to be done to runs whose leases have lapsed.
	struct lapse_turn
	{
		std::vector<task_id> pause;
		std::vector<task_id> stop;
	};

	/// \brief Pauses runs at L; stops those whose pause is not held within P, and the others after the hold time.
	/// \details A held pause keeps the run on the worker, so that an outage of the store costs no restart. It is
	/// harmless: a paused run does not move, and only an owner of the newest epoch can confirm it.
	[[nodiscard]] lapse_turn lapse(run_table& table, const protocol_times& times, instant now);

	/// \brief Runs whose platform lease may be renewed now.
	[[nodiscard]] std::vector<task_id> renewable(const run_table& table, instant now);
}
