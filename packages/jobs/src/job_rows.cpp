// SPDX-License-Identifier: MIT
#include "row_codec.hpp"

#include <trailjunction/jobs/job_rows.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace trailjunction
{
	using impl::decode;
	using impl::encode;

	namespace
	{
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
		if (const auto status = validate(spec, max_tasks_per_stored_job); !status.ok())
			return absl::DataLossError(status.message());
		return make_job(id, from_stored(stored->route), std::move(spec), now);
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
