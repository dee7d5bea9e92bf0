// SPDX-License-Identifier: MIT
/// \file
/// \brief Encodes and decodes the rows with the progress of jobs.
#include "job_tasks.hpp"
#include "row_codec.hpp"

#include <trailjunction/jobs/held_tasks.hpp>
#include <trailjunction/jobs/job_rows.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <span>
#include <utility>

namespace trailjunction
{
	using impl::decode;
	using impl::encode;
	using impl::even_parts;

	namespace
	{
		/// Rows store blame in whole millionths.
		constexpr double blame_ppm = 1'000'000.0;

		/// Stands for an age without a known upper bound in rows.
		constexpr std::int64_t unknown_age_ms = -1;

		/// A successor cannot tell which incarnation has confirmed a run that no listing has shown.
		task_stage stored_phase(const job_task& task) noexcept
		{
			if (!is_placed(task))
				return task.phase;
			return task.is_listed ? task_stage::running : task_stage::ordered;
		}

		/// The incarnation at a valid index of row.workers.
		worker_incarnation worker_at(const stored::progress& row, std::int32_t index)
		{
			const auto position = static_cast<std::size_t>(index);
			// Rows of earlier versions contain no start times.
			const auto start_ms = position < row.worker_starts_ms.size() ? row.worker_starts_ms[position] : 0;
			if (start_ms == 0)
				return worker_incarnation{row.workers[position]};
			return worker_incarnation{row.workers[position], worker_start_time{static_cast<std::uint64_t>(start_ms)}};
		}

		std::int32_t worker_index(stored::progress& row, const worker_incarnation& worker)
		{
			const auto start_ms = static_cast<std::int64_t>(worker.start_time().value_or(worker_start_time{}).value);
			for (std::size_t i = 0; i < row.workers.size(); ++i)
				if (row.workers[i] == worker.id() && row.worker_starts_ms[i] == start_ms)
					return static_cast<std::int32_t>(i);
			row.workers.push_back(worker.id());
			row.worker_starts_ms.push_back(start_ms);
			return static_cast<std::int32_t>(row.workers.size() - 1);
		}

		bool is_worker_index(const stored::progress& row, std::int32_t index) noexcept
		{
			return index >= 0 && static_cast<std::size_t>(index) < row.workers.size();
		}

		/// The bounds of the age of the run in the crash at a position of from.crashed; unknown in rows of earlier
		/// versions.
		crash_age age_bounds_at(const stored::task& from, std::size_t position)
		{
			crash_age out;
			if (position < from.crash_survived_each_ms.size())
				out.lower_bound = millis{from.crash_survived_each_ms[position]};
			if (position < from.crash_latest_each_ms.size() && from.crash_latest_each_ms[position] != unknown_age_ms)
				out.upper_bound = millis{from.crash_latest_each_ms[position]};
			return out;
		}

		absl::StatusOr<crash_record> read_crashes(const stored::progress& row, const stored::task& from)
		{
			crash_record out;
			for (std::size_t i = 0; i < from.crashed.size(); ++i)
			{
				if (!is_worker_index(row, from.crashed[i]))
					return absl::DataLossError("a stored crash refers to an unknown worker");
				add_crash(out, worker_at(row, from.crashed[i]), millis{from.crash_age_ms}, age_bounds_at(from, i), 0.0);
			}
			for (const auto index : from.crash_shared)
			{
				if (!is_worker_index(row, index))
					return absl::DataLossError("a stored crash refers to an unknown worker");
				mark_correlated(out, worker_at(row, index));
			}
			out.blame = static_cast<double>(from.crash_blame_ppm) / blame_ppm;
			out.longest_survived = millis{from.crash_survived_ms};
			if (from.__isset.crash_soonest_ms)
				out.earliest_crash = millis{from.crash_soonest_ms};
			return out;
		}

		/// Whether a row has to hold the task. Of an ended job, only tasks that are still placed are stored: once there
		/// are none, decode_end() reports the job as ended.
		bool is_stored(const job_state& job, const job_task& task) noexcept
		{
			return task.run != 0 && (!has_ended(job.status) || is_placed(task));
		}

		std::vector<std::size_t> stored_positions(const job_state& job)
		{
			std::vector<std::size_t> out;
			for (std::size_t i = 0; i < job.tasks.size(); ++i)
				if (is_stored(job, job.tasks[i]))
					out.push_back(i);
			return out;
		}

		/// Encodes a task for a row, whose list of workers is extended as needed.
		stored::task to_stored(stored::progress& row, const job_state& job, std::size_t position,
							   std::size_t max_checkpoint_bytes)
		{
			const auto& from = job.tasks[position];
			stored::task to;
			to.place = static_cast<std::int32_t>(position);
			to.phase = static_cast<std::int32_t>(stored_phase(from));
			to.run = static_cast<std::int32_t>(from.run);
			to.failures = static_cast<std::int32_t>(from.failures);
			to.worker = is_placed(from) ? worker_index(row, from.worker) : -1;
			if (from.phase != task_stage::done && from.checkpoint.size() <= max_checkpoint_bytes)
				to.checkpoint = from.checkpoint;
			for (const auto& worker : from.crashes.workers)
				to.crashed.push_back(worker_index(row, worker));
			for (const auto& age : from.crashes.ages)
			{
				to.crash_survived_each_ms.push_back(age.lower_bound.count());
				to.crash_latest_each_ms.push_back(age.upper_bound.value_or(millis{unknown_age_ms}).count());
			}
			to.crash_age_ms = from.crashes.max_age.count();
			for (const auto& worker : from.crashes.correlated)
				to.crash_shared.push_back(worker_index(row, worker));
			to.crash_blame_ppm = std::llround(from.crashes.blame * blame_ppm);
			to.failed_run = static_cast<std::int32_t>(from.failed_run);
			to.crashed_run = static_cast<std::int32_t>(from.crashed_run);
			to.crash_survived_ms = from.crashes.longest_survived.count();
			if (from.crashes.earliest_crash)
				to.__set_crash_soonest_ms(from.crashes.earliest_crash->count());
			if (from.phase == task_stage::waiting && from.held_until != instant{})
				to.__set_held_until_ms(from.held_until_ms);
			return to;
		}

		std::string encode_tasks(const job_state& job, std::span<const std::size_t> positions,
								 std::size_t max_checkpoint_bytes)
		{
			stored::progress row;
			row.status = static_cast<std::int32_t>(job.status);
			row.ended_ms = job.ended_ms;
			for (const auto position : positions)
				row.tasks.push_back(to_stored(row, job, position, max_checkpoint_bytes));
			return encode(row);
		}

		/// Encodes tasks in rows of limited size.
		/// \returns Whether that is possible.
		bool append_rows(std::vector<std::string>& out, const job_state& job, std::span<const std::size_t> positions,
						 std::size_t max_checkpoint_bytes, std::size_t max_row_bytes)
		{
			auto row = encode_tasks(job, positions, max_checkpoint_bytes);
			if (row.size() <= max_row_bytes)
			{
				out.push_back(std::move(row));
				return true;
			}
			if (positions.size() < 2)
				return false;
			for (const auto part : even_parts(positions, row.size() / max_row_bytes + 1))
				if (!append_rows(out, job, part, max_checkpoint_bytes, max_row_bytes))
					return false;
			return true;
		}

		std::size_t total_size(const std::vector<std::string>& rows) noexcept
		{
			std::size_t out = 0;
			for (const auto& row : rows)
				out += row.size();
			return out;
		}

		/// Maximum sizes of checkpoints that are tried when the progress of a job exceeds its limits.
		constexpr std::size_t checkpoint_bounds[] = {61'440, 32'768, 16'384, 4'096, 1'024, 256, 64, 0};

		constexpr auto any_checkpoint = std::numeric_limits<std::size_t>::max();
	}

	std::string encode_progress(const job_state& job)
	{
		return encode_tasks(job, stored_positions(job), any_checkpoint);
	}

	absl::StatusOr<progress_rows> encode_progress(const job_state& job, const progress_limits& limits)
	{
		const auto positions = stored_positions(job);
		progress_rows out;
		const auto fits = [&](std::size_t max_checkpoint_bytes)
		{
			out.values.clear();
			return append_rows(out.values, job, positions, max_checkpoint_bytes, limits.row_bytes) &&
				   total_size(out.values) <= limits.total_bytes;
		};
		if (fits(any_checkpoint))
			return out;
		for (const auto bound : checkpoint_bounds)
			if (fits(bound))
			{
				out.max_checkpoint_bytes = bound;
				return out;
			}
		return absl::ResourceExhaustedError(absl::StrCat("the progress of ", positions.size(),
														 " tasks takes more than ", limits.total_bytes, " bytes"));
	}

	absl::Status decode_progress(job_state& job, std::string_view text, instant now)
	{
		const auto row = decode<stored::progress>(text);
		if (!row.ok())
			return row.status();
		job.status = static_cast<job_status>(row->status);
		job.ended_ms = row->ended_ms;
		for (const auto& from : row->tasks)
		{
			if (from.place < 0 || static_cast<std::size_t>(from.place) >= job.tasks.size())
				return absl::DataLossError("a stored task is not part of its job");
			auto& to = job.tasks[static_cast<std::size_t>(from.place)];
			to.phase = static_cast<task_stage>(from.phase);
			// The worker has to confirm the run again to the process that reads the row.
			to.is_listed = to.phase == task_stage::running;
			if (to.is_listed)
				to.phase = task_stage::ordered;
			to.run = static_cast<std::uint32_t>(from.run);
			to.failures = static_cast<std::uint32_t>(from.failures);
			to.failed_run = static_cast<std::uint32_t>(from.failed_run);
			to.crashed_run = static_cast<std::uint32_t>(from.crashed_run);
			to.checkpoint = from.checkpoint;
			to.phase_since = now;
			auto crashes = read_crashes(*row, from);
			if (!crashes.ok())
				return crashes.status();
			to.crashes = *std::move(crashes);
			to.suspicion_at_start = suspicion_of(to.crashes);
			if (from.__isset.held_until_ms)
			{
				// The caller knows the store's clock; otherwise the time begins anew.
				to.held_until = now + hold_time(to.crashes, {});
				to.held_until_ms = from.held_until_ms;
			}
			if (to.phase != task_stage::ordered)
				continue;
			if (!is_worker_index(*row, from.worker))
				return absl::DataLossError("a stored run refers to an unknown worker");
			to.worker = worker_at(*row, from.worker);
		}
		return absl::OkStatus();
	}

	absl::StatusOr<job_status> decode_status(std::string_view text)
	{
		const auto row = decode<stored::progress>(text);
		if (!row.ok())
			return row.status();
		return static_cast<job_status>(row->status);
	}

	absl::StatusOr<std::optional<std::int64_t>> decode_end(std::string_view text)
	{
		const auto row = decode<stored::progress>(text);
		if (!row.ok())
			return row.status();
		const bool over = has_ended(static_cast<job_status>(row->status)) && row->tasks.empty() && row->ended_ms != 0;
		return over ? std::optional{row->ended_ms} : std::nullopt;
	}
}
