// SPDX-License-Identifier: MIT
#include "task_messages.hpp"

namespace trailjunction
{
	namespace
	{
		run_end to_run_end(wire::run_state state)
		{
			switch (state)
			{
			case wire::run_state::finished:
				return run_end::finished;
			case wire::run_state::failed:
				return run_end::failed;
			case wire::run_state::evicted:
				return run_end::evicted;
			case wire::run_state::refused:
				return run_end::refused;
			default:
				return run_end::stopped;
			}
		}

		wire::envelope order_envelope(const std::string& task, run_number run, const shard_journal& journal,
									  wire::run_order order_kind, const std::string& reason)
		{
			wire::envelope out;
			out.__isset.order = true;
			out.order.task = task;
			out.order.run = static_cast<std::int64_t>(run.value);
			out.order.shard = static_cast<std::int32_t>(journal.shard().value);
			out.order.epoch = static_cast<std::int64_t>(journal.current_epoch().value);
			out.order.what = order_kind;
			out.order.reason = reason;
			return out;
		}
	}

	reported_run to_reported_run(const wire::run_report& report)
	{
		reported_run out;
		out.task = task_id{report.task};
		out.run = {static_cast<std::uint64_t>(report.run)};
		out.state = report.state >= wire::run_state::finished ? reported_run_state::ended : reported_run_state::active;
		out.end_status = to_run_end(report.state);
		out.checkpoint = checkpoint_id{report.checkpoint};
		out.reason = report.reason;
		out.throttled = report.throttled;
		return out;
	}

	wire::confirmed_run confirmed(const reported_run& reported, const shard_journal& journal)
	{
		wire::confirmed_run out;
		out.task = reported.task.str();
		out.run = static_cast<std::int64_t>(reported.run.value);
		out.epoch = static_cast<std::int64_t>(journal.current_epoch().value);
		out.shard = static_cast<std::int32_t>(journal.shard().value);
		return out;
	}

	wire::envelope stop_message(const reported_run& reported, const shard_journal& journal)
	{
		return order_envelope(reported.task.str(), reported.run, journal, wire::run_order::stop, "an older run");
	}

	wire::envelope order_message(const task_state& task, const shard_journal& journal, wire::run_order order_kind,
								 const std::string& reason)
	{
		return order_envelope(task.spec.id.str(), task.run, journal, order_kind, reason);
	}

	wire::envelope start_message(const task_state& task, const shard_journal& journal, std::int64_t stamp_ms)
	{
		wire::envelope out;
		out.__isset.start = true;
		auto& start = out.start;
		start.task = task.spec.id.str();
		start.run = static_cast<std::int64_t>(task.run.value);
		start.shard = static_cast<std::int32_t>(journal.shard().value);
		start.epoch = static_cast<std::int64_t>(journal.current_epoch().value);
		start.stamp_ms = stamp_ms;
		start.incarnation = static_cast<std::int64_t>(task.worker_incarnation.value);
		start.kind = task.spec.kind.str();
		start.claim.cpu_milli = task.spec.claim.cpu_milli;
		start.claim.memory_mib = task.spec.claim.memory_mib;
		start.claim.accelerators = task.spec.claim.accelerators;
		start.checkpoint = task.checkpoint.str();
		start.command = task.spec.command;
		start.replica = task.spec.replica;
		start.adopt = task.run.value == 1 && task.spec.adopted_on == task.worker;
		return out;
	}
}
