// SPDX-License-Identifier: MIT
#include <trailjunction/wire/job_messages.hpp>

namespace trailjunction
{
	wire::task_run to_wire(const task_run& source)
	{
		wire::task_run out;
		out.task.job = source.task.job.str();
		out.task.occurrence = static_cast<std::int32_t>(source.task.occurrence);
		out.task.group = static_cast<std::int32_t>(source.task.group);
		out.task.index = static_cast<std::int32_t>(source.task.index);
		out.run = static_cast<std::int32_t>(source.run);
		return out;
	}

	task_run from_wire(const wire::task_run& source)
	{
		return {{job_id{source.task.job}, static_cast<std::uint32_t>(source.task.occurrence),
				 static_cast<std::uint32_t>(source.task.group), static_cast<std::uint32_t>(source.task.index)},
				static_cast<std::uint32_t>(source.run)};
	}

	wire::job_run to_wire(const listed_run& run)
	{
		wire::job_run out;
		out.what = to_wire(run.run_id);
		out.checkpoint = run.checkpoint;
		out.progress_percent = run.progress_percent;
		out.figure = static_cast<std::int32_t>(run.measurement);
		return out;
	}

	listed_run from_wire(const wire::job_run& run)
	{
		return {from_wire(run.what), run.checkpoint, run.progress_percent, run.figure};
	}

	wire::job_end to_wire(const listed_end& end)
	{
		wire::job_end out;
		out.number = end.number;
		out.what = to_wire(end.run_id);
		out.how = static_cast<wire::run_end>(end.outcome); // both enumerations have the same order
		out.checkpoint = end.checkpoint;
		return out;
	}

	listed_end from_wire(const wire::job_end& end)
	{
		return {end.number, from_wire(end.what), static_cast<run_outcome>(end.how), end.checkpoint};
	}

	wire::job_lost_worker to_wire(const lost_worker& worker, instant now)
	{
		wire::job_lost_worker out;
		set_worker(out, worker.incarnation);
		out.unheard_ms = std::chrono::duration_cast<millis>(now - worker.last_response.value_or(now)).count();
		for (const auto& [what, age] : worker.reported_ages)
		{
			wire::job_lost_run run;
			run.what = to_wire(what);
			run.worked_ms = age.lower_bound.count();
			if (age.upper_bound)
				run.__set_ordered_ms(age.upper_bound->count());
			out.runs.push_back(std::move(run));
		}
		return out;
	}

	lost_worker from_wire(const wire::job_lost_worker& worker, instant now)
	{
		lost_worker out{worker_of(worker), now - millis{worker.unheard_ms}, {}, {}};
		for (const auto& run : worker.runs)
		{
			crash_age age{millis{run.worked_ms}, std::nullopt};
			if (run.__isset.ordered_ms)
				age.upper_bound = millis{run.ordered_ms};
			out.reported_ages.emplace(from_wire(run.what), age);
		}
		out.ages_reported = true;
		return out;
	}

	wire::job_refusal to_wire(const refused_run& refusal)
	{
		wire::job_refusal out;
		out.what = to_wire(refusal.run_id);
		out.why = static_cast<wire::start_refusal>(refusal.reason); // both enumerations have the same order
		return out;
	}

	refused_run from_wire(const wire::job_refusal& refusal)
	{
		return {from_wire(refusal.what), static_cast<start_refusal>(refusal.why)};
	}

	wire::envelope to_envelope(wire::job_claim claim)
	{
		wire::envelope out;
		out.claim = std::move(claim); // assigned directly because the generated setter copies
		out.__isset.claim = true;
		return out;
	}

	wire::envelope to_envelope(wire::job_start order)
	{
		wire::envelope out;
		out.job_begin = std::move(order); // assigned directly because the generated setter copies
		out.__isset.job_begin = true;
		return out;
	}

	wire::envelope to_envelope(wire::job_stop order)
	{
		wire::envelope out;
		out.job_halt = std::move(order); // assigned directly because the generated setter copies
		out.__isset.job_halt = true;
		return out;
	}

	wire::envelope to_envelope(wire::job_confirm answer)
	{
		wire::envelope out;
		out.confirm = std::move(answer); // assigned directly because the generated setter copies
		out.__isset.confirm = true;
		return out;
	}

	wire::envelope to_envelope(wire::job_report report)
	{
		wire::envelope out;
		out.job_status = std::move(report); // assigned directly because the generated setter copies
		out.__isset.job_status = true;
		return out;
	}
}
