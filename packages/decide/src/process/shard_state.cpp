// SPDX-License-Identifier: MIT
#include <trailjunction/core/json.hpp>
#include <trailjunction/decide/process/shard_state.hpp>

#include <absl/strings/str_cat.h>
#include <boost/json/array.hpp>

#include <algorithm>
#include <array>

namespace trailjunction
{
	namespace json = boost::json;

	namespace
	{
		constexpr std::array<std::string_view, 7> phase_names{"waiting", "running",  "fenced",   "unresolved",
															  "parked",  "finished", "cancelled"};
		constexpr std::size_t max_reason_bytes = 400;

		queue_position queue_position_of(const task_state& task)
		{
			return {task.spec.priority, task.submission_order, task.spec.id};
		}

		/// Removes a task from the indexes of its phase.
		void remove_from_indexes(shard_state& shard, const task_state& task)
		{
			if (task.phase == task_phase::waiting)
				shard.waiting.erase(queue_position_of(task));
			if (!holds_worker(task.phase))
				return;
			shard.tasks_by_worker[task.worker].erase(task.spec.id);
			if (shard.tasks_by_worker[task.worker].empty())
				shard.tasks_by_worker.erase(task.worker);
			shard.account_usage[task.spec.account] -= task.spec.claim;
		}

		/// Adds a task to the indexes of its phase.
		void add_to_indexes(shard_state& shard, const task_state& task)
		{
			if (task.phase == task_phase::waiting)
				shard.waiting.insert(queue_position_of(task));
			if (is_terminal(task.phase))
				shard.ended_tasks.push_back(task.spec.id);
			if (!holds_worker(task.phase))
				return;
			shard.tasks_by_worker[task.worker].insert(task.spec.id);
			shard.account_usage[task.spec.account] += task.spec.claim;
		}

		void drop_oldest_ended(shard_state& shard)
		{
			while (shard.ended_tasks.size() > ended_tasks_kept)
			{
				shard.tasks.erase(shard.ended_tasks.front());
				shard.ended_tasks.pop_front();
			}
		}

		absl::Status reject(const journal_record& record, std::string_view cause)
		{
			return absl::FailedPreconditionError(
				absl::StrCat("task ", record.task.str(), " run ", record.run.value, ": ", std::string{cause}));
		}

		void record_failure(task_state& task)
		{
			++task.failures;
			if (std::find(task.failed_on.begin(), task.failed_on.end(), task.worker) == task.failed_on.end())
				task.failed_on.push_back(task.worker);
		}

		/// The phase after a run that has provably ended; counts failures and evictions.
		task_phase phase_after(task_state& task, const journal_record& record)
		{
			if (record.end_status == run_end::finished)
				return task_phase::finished;
			if (task.cancel_requested)
				return task_phase::cancelled;
			if (record.end_status == run_end::failed)
				record_failure(task);
			if (record.end_status == run_end::evicted)
				++task.evictions;
			const bool resumable = record.end_status == run_end::refused || record.end_status == run_end::evicted;
			if (!task.spec.repeatable && !resumable)
				return task_phase::unresolved;
			return task_phase::waiting;
		}

		absl::Status submit(shard_state& shard, const journal_record& record)
		{
			if (!record.spec)
				return reject(record, "submission has no spec");
			if (shard.tasks.contains(record.task))
				return reject(record, "already exists");
			task_state task;
			task.spec = *record.spec;
			task.submission_order = ++shard.submitted_count;
			task.reason = record.reason;
			add_to_indexes(shard, task);
			shard.tasks.emplace(record.task, std::move(task));
			return absl::OkStatus();
		}

		/// Whether the record is about the current run of the task.
		bool is_current(const task_state& task, const journal_record& record)
		{
			return holds_worker(task.phase) && task.run == record.run;
		}

		absl::Status change(shard_state& shard, task_state& task, const journal_record& record)
		{
			auto next = task;
			switch (record.kind)
			{
			case record_kind::started:
				if (task.phase != task_phase::waiting || record.run != task.run.next())
					return reject(record,
								  "cannot start: the task is not waiting or the run number is not the next one");
				next.phase = task_phase::running;
				next.run = record.run;
				next.worker = record.worker;
				next.worker_incarnation = record.worker_incarnation;
				next.requested_worker = worker_id{};
				break;
			case record_kind::ended:
				if (!is_current(task, record))
					return reject(record, "is not the current run of the task");
				if (!record.checkpoint.empty())
					next.checkpoint = record.checkpoint;
				next.phase = phase_after(next, record);
				break;
			case record_kind::checkpointed:
				if (!is_current(task, record))
					return reject(record, "is not the current run of the task");
				next.checkpoint = record.checkpoint;
				if (record.worker_incarnation.value != 0)
					next.worker_incarnation = record.worker_incarnation;
				break;
			case record_kind::fenced:
				if (task.phase != task_phase::running || task.run != record.run)
					return reject(record, "is not running");
				next.phase = task_phase::fenced;
				break;
			case record_kind::confirmed:
				if (task.phase != task_phase::fenced || task.run != record.run)
					return reject(record, "is not fenced");
				next.phase = task_phase::running;
				next.worker_incarnation = record.worker_incarnation;
				break;
			case record_kind::released:
				if (task.phase != task_phase::fenced || task.run != record.run)
					return reject(record, "is not fenced");
				next.phase = task.cancel_requested  ? task_phase::cancelled
							 : task.spec.repeatable ? task_phase::waiting
													: task_phase::unresolved;
				break;
			case record_kind::cancelled:
				if (is_terminal(task.phase))
					return reject(record, "has already ended");
				next.cancel_requested = true;
				next.hand_over_requested = record.hand_over;
				if (!holds_worker(task.phase))
					next.phase = task_phase::cancelled;
				break;
			case record_kind::parked:
				if (task.phase != task_phase::waiting)
					return reject(record, "is not waiting");
				next.phase = task_phase::parked;
				break;
			case record_kind::resolved:
				if (task.phase != task_phase::unresolved && task.phase != task_phase::parked)
					return reject(record, "is neither unresolved nor parked");
				next.phase = record.rerun ? task_phase::waiting : task_phase::finished;
				next.failures = 0;
				next.failed_on.clear();
				break;
			case record_kind::placed:
				if (task.phase != task_phase::waiting)
					return reject(record, "is not waiting");
				next.requested_worker = record.worker;
				break;
			case record_kind::submitted:
				return reject(record, "already exists");
			}
			next.reason = record.reason.substr(0, max_reason_bytes);
			remove_from_indexes(shard, task);
			task = std::move(next);
			add_to_indexes(shard, task);
			return absl::OkStatus();
		}

		json::object to_json(const task_state& task)
		{
			json::object out;
			out["s"] = to_json(task.spec);
			out["p"] = to_string(task.phase);
			out["o"] = task.submission_order;
			out["r"] = task.run.value;
			out["w"] = task.worker.str();
			out["i"] = task.worker_incarnation.value;
			out["c"] = task.checkpoint.str();
			out["y"] = task.reason;
			out["x"] = task.cancel_requested;
			out["l"] = task.hand_over_requested;
			out["v"] = task.evictions;
			out["f"] = task.failures;
			out["d"] = task.requested_worker.str();
			json::array failed;
			for (const auto& worker : task.failed_on)
				failed.emplace_back(worker.str());
			out["fo"] = std::move(failed);
			return out;
		}

		absl::StatusOr<task_state> task_of(const json::value& value)
		{
			const auto* object = value.if_object();
			if (object == nullptr || object->if_contains("s") == nullptr)
				return absl::DataLossError("task in snapshot has no spec");
			task_state task;
			field_errors errors;
			field_reader reader{object->at("s"), "", errors};
			task.spec = read_task_spec(reader);
			const auto phase = std::find(phase_names.begin(), phase_names.end(), text_or(*object, "p"));
			if (!errors.empty() || phase == phase_names.end())
				return absl::DataLossError(absl::StrCat("task in snapshot is invalid: ", to_string(errors)));
			task.phase = static_cast<task_phase>(phase - phase_names.begin());
			task.submission_order = static_cast<std::uint64_t>(number_or(*object, "o"));
			task.run = {static_cast<std::uint64_t>(number_or(*object, "r"))};
			task.worker = worker_id{text_or(*object, "w")};
			task.worker_incarnation = {static_cast<std::uint64_t>(number_or(*object, "i"))};
			task.checkpoint = checkpoint_id{text_or(*object, "c")};
			task.reason = text_or(*object, "y");
			task.cancel_requested = flag_or(*object, "x");
			task.hand_over_requested = flag_or(*object, "l");
			task.evictions = static_cast<int>(number_or(*object, "v"));
			task.failures = static_cast<int>(number_or(*object, "f"));
			task.requested_worker = worker_id{text_or(*object, "d")};
			if (const auto* failed = object->if_contains("fo"); failed != nullptr && failed->is_array())
				for (const auto& worker : failed->get_array())
					if (worker.is_string())
						task.failed_on.emplace_back(std::string{worker.get_string()});
			return task;
		}
	}

	std::string_view to_string(task_phase phase) noexcept
	{
		return phase_names[static_cast<std::size_t>(phase)];
	}

	absl::Status apply(shard_state& shard, const journal_record& record)
	{
		if (record.kind == record_kind::submitted)
			return submit(shard, record);
		const auto found = shard.tasks.find(record.task);
		if (found == shard.tasks.end())
			return absl::NotFoundError(absl::StrCat("no task ", record.task.str()));
		auto status = change(shard, found->second, record);
		drop_oldest_ended(shard);
		return status;
	}

	absl::Status apply(shard_state& shard, const journal_batch& batch)
	{
		if (batch.number != shard.last_applied.next() || batch.owner_epoch < shard.applied_epoch)
			return absl::DataLossError(absl::StrCat("batch ", batch.number.value, " of epoch ", batch.owner_epoch.value,
													" does not follow batch ", shard.last_applied.value, " of epoch ",
													shard.applied_epoch.value));
		shard.last_applied = batch.number;
		shard.applied_epoch = batch.owner_epoch;
		shard.owner = batch.owner;
		for (const auto& record : batch.records)
			if (auto status = apply(shard, record); !status.ok())
				return absl::DataLossError(absl::StrCat("batch ", batch.number.value, ": ", status.message()));
		return absl::OkStatus();
	}

	std::string encode_snapshot(const shard_state& shard)
	{
		json::array tasks;
		tasks.reserve(shard.tasks.size());
		for (const auto& [id, task] : shard.tasks)
			if (!is_terminal(task.phase))
				tasks.push_back(to_json(task));
		json::array ended_list; // oldest first, because the oldest is removed first
		for (const auto& id : shard.ended_tasks)
			ended_list.push_back(to_json(shard.tasks.at(id)));
		json::object out;
		out["applied"] = shard.last_applied.value;
		out["epoch"] = shard.applied_epoch.value;
		out["owner"] = shard.owner.str();
		out["submitted"] = shard.submitted_count;
		out["tasks"] = std::move(tasks);
		out["over"] = std::move(ended_list);
		return json::serialize(out);
	}

	absl::StatusOr<shard_state> decode_snapshot(std::string_view text)
	{
		const auto parsed = parse_json(text);
		if (!parsed.ok())
			return parsed.status();
		const auto* object = parsed->if_object();
		if (object == nullptr)
			return absl::DataLossError("snapshot is not a JSON object");
		shard_state shard;
		shard.last_applied = {static_cast<std::uint64_t>(number_or(*object, "applied"))};
		shard.applied_epoch = {static_cast<std::uint64_t>(number_or(*object, "epoch"))};
		shard.owner = member_id{text_or(*object, "owner")};
		shard.submitted_count = static_cast<std::uint64_t>(number_or(*object, "submitted"));
		for (const auto* name : {"tasks", "over"})
		{
			const auto* list = object->if_contains(name);
			if (list == nullptr || !list->is_array())
				return absl::DataLossError(absl::StrCat("snapshot has no list ", name));
			for (const auto& value : list->get_array())
			{
				auto task = task_of(value);
				if (!task.ok())
					return task.status();
				add_to_indexes(shard, *task);
				const auto id = task->spec.id;
				shard.tasks.emplace(id, *std::move(task));
			}
		}
		return shard;
	}
}
