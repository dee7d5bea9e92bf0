// SPDX-License-Identifier: MIT
/// \file
/// \brief Part of run_manager that throttles fillers.
#include "run_manager.hpp"

#include <trailjunction/core/event.hpp>

#include <utility>

namespace trailjunction
{
	namespace asio = boost::asio;

	namespace
	{
		/// Percent; the initial pace of a run.
		constexpr int full_pace = 100;
		constexpr double milli_per_core = 1'000.0;
		/// Time after which a pace below 100 % is ordered again, since the worker may have carried out an older order
		/// after it.
		constexpr auto pace_repeat_interval = millis{2'000};
	}

	namespace
	{
		millis time_since(const std::optional<instant>& begin, instant now) noexcept
		{
			return begin ? std::chrono::duration_cast<millis>(now - *begin) : millis{0};
		}
	}

	std::vector<monitored_serving_task> run_manager::monitor_serving_tasks(instant now)
	{
		std::vector<monitored_serving_task> out;
		for (auto& [id, run] : runs_)
		{
			const auto attributes = attributes_.find(id);
			if (attributes == attributes_.end() || attributes->second.latency_target.count() == 0)
				continue;
			const auto target = static_cast<double>(attributes->second.latency_target.count());
			const auto latency_ratio = static_cast<double>(run.listed.measurement) / target;
			record_latency_ratio(run.overrun, latency_ratio, pacing_, now);
			out.push_back({attributes->second.image, latency_ratio, time_since(run.overrun.certain_since, now),
						   time_since(run.overrun.possible_since, now)});
		}
		return out;
	}

	void run_manager::choose_paces(instant now)
	{
		std::vector<paced_filler> fillers;
		std::vector<filler_pace*> paces;
		for (const auto& [id, run] : runs_)
		{
			const auto attributes = attributes_.find(id);
			if (attributes == attributes_.end() || !attributes->second.filler)
				continue;
			auto& pace = paces_[id];
			fillers.push_back({&attributes->second.pressures,
							   static_cast<double>(run.listed.measurement) / milli_per_core, pace.target_percent});
			paces.push_back(&pace);
		}
		const auto serving = monitor_serving_tasks(now);
		const bool must_stop = must_stop_fillers(serving, pacing_);
		if (std::exchange(fillers_stopped_, must_stop) != must_stop)
			request_report_();
		// Fillers that have started since the last change must stop at once while a serving task tolerates none.
		if (!must_stop && now - paces_changed_at_ < pacing_.min_change_interval)
			return;
		if (!adjust_paces(fillers, serving, pacing_))
			return;
		paces_changed_at_ = now;
		for (std::size_t i = 0; i < fillers.size(); ++i)
			paces[i]->target_percent = fillers[i].percent;
		log_event(event::fillers_paced, {{"worker", worker_->incarnation.str()},
										 {"serving", serving.size()},
										 {"fillers", fillers.size()},
										 {"mean_percent", mean_pace()}});
	}

	int run_manager::mean_pace() const noexcept
	{
		if (fillers_stopped_)
			return 0;
		if (paces_.empty())
			return full_pace;
		int sum = 0;
		for (const auto& [id, pace] : paces_)
			sum += pace.target_percent;
		return sum / static_cast<int>(paces_.size());
	}

	std::vector<task_run> run_manager::fillers_to_pace(instant now) const
	{
		std::vector<task_run> out;
		for (const auto& [id, pace] : paces_)
		{
			const bool is_due_again =
				pace.acknowledged_percent < full_pace && now - pace.acknowledged_at > pace_repeat_interval;
			if (pace.target_percent != pace.acknowledged_percent || is_due_again)
				out.push_back(id);
		}
		return out;
	}

	void run_manager::move_slow_fillers(instant now)
	{
		for (auto& [id, pace] : paces_)
		{
			record_pace(pace.slow, pace.target_percent, pacing_, now);
			const auto attributes = attributes_.find(id);
			const bool movable = attributes != attributes_.end() && attributes->second.movable;
			if (!movable || pending_stops_.contains(id) || !should_move(pace.slow, pacing_, now))
				continue;
			log_event(event::filler_moved, {{"task", to_string(id.task)},
											{"run", id.run},
											{"worker", worker_->incarnation.str()},
											{"percent", pace.target_percent}});
			begin_stop(id, "moved");
		}
	}

	asio::awaitable<void> run_manager::pace_fillers()
	{
		pacing_in_progress_ = true;
		choose_paces(boottime_now());
		move_slow_fillers(boottime_now());
		const auto incarnation_id = worker_->incarnation;
		for (const auto& id : fillers_to_pace(boottime_now()))
		{
			const auto port = port_;
			const auto percent = paces_[id].target_percent;
			const auto result = co_await port->pace(authority(), id, percent, boottime_now() + worker_call_timeout);
			if (!is_current(incarnation_id))
				break;
			record_result(result, boottime_now());
			if (const auto pace = paces_.find(id); pace != paces_.end() && result.outcome == order_outcome::done)
			{
				pace->second.acknowledged_percent = percent;
				pace->second.acknowledged_at = boottime_now();
			}
		}
		pacing_in_progress_ = false;
	}
}
