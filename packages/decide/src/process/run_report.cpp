// SPDX-License-Identifier: MIT
#include <trailjunction/decide/process/run_report.hpp>

namespace trailjunction
{
	namespace
	{
		journal_record record_about(record_kind kind, const reported_run& report, const worker_id& worker,
									incarnation worker_incarnation)
		{
			journal_record record;
			record.kind = kind;
			record.task = report.task;
			record.run = report.run;
			record.worker = worker;
			record.worker_incarnation = worker_incarnation;
			record.checkpoint = report.checkpoint;
			record.reason = report.reason;
			return record;
		}
	}

	run_report_decision decide_run_report(const task_state* task, const reported_run& report, const worker_id& worker,
										  incarnation worker_incarnation)
	{
		const bool ended = report.state == reported_run_state::ended;
		const bool current =
			task != nullptr && holds_worker(task->phase) && task->run == report.run && task->worker == worker;
		if (!current)
			return {ended ? run_report_action::acknowledge : run_report_action::stop, std::nullopt};
		if (ended)
		{
			auto record = record_about(record_kind::ended, report, worker, worker_incarnation);
			record.end_status = report.end_status;
			return {run_report_action::write, std::move(record)};
		}
		if (task->phase == task_phase::fenced)
			return {run_report_action::write, record_about(record_kind::confirmed, report, worker, worker_incarnation)};
		const bool new_checkpoint = !report.checkpoint.empty() && report.checkpoint != task->checkpoint;
		// A later incarnation of the agent that reports the run takes over from the one that started it.
		if (!new_checkpoint && task->worker_incarnation == worker_incarnation)
			return {run_report_action::confirm, std::nullopt};
		auto record = record_about(record_kind::checkpointed, report, worker, worker_incarnation);
		if (!new_checkpoint)
			record.checkpoint = task->checkpoint;
		return {run_report_action::confirm, std::move(record)};
	}

	missing_run_action decide_missing_run(const task_state& task, incarnation worker_incarnation, instant sent,
										  millis resend_after, instant now) noexcept
	{
		if (task.worker_incarnation != worker_incarnation)
			return missing_run_action::fence;
		return now - sent >= resend_after ? missing_run_action::resend_start : missing_run_action::wait;
	}
}
