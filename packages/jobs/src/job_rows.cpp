// SPDX-License-Identifier: MIT
#include "job_tasks.hpp"

#include <trailjunction/jobs/held_tasks.hpp>
#include <trailjunction/jobs/job_rows.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <span>

namespace trailjunction
{
	using apache::thrift::protocol::TCompactProtocolT;
	using apache::thrift::transport::TMemoryBuffer;

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

		template <typename Row>
		std::string encode(const Row& row)
		{
			const auto buffer = std::make_shared<TMemoryBuffer>();
			TCompactProtocolT<TMemoryBuffer> protocol{buffer};
			row.write(&protocol);
			return buffer->getBufferAsString();
		}

		template <typename Row>
		absl::StatusOr<Row> decode(std::string_view text)
		{
			const auto buffer = std::make_shared<TMemoryBuffer>(
				reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data())), // NOLINT: OBSERVE never writes
				static_cast<std::uint32_t>(text.size()), TMemoryBuffer::OBSERVE);
			const auto size_limit = static_cast<std::int32_t>(text.size());
			TCompactProtocolT<TMemoryBuffer> protocol{buffer, size_limit, size_limit};
			Row row;
			try
			{
				row.read(&protocol);
			}
			catch (const std::exception& fault)
			{
				return absl::DataLossError(absl::StrCat("a stored row cannot be read: ", fault.what()));
			}
			return row;
		}

		stored::group to_stored(const task_group& from)
		{
			stored::group to;
			to.count = static_cast<std::int32_t>(from.count);
			to.cpu_milli = from.claim.cpu_milli;
			to.memory_mib = from.claim.memory_mib;
			to.accelerators = from.claim.accelerators;
			to.estimate_ms = from.estimate.count();
			to.after.assign(from.after.begin(), from.after.end());
			to.checkpointing = from.checkpointing;
			to.gang = from.gang;
			to.same_rack = from.same_rack;
			to.required_label = from.required_label;
			to.preferred_rack = from.preferred_rack;
			to.per_worker_limit = static_cast<std::int32_t>(from.per_worker_limit);
			to.speculative = from.speculative;
			to.long_running = from.long_running;
			to.image = from.image;
			to.latency_target_ms = from.latency_target.count();
			to.filler = from.filler;
			to.may_be_away = static_cast<std::int32_t>(from.max_unavailable);
			return to;
		}

		task_group from_stored(const stored::group& from)
		{
			task_group to;
			to.count = static_cast<std::uint32_t>(from.count);
			to.claim = {from.cpu_milli, from.memory_mib, from.accelerators};
			to.estimate = millis{from.estimate_ms};
			to.after.assign(from.after.begin(), from.after.end());
			to.checkpointing = from.checkpointing;
			to.gang = from.gang;
			to.same_rack = from.same_rack;
			to.required_label = from.required_label;
			to.preferred_rack = from.preferred_rack;
			to.per_worker_limit = static_cast<std::uint32_t>(from.per_worker_limit);
			to.speculative = from.speculative;
			to.long_running = from.long_running;
			to.image = from.image;
			to.latency_target = millis{from.latency_target_ms};
			to.filler = from.filler;
			to.max_unavailable = static_cast<std::uint32_t>(from.may_be_away);
			return to;
		}

		stored::queue to_stored(const queue_policy& from)
		{
			stored::queue to;
			to.name = from.queue.str();
			to.service_name = from.service.str();
			to.priority = from.priority;
			to.max_attempts = from.max_attempts;
			to.stretch = from.stretch;
			to.latency_target_ms = from.latency_target.count();
			return to;
		}

		queue_policy from_stored(const stored::queue& from)
		{
			return {queue_id{from.name}, service_id{from.service_name}, from.priority, from.max_attempts,
					from.stretch,        millis{from.latency_target_ms}};
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

		/// Bytes of a digest in rows.
		constexpr std::size_t digest_bytes = 16;
		/// Maximum number of bytes of the length of a list.
		constexpr std::size_t max_list_size_bytes = 5;

		void append_big_endian(std::string& out, std::uint64_t number)
		{
			for (int shift = 56; shift >= 0; shift -= 8)
				out.push_back(static_cast<char>(number >> shift));
		}

		std::uint64_t read_big_endian(std::string_view bytes) noexcept
		{
			std::uint64_t out = 0;
			for (const char byte : bytes)
				out = (out << 8U) | static_cast<unsigned char>(byte);
			return out;
		}

		std::string to_bytes(const image_digest& digest)
		{
			std::string out;
			append_big_endian(out, digest.high);
			append_big_endian(out, digest.low);
			return out;
		}

		std::optional<image_digest> digest_from_bytes(std::string_view bytes) noexcept
		{
			if (bytes.size() != digest_bytes)
				return std::nullopt;
			return image_digest{read_big_endian(bytes.substr(0, digest_bytes / 2)),
								read_big_endian(bytes.substr(digest_bytes / 2))};
		}

		/// Size of one pair in the row of pressures; the same for all pairs.
		std::size_t encoded_pair_size()
		{
			stored::pair_pressure pair;
			pair.serving = to_bytes({});
			pair.filler = to_bytes({});
			return encode(pair).size();
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

		/// Divides items into parts whose sizes differ by one at most.
		/// \param parts Number of parts; limited to the number of items.
		template <typename Item>
		std::vector<std::span<const Item>> even_parts(std::span<const Item> items, std::size_t parts)
		{
			std::vector<std::span<const Item>> out;
			for (auto left = std::min(parts, items.size()); left > 0; --left)
			{
				out.push_back(items.first(items.size() / left));
				items = items.subspan(out.back().size());
			}
			return out;
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

		/// Encodes depths in rows of limited size.
		/// \returns Whether that is possible.
		bool append_depths(std::vector<std::string>& out, std::span<const stored::queue_depth> depths,
						   std::size_t max_row_bytes)
		{
			stored::ownership row;
			row.depths.assign(depths.begin(), depths.end());
			auto text = encode(row);
			if (text.size() <= max_row_bytes)
			{
				out.push_back(std::move(text));
				return true;
			}
			if (depths.size() < 2)
				return false;
			for (const auto part : even_parts(depths, text.size() / max_row_bytes + 1))
				if (!append_depths(out, part, max_row_bytes))
					return false;
			return true;
		}

		/// Maximum sizes of checkpoints that are tried when the progress of a job exceeds its limits.
		constexpr std::size_t checkpoint_bounds[] = {32'768, 16'384, 4'096, 1'024, 256, 64, 0};
		constexpr auto any_checkpoint = std::numeric_limits<std::size_t>::max();
	}

	std::string encode_submission(const queue_policy& queue, const job_spec& spec)
	{
		stored::submission row;
		row.route = to_stored(queue);
		row.payload = spec.payload;
		for (const auto& group : spec.groups)
			row.groups.push_back(to_stored(group));
		row.occurrences = spec.repeated ? static_cast<std::int32_t>(spec.occurrences) : 0;
		row.first_due_ms = spec.first_due_ms;
		row.interval_ms = spec.interval.count();
		return encode(row);
	}

	absl::StatusOr<job_state> decode_submission(const job_id& id, std::string_view row, instant now)
	{
		const auto stored = decode<stored::submission>(row);
		if (!stored.ok())
			return stored.status();
		job_spec spec;
		spec.payload = stored->payload;
		for (const auto& group : stored->groups)
			spec.groups.push_back(from_stored(group));
		spec.repeated = stored->occurrences > 0;
		spec.occurrences = spec.repeated ? static_cast<std::uint32_t>(stored->occurrences) : 1;
		spec.first_due_ms = stored->first_due_ms;
		spec.interval = millis{stored->interval_ms};
		if (const auto status = validate(spec); !status.ok())
			return absl::DataLossError(status.message());
		return make_job(id, from_stored(stored->route), std::move(spec), now);
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

	std::string encode_ownership(const stored::ownership& row)
	{
		return encode(row);
	}

	absl::StatusOr<stored::ownership> decode_ownership(std::string_view row)
	{
		return decode<stored::ownership>(row);
	}

	std::vector<std::string> encode_ownership(const stored::ownership& row, std::size_t max_row_bytes,
											  std::size_t max_rows)
	{
		if (auto whole = encode(row); whole.size() <= max_row_bytes)
			return {std::move(whole)};
		auto base = row;
		base.depths.clear();
		base.room = {};
		std::vector<std::string> further;
		if (!append_depths(further, row.depths, max_row_bytes) || further.size() >= max_rows)
		{
			further.clear();
			base.loaded = false;
		}
		stored::ownership forecast;
		forecast.room = row.room;
		if (auto text = encode(forecast); text.size() <= max_row_bytes && further.size() + 1 < max_rows)
			further.push_back(std::move(text));
		std::vector<std::string> out{encode(base)};
		std::move(further.begin(), further.end(), std::back_inserter(out));
		return out;
	}

	absl::Status decode_further_ownership(stored::ownership& row, std::string_view further)
	{
		auto decoded = decode<stored::ownership>(further);
		if (!decoded.ok())
			return decoded.status();
		std::move(decoded->depths.begin(), decoded->depths.end(), std::back_inserter(row.depths));
		if (decoded->room.made_ms != 0)
			row.room = std::move(decoded->room);
		return absl::OkStatus();
	}

	std::string encode_cancelled_id(std::int64_t expires_ms)
	{
		return absl::StrCat(expires_ms);
	}

	absl::StatusOr<std::int64_t> decode_cancelled_id(std::string_view row)
	{
		std::int64_t expires_ms{};
		if (!absl::SimpleAtoi(absl::string_view{row.data(), row.size()}, &expires_ms) || expires_ms < 0)
			return absl::DataLossError("the row of a cancelled id holds no time");
		return expires_ms;
	}

	std::string encode_agent(const stored::agent& row)
	{
		return encode(row);
	}

	absl::StatusOr<stored::agent> decode_agent(std::string_view row)
	{
		return decode<stored::agent>(row);
	}

	std::string encode_pressures(const pressure_model& model, std::size_t max_bytes)
	{
		std::vector<std::pair<instant, image_pair>> latest;
		for (const auto& [images, pressure] : model.pairs)
			latest.emplace_back(pressure.updated_at, images);
		std::sort(latest.rbegin(), latest.rend());
		stored::pressures row;
		const auto overhead = encode(row).size() + max_list_size_bytes;
		const auto max_pairs = max_bytes < overhead ? 0 : (max_bytes - overhead) / encoded_pair_size();
		latest.resize(std::min(latest.size(), max_pairs));
		for (const auto& [updated_at, images] : latest)
		{
			const auto& learnt = model.pairs.at(images);
			stored::pair_pressure pressure;
			pressure.serving = to_bytes(images.serving);
			pressure.filler = to_bytes(images.filler);
			pressure.mean = learnt.mean;
			pressure.variance = learnt.variance;
			row.pairs.push_back(std::move(pressure));
		}
		return encode(row);
	}

	absl::StatusOr<pressure_model> decode_pressures(std::string_view text, instant now)
	{
		const auto row = decode<stored::pressures>(text);
		if (!row.ok())
			return row.status();
		pressure_model out;
		for (const auto& pair : row->pairs)
		{
			const auto serving = digest_from_bytes(pair.serving);
			const auto filler = digest_from_bytes(pair.filler);
			if (!serving || !filler)
				return absl::DataLossError("a stored pressure does not name its images by digests");
			out.pairs[{*serving, *filler}] = {pair.mean, pair.variance, now};
		}
		return out;
	}

	absl::StatusOr<pressure_model> decode_named_pressures(std::string_view text, instant now)
	{
		const auto row = decode<stored::pressures>(text);
		if (!row.ok())
			return row.status();
		pressure_model out;
		for (const auto& pair : row->pairs)
			out.pairs[make_image_pair(pair.serving, pair.filler)] = {pair.mean, pair.variance, now};
		return out;
	}

	std::string encode_worker(const stored::worker& worker)
	{
		return encode(worker);
	}

	absl::StatusOr<stored::worker> decode_worker(std::string_view text)
	{
		return decode<stored::worker>(text);
	}

	worker_incarnation incarnation_of(const stored::worker& row)
	{
		if (!row.__isset.start_ms)
			return worker_incarnation{row.life};
		return worker_incarnation{row.life, worker_start_time{static_cast<std::uint64_t>(row.start_ms)}};
	}
}
