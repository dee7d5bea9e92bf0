// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief The start refusals that an agent has reported to its owner.
#pragma once

#include "run_listing.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <deque>
#include <optional>

namespace trailjunction
{
	/// \brief Refused runs of one incarnation of a worker; the latest one of each task.
	struct refusal_memory
	{
		absl::flat_hash_map<task_key, refused_run> latest;
		std::deque<task_run> order; ///< All recorded refusals, the oldest first; includes superseded ones.
	};

	/// \brief Maximum number of recorded refusals. An order may arrive after the refusal of its run while messages are
	/// in transit, for several seconds; at 100 refused starts per second the last 40 s are kept, in 1 MB.
	inline constexpr std::size_t max_refusals = 4'096;

	/// \brief Records a refusal; drops the oldest one above max_refusals.
	void record_refusal(refusal_memory& memory, const refused_run& refusal);

	/// \brief Why a run must not start: it or a later run of its task was refused. Empty if it may start.
	[[nodiscard]] std::optional<start_refusal> refusal_of(const refusal_memory& memory,
														  const task_run& run_id) noexcept;
}
