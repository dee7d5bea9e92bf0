// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Moves fillers away from workers whose capacity has shrunk below the claims placed there.
/// \details Fillers use the processors that claims leave unused, and such a worker has none: its fillers stand still,
/// keep their memory claimed, and delay their jobs while other workers have free processors. They resume from
/// checkpoints, so a move costs only a restart. Short batch tasks end by themselves, and a serving task with less
/// capacity is better than none, so both stay.
#pragma once

#include "job_ids.hpp"
#include "job_placement.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <span>
#include <vector>

namespace trailjunction
{
	/// \brief Parameters of the moves.
	struct shrunk_policy
	{
		/// Whether fillers are moved.
		bool moves_fillers{true};
		/// A worker must have been too small for this long: a claim may still be counted some hundred milliseconds
		/// after its run has ended, and a worker whose capacity is restored at once costs less than a move.
		millis min_shrunk_time{600};
		/// Maximum number of moves that begin in one round. If a whole rack shrinks at once, the moves must neither use
		/// up the round's time nor concentrate all its fillers on the few workers that are emptiest at the moment.
		std::size_t max_moves_per_round{8};
	};

	/// \brief Since when each worker's capacity has been below its claims; not stored.
	using shrunk_rooms = absl::flat_hash_map<worker_incarnation, instant>;

	/// \brief Whether a worker's capacity is below its claims.
	[[nodiscard]] bool is_shrunk(const worker_room& worker) noexcept;

	/// \brief Updates which workers are too small, and chooses fillers to move away from them.
	/// \details Chooses no more than other workers of the service have processors for. A moved filler does not return:
	/// fit_filler() rejects workers without unused processors.
	/// \param workers Charged with the placed tasks by charge_workers().
	[[nodiscard]] std::vector<task_key> choose_fillers_to_move(shrunk_rooms& shrunk_since,
															   std::span<const worker_room> workers,
															   const job_table& table, const placement_policy& placing,
															   const shrunk_policy& policy, instant now);
}
