// SPDX-License-Identifier: MIT
#include <trailjunction/jobs/admission.hpp>
#include <trailjunction/jobs/job_merit.hpp>
#include <trailjunction/jobs/job_state.hpp>
#include <trailjunction/jobs/job_table.hpp>

#include <algorithm>
#include <span>
#include <vector>

namespace trailjunction
{
	namespace
	{
		/// Lower bound, in processors, of the rate at which a queue's work is assumed to be done, because durations are
		/// computed by dividing by it. Retries after a burst are spread over the time that the refused work takes.
		constexpr double min_cores = 0.1;

		bool has_objective(const queue_policy& queue, const job_spec& spec) noexcept
		{
			const bool is_long_running = std::any_of(spec.groups.begin(), spec.groups.end(),
													 [](const task_group& group) { return group.long_running; });
			return queue.latency_target.count() > 0 && queue.stretch > 0.0 && !is_long_running && !spec.repeated;
		}

		bool is_recent(const room_forecast& forecast, instant now, const admission_policy& policy) noexcept
		{
			return forecast.made_at && now - *forecast.made_at <= policy.max_forecast_age;
		}

		/// Whether a worker may be free for a task of the job now. Fillers need more than free room, so their groups
		/// are ignored.
		bool may_fit_now(const service_room& room, const job_spec& spec) noexcept
		{
			return std::any_of(spec.groups.begin(), spec.groups.end(),
							   [&](const task_group& group) {
								   return !group.filler && group.after.empty() &&
										  group.claim.fits_in(room.max_free_on_one_worker);
							   });
		}

		std::vector<millis> times_of(const queue_outlook& outlook, const job_spec& spec)
		{
			run_times learnt;
			if (outlook.learnt.groups > 0.0)
				learnt[outlook.queue] = outlook.learnt;
			std::vector<millis> out;
			out.reserve(spec.groups.size());
			for (const auto& group : spec.groups)
				out.push_back(expected_run_time(learnt, outlook.queue, group.estimate));
			return out;
		}

		millis critical_path_of(const job_spec& spec, std::span<const millis> times)
		{
			millis out{};
			for (std::uint32_t group = 0; group < spec.groups.size(); ++group)
				if (spec.groups[group].after.empty())
					out = std::max(out, critical_path_from(spec, times, group));
			return out;
		}

		double amount_of(const absl::flat_hash_map<queue_id, double>& amounts, const queue_id& queue)
		{
			const auto found = amounts.find(queue);
			return found == amounts.end() ? 0.0 : found->second;
		}

		bool retries_in_window(const admission_state& state, const job_id& id, instant now,
							   const admission_policy& policy)
		{
			const auto found = state.retry_times.find(id);
			return found != state.retry_times.end() && now >= found->second &&
				   now - found->second <= policy.retry_window;
		}

		millis time_for(double core_seconds, double cores) noexcept
		{
			return std::chrono::duration_cast<millis>(
				std::chrono::duration<double>{core_seconds / std::max(min_cores, cores)});
		}

		double cores_for(const service_room& room, const queue_outlook& outlook) noexcept
		{
			constexpr double cpu_milli = 1'000.0;
			return outlook.filler ? room.filler_cores_at_work
								  : room.cores_at_work + static_cast<double>(room.free.cpu_milli) / cpu_milli;
		}
	}

	std::string_view to_string(admission_reason reason) noexcept
	{
		switch (reason)
		{
		case admission_reason::no_objective:
			return "no_objective";
		case admission_reason::unknown_room:
			return "unknown_room";
		case admission_reason::room_is_free:
			return "room_is_free";
		case admission_reason::in_time:
			return "in_time";
		case admission_reason::too_late:
			break;
		}
		return "too_late";
	}

	void note_forecast(admission_state& state, room_forecast forecast)
	{
		if (forecast.made_at && state.forecast.made_at && *forecast.made_at <= *state.forecast.made_at)
			return;
		state.forecast = std::move(forecast);
		state.accepted_core_seconds.clear();
		state.refused_core_seconds.clear();
	}

	admission_decision decide_admission(const admission_state& state, const queue_policy& queue, const job_id& id,
										const job_spec& spec, instant now, const admission_policy& policy)
	{
		admission_decision out;
		out.reason = admission_reason::no_objective;
		if (!has_objective(queue, spec))
			return out;
		out.reason = admission_reason::unknown_room;
		const auto& queues = state.forecast.queues;
		const auto outlook =
			std::find_if(queues.begin(), queues.end(),
						 [&](const queue_outlook& candidate)
						 { return candidate.queue == queue.queue && candidate.service == queue.service; });
		const auto& rooms = state.forecast.services;
		const auto room =
			std::find_if(rooms.begin(), rooms.end(),
						 [&](const service_room& candidate) { return candidate.service == queue.service; });
		if (!is_recent(state.forecast, now, policy) || outlook == queues.end() || room == rooms.end())
			return out;
		const auto times = times_of(*outlook, spec);
		out.core_seconds = total_work(spec, times);
		out.reason = admission_reason::room_is_free;
		if (may_fit_now(*room, spec))
			return out;
		const auto cores = cores_for(*room, *outlook);
		const auto age = std::chrono::duration_cast<millis>(now - *state.forecast.made_at);
		const bool has_precedence = retries_in_window(state, id, now, policy);
		const auto accepted_before = has_precedence ? 0.0 : amount_of(state.accepted_core_seconds, queue.queue);
		out.expected_wait = std::max(millis{0}, outlook->wait + time_for(accepted_before, cores) - age);
		const auto critical_path = critical_path_of(spec, times);
		const auto objective =
			objective_of({millis{0}, critical_path, critical_path, queue.stretch, queue.latency_target});
		const auto too_late_by = out.expected_wait + critical_path - policy.useful_until_objectives * objective;
		const auto margin = std::chrono::duration_cast<millis>(policy.margin_deviations * outlook->wait_spread);
		out.reason = admission_reason::in_time;
		if (too_late_by <= margin)
			return out;
		out.accepted = false;
		out.reason = admission_reason::too_late;
		out.retry_after = std::clamp(too_late_by + time_for(amount_of(state.refused_core_seconds, queue.queue), cores),
									 policy.min_retry_after, policy.max_retry_after);
		return out;
	}

	void note_decision(admission_state& state, const queue_policy& queue, const job_id& id,
					   const admission_decision& decision, instant now, const admission_policy& policy)
	{
		(decision.accepted ? state.accepted_core_seconds : state.refused_core_seconds)[queue.queue] +=
			decision.core_seconds;
		state.retry_times.erase(id);
		if (decision.accepted)
			return;
		state.retry_times[id] = now + decision.retry_after;
		state.refusal_order.push_back(id);
		while (state.refusal_order.size() > policy.max_remembered_refusals)
		{
			state.retry_times.erase(state.refusal_order.front());
			state.refusal_order.pop_front();
		}
	}
}
