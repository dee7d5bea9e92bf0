// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief The refusals that an agent has told its owner.
#pragma once

#include "run_listing.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <deque>
#include <optional>

namespace trailjunction
{
	/// \brief Refused runs of one worker's incarnation; the latest of each task.
	struct refusal_memory
	{
		absl::flat_hash_map<task_key, refused_run> latest;
		std::deque<task_run> order; ///< All refusals that were kept, the oldest first; superseded ones too.
	};

	/// \brief Refusals that are kept. An order may come behind the refusal of its run for as long as messages are under
	/// way, some seconds; of a worker that refuses 100 starts a second those of 40 s are remembered, in 1 MB.
	inline constexpr std::size_t most_refusals = 4'096;

	/// \brief Keeps a refusal; the oldest goes where there are too many.
	void note_refusal(refusal_memory& memory, const refused_run& refusal);

	/// \brief Why a run must not start: it was refused, or a later run of its task was; nothing where it may.
	[[nodiscard]] std::optional<start_refusal> refusal_of(const refusal_memory& memory, const task_run& what) noexcept;
}
