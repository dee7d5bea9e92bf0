// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Encodes and decodes the store's rows for jobs; see jobs.thrift.
#pragma once

#include "filler_pressure.hpp"
#include "job_state.hpp"

#include <jobs_types.h>

#include <absl/status/statusor.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace trailjunction
{
	/// \brief Encodes the row that is written once, when a job is accepted.
	[[nodiscard]] std::string encode_submission(const queue_policy& queue, const job_spec& spec);

	/// \brief Decodes encode_submission()'s row; data_loss if it is malformed.
	[[nodiscard]] absl::StatusOr<job_state> decode_submission(const job_id& id, std::string_view row, instant now);

	/// \brief Encodes the row of an id that was cancelled before its job was stored.
	/// \param expires_ms When the row may be removed, in ms of the store's clock.
	[[nodiscard]] std::string encode_cancelled_id(std::int64_t expires_ms);

	/// \brief Decodes encode_cancelled_id()'s row; data_loss if it is malformed.
	[[nodiscard]] absl::StatusOr<std::int64_t> decode_cancelled_id(std::string_view row);

	/// \brief Encodes the progress of a job as one row of any size.
	[[nodiscard]] std::string encode_progress(const job_state& job);

	/// \brief Size limits of the rows with the progress of one job.
	struct progress_limits
	{
		std::size_t row_bytes{65'536}; ///< Of each row.
		/// Of all rows of a job together: they are written by one transaction, with room for the owner's row.
		std::size_t total_bytes{500'000};
	};

	/// \brief The rows with the progress of a job; the key of each is progress_key() of its index.
	struct progress_rows
	{
		std::vector<std::string> values; ///< At least one. Each can be decoded without the others.
		/// Longer checkpoints are left out because the rows would exceed the limits with them.
		std::optional<std::size_t> max_checkpoint_bytes;
	};

	/// \brief Encodes the progress of a job in as many rows as it needs.
	/// \returns resource_exhausted if it exceeds the limits even without checkpoints.
	[[nodiscard]] absl::StatusOr<progress_rows> encode_progress(const job_state& job, const progress_limits& limits);

	/// \brief Decodes one row of the progress of a job into it; data_loss if it is malformed or names tasks that do not
	/// exist.
	[[nodiscard]] absl::Status decode_progress(job_state& job, std::string_view row, instant now);

	/// \brief Decodes only the status in a row with the progress of a job; the same in all its rows.
	[[nodiscard]] absl::StatusOr<job_status> decode_status(std::string_view row);

	/// \brief When a job ended of which nothing runs any more, in ms of the store's clock, by the first row with its
	/// progress.
	/// \returns Empty if it has not ended, some of its runs may go on, or the row does not contain the time of its end.
	[[nodiscard]] absl::StatusOr<std::optional<std::int64_t>> decode_end(std::string_view row);

	/// \brief Encodes the row of the shard's owner.
	[[nodiscard]] std::string encode_ownership(const stored::ownership& row);
	[[nodiscard]] absl::StatusOr<stored::ownership> decode_ownership(std::string_view row);

	/// \brief Encodes the row of the shard's owner and as many further rows as its depths and its forecast need. The
	/// first row always holds what the ownership depends on.
	/// \details A forecast that does not fit is left out: entries then admit jobs without one. Depths that do not fit
	/// are left out altogether, and the first row says that they are not loaded.
	/// \param max_row_bytes Maximum size of each row.
	/// \param max_rows Maximum number of rows; at least 1.
	[[nodiscard]] std::vector<std::string> encode_ownership(const stored::ownership& row, std::size_t max_row_bytes,
															std::size_t max_rows);

	/// \brief Adds the depths and the forecast of a further row to those of the first one; data_loss if it is
	/// malformed.
	[[nodiscard]] absl::Status decode_further_ownership(stored::ownership& row, std::string_view further);

	/// \brief Encodes the row of one agent.
	[[nodiscard]] std::string encode_agent(const stored::agent& row);
	[[nodiscard]] absl::StatusOr<stored::agent> decode_agent(std::string_view row);

	/// \brief Encodes the learnt pressures by the digests of their images, the most recently measured pairs first. The
	/// bases of tasks are not stored, because they are learnt again within a second.
	/// \param max_bytes Maximum size of the row; pairs that do not fit are left out.
	[[nodiscard]] std::string encode_pressures(const pressure_model& model, std::size_t max_bytes);

	/// \brief Decodes encode_pressures()'s row; data_loss if it is malformed.
	/// \param now Used as the time of the latest updates.
	[[nodiscard]] absl::StatusOr<pressure_model> decode_pressures(std::string_view row, instant now);

	/// \brief Decodes the row of earlier versions, which holds the names of the images.
	[[nodiscard]] absl::StatusOr<pressure_model> decode_named_pressures(std::string_view row, instant now);

	/// \brief Encodes the row of the worker of one agent.
	[[nodiscard]] std::string encode_worker(const stored::worker& worker);
	[[nodiscard]] absl::StatusOr<stored::worker> decode_worker(std::string_view row);
	/// \brief The incarnation that the row of a worker names; without a start time in rows of earlier versions.
	[[nodiscard]] worker_incarnation incarnation_of(const stored::worker& row);
}
