// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief The rows that keep jobs in the store.
#pragma once

#include "filler_pressure.hpp"
#include "job_state.hpp"

#include <jobs_types.h>

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <string_view>

namespace trailjunction
{
	/// \brief The row that is written once, when a job is accepted.
	[[nodiscard]] std::string encode_submission(const queue_policy& queue, const job_spec& spec);

	/// \brief Reads encode_submission()'s row; data_loss where it is none.
	[[nodiscard]] absl::StatusOr<job_state> decode_submission(const job_id& id, std::string_view row, instant now);

	/// \brief The row that says how far a job is.
	[[nodiscard]] std::string encode_progress(const job_state& job);

	/// \brief Reads encode_progress()'s row into a job; data_loss where it is none or names tasks that are not there.
	[[nodiscard]] absl::Status decode_progress(job_state& job, std::string_view row, instant now);

	/// \brief Only the status of encode_progress()'s row.
	[[nodiscard]] absl::StatusOr<job_status> decode_status(std::string_view row);

	/// \brief When a job ended of which nothing runs any more, in ms of the store's clock.
	/// \returns Nothing where it has not ended, something of it may run, or the row does not say when it ended.
	[[nodiscard]] absl::StatusOr<std::optional<std::int64_t>> decode_end(std::string_view row);

	/// \brief The row of the shard's owner.
	[[nodiscard]] std::string encode_ownership(const stored::ownership& row);
	[[nodiscard]] absl::StatusOr<stored::ownership> decode_ownership(std::string_view row);

	/// \brief The row of one agent.
	[[nodiscard]] std::string encode_agent(const stored::agent& row);
	[[nodiscard]] absl::StatusOr<stored::agent> decode_agent(std::string_view row);

	/// \brief Pairs of images in one row, the latest corrected first: some 40 bytes each, well below what a row holds.
	inline constexpr std::size_t most_stored_pairs = 500;

	/// \brief The row of the learnt pressures; bases of tasks are not kept, they are learnt within a second.
	[[nodiscard]] std::string encode_pressures(const pressure_model& model);

	/// \brief Reads encode_pressures()'s row.
	/// \param now Taken for the time of the last corrections.
	[[nodiscard]] absl::StatusOr<pressure_model> decode_pressures(std::string_view row, instant now);

	/// \brief The row of the worker beside one agent.
	[[nodiscard]] std::string encode_worker(const stored::worker& worker);
	[[nodiscard]] absl::StatusOr<stored::worker> decode_worker(std::string_view row);
}
