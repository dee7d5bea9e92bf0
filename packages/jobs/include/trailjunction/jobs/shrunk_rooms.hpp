// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Workers that hold less than what was placed there, and the fillers that leave them.
/// \details Fillers live on what claims leave over, and there nothing is left over: they stand still, keep memory from
/// others, and their jobs wait for them while other workers have processors to spare. They take their checkpoints
/// along, so all they lose is the time to start again. Quick work ends by itself, and a serving task serves better
/// with less than not at all: both stay.
#pragma once

#include "job_ids.hpp"
#include "job_placement.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <span>
#include <vector>

namespace trailjunction
{
	/// \brief How fast fillers leave.
	struct shrunk_policy
	{
		/// Whether they do.
		bool moves_fillers{true};
		/// A room has to be too small for so long: a claim may be counted for some hundred milliseconds after its run
		/// has ended, and a room that grows back at once costs less than a move.
		millis settled{600};
		/// Moves begun in one round, so that a rack that shrinks at once neither takes a round's time nor heaps all
		/// that ran there on the few workers that look emptiest now.
		std::size_t most_a_round{8};
	};

	/// \brief Since when each worker has held less than what is claimed there; of this process only.
	using shrunk_rooms = absl::flat_hash_map<worker_life, instant>;

	/// \brief Whether a worker holds less than what is claimed there.
	[[nodiscard]] bool is_shrunk(const worker_room& worker) noexcept;

	/// \brief Notes which workers are too small now, and chooses fillers that are to leave them.
	/// \details No more than there are processors for on other workers of their service. A filler that was moved does
	/// not come back: fit_filler() gives it no place where nothing is left over.
	/// \param workers Charged with what is placed there.
	[[nodiscard]] std::vector<task_key> leave_shrunk(shrunk_rooms& known, std::span<const worker_room> workers,
													 const job_table& table, const placement_policy& placing,
													 const shrunk_policy& policy, instant now);
}
