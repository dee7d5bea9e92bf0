// SPDX-License-Identifier: MIT
#include <trailjunction/core/event.hpp>
#include <trailjunction/core/log_writer.hpp>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <mutex>
#include <utility>

namespace trailjunction
{
	namespace
	{
		/// Events that an operator should look into.
		constexpr event warning_events[] = {
			event::member_superseded,    event::listen_failed,       event::frame_refused,      event::worker_ejected,
			event::platform_unreachable, event::member_renewed_late, event::shard_lost,         event::run_fenced,
			event::run_paused,           event::run_stopped,         event::grant_refused,      event::task_parked,
			event::worker_quarantined,   event::config_refused,      event::settings_refused,   event::worker_silent,
			event::start_unanswered,     event::worker_lapsed,       event::worker_avoided,     event::job_refused,
			event::job_unknown,          event::row_unreadable,      event::runs_overlap,       event::owner_behind,
			event::owner_handed_on,      event::task_given_up,       event::instance_suspended, event::task_held_back,
			event::long_running_idle,    event::row_rejected,
		};

		constexpr std::initializer_list<event> event_list = {
			event::process_started,      event::process_ready,
			event::process_stopping,     event::process_stopped,
			event::listen_failed,        event::link_opened,
			event::link_closed,          event::frame_refused,
			event::late_answer_dropped,  event::worker_ejected,
			event::platform_unreachable, event::platform_back,
			event::write_resolved,       event::member_renewed_late,
			event::shard_taken,          event::shard_lost,
			event::shard_recovered,      event::snapshot_written,
			event::run_fenced,           event::run_released,
			event::run_paused,           event::run_stopped,
			event::grant_refused,        event::start_refused,
			event::task_parked,          event::worker_quarantined,
			event::run_adopted,          event::member_superseded,
			event::config_applied,       event::config_refused,
			event::command_accepted,     event::command_refused,
			event::worker_leaving,       event::settings_reloaded,
			event::settings_refused,     event::worker_seen,
			event::worker_gone,          event::worker_silent,
			event::start_unanswered,     event::fillers_paced,
			event::run_ordered,          event::run_ended,
			event::run_taken_back,       event::worker_lapsed,
			event::worker_avoided,       event::job_accepted,
			event::job_refused,          event::job_unknown,
			event::job_cancelled,        event::job_ended,
			event::job_taken_up,         event::row_unreadable,
			event::filler_moved,         event::heartbeat_ignored,
			event::stop_ordered,         event::start_repeated,
			event::stop_begun,           event::order_dropped,
			event::runs_overlap,         event::owner_load,
			event::owner_behind,         event::owner_handed_on,
			event::heartbeat_refused,    event::evacuation_begun,
			event::evacuation_withdrawn, event::task_suspected,
			event::task_cleared,         event::task_given_up,
			event::instance_suspended,   event::room_changed,
			event::suspect_started,      event::blame_lifted,
			event::job_turned_away,      event::wave_begun,
			event::wave_refused,         event::wave_changed,
			event::upkeep_ordered,       event::upkeep_answered,
			event::upkeep_moved_on,      event::wave_completed,
			event::wave_overdue,         event::waves_not_served,
			event::instances_unknown,    event::run_unlisted,
			event::tasks_cleared,        event::task_held_back,
			event::task_released,        event::long_running_idle,
			event::idle_ended,           event::orders_withheld,
			event::row_rejected,
		};
	}

	std::string_view to_string(event type) noexcept
	{
		switch (type)
		{
		case event::process_started:
			return "process_started";
		case event::process_ready:
			return "process_ready";
		case event::process_stopping:
			return "process_stopping";
		case event::process_stopped:
			return "process_stopped";
		case event::instance_suspended:
			return "instance_suspended";
		case event::listen_failed:
			return "listen_failed";
		case event::link_opened:
			return "link_opened";
		case event::link_closed:
			return "link_closed";
		case event::frame_refused:
			return "frame_refused";
		case event::late_answer_dropped:
			return "late_answer_dropped";
		case event::worker_ejected:
			return "worker_ejected";
		case event::platform_unreachable:
			return "platform_unreachable";
		case event::platform_back:
			return "platform_back";
		case event::write_resolved:
			return "write_resolved";
		case event::member_renewed_late:
			return "member_renewed_late";
		case event::shard_taken:
			return "shard_taken";
		case event::shard_lost:
			return "shard_lost";
		case event::shard_recovered:
			return "shard_recovered";
		case event::snapshot_written:
			return "snapshot_written";
		case event::run_fenced:
			return "run_fenced";
		case event::run_released:
			return "run_released";
		case event::run_paused:
			return "run_paused";
		case event::run_stopped:
			return "run_stopped";
		case event::grant_refused:
			return "grant_refused";
		case event::start_refused:
			return "start_refused";
		case event::task_parked:
			return "task_parked";
		case event::worker_quarantined:
			return "worker_quarantined";
		case event::run_adopted:
			return "run_adopted";
		case event::member_superseded:
			return "member_superseded";
		case event::config_applied:
			return "config_applied";
		case event::config_refused:
			return "config_refused";
		case event::command_accepted:
			return "command_accepted";
		case event::command_refused:
			return "command_refused";
		case event::worker_leaving:
			return "worker_leaving";
		case event::settings_reloaded:
			return "settings_reloaded";
		case event::settings_refused:
			return "settings_refused";
		case event::worker_seen:
			return "worker_seen";
		case event::worker_gone:
			return "worker_gone";
		case event::worker_silent:
			return "worker_silent";
		case event::start_unanswered:
			return "start_unanswered";
		case event::fillers_paced:
			return "fillers_paced";
		case event::run_ordered:
			return "run_ordered";
		case event::run_ended:
			return "run_ended";
		case event::run_taken_back:
			return "run_taken_back";
		case event::worker_lapsed:
			return "worker_lapsed";
		case event::worker_avoided:
			return "worker_avoided";
		case event::job_accepted:
			return "job_accepted";
		case event::job_refused:
			return "job_refused";
		case event::job_unknown:
			return "job_unknown";
		case event::job_cancelled:
			return "job_cancelled";
		case event::job_ended:
			return "job_ended";
		case event::job_taken_up:
			return "job_taken_up";
		case event::row_unreadable:
			return "row_unreadable";
		case event::filler_moved:
			return "filler_moved";
		case event::heartbeat_ignored:
			return "heartbeat_ignored";
		case event::stop_ordered:
			return "stop_ordered";
		case event::start_repeated:
			return "start_repeated";
		case event::stop_begun:
			return "stop_begun";
		case event::order_dropped:
			return "order_dropped";
		case event::runs_overlap:
			return "runs_overlap";
		case event::owner_load:
			return "owner_load";
		case event::owner_behind:
			return "owner_behind";
		case event::owner_handed_on:
			return "owner_handed_on";
		case event::heartbeat_refused:
			return "heartbeat_refused";
		case event::evacuation_begun:
			return "evacuation_begun";
		case event::evacuation_withdrawn:
			return "evacuation_withdrawn";
		case event::task_suspected:
			return "task_suspected";
		case event::task_cleared:
			return "task_cleared";
		case event::task_given_up:
			return "task_given_up";
		case event::room_changed:
			return "room_changed";
		case event::suspect_started:
			return "suspect_started";
		case event::blame_lifted:
			return "blame_lifted";
		case event::run_unlisted:
			return "run_unlisted";
		case event::task_held_back:
			return "task_held_back";
		case event::task_released:
			return "task_released";
		case event::tasks_cleared:
			return "tasks_cleared";
		case event::long_running_idle:
			return "long_running_idle";
		case event::idle_ended:
			return "idle_ended";
		case event::orders_withheld:
			return "orders_withheld";
		case event::row_rejected:
			return "row_rejected";
		case event::job_turned_away:
			return "job_turned_away";
		case event::wave_begun:
			return "wave_begun";
		case event::wave_refused:
			return "wave_refused";
		case event::wave_changed:
			return "wave_changed";
		case event::upkeep_ordered:
			return "upkeep_ordered";
		case event::upkeep_answered:
			return "upkeep_answered";
		case event::upkeep_moved_on:
			return "upkeep_moved_on";
		case event::wave_completed:
			return "wave_completed";
		case event::wave_overdue:
			return "wave_overdue";
		case event::waves_not_served:
			return "waves_not_served";
		case event::instances_unknown:
			return "instances_unknown";
		}
		return "unnamed";
	}

	std::initializer_list<event> all_events() noexcept
	{
		return event_list;
	}

	namespace
	{
		constexpr int standard_output = 1;
		constexpr log_rate_limit rate_limit{};

		/// The log of this process; all threads share one writer.
		struct process_log
		{
			std::mutex lock;
			log_writer writer{standard_output};
			std::map<event, log_token_bucket> buckets;
		};

		process_log& shared_log()
		{
			static process_log shared;
			return shared;
		}

		bool is_warning(event type) noexcept
		{
			return std::find(std::begin(warning_events), std::end(warning_events), type) != std::end(warning_events);
		}

		std::int64_t unix_ms()
		{
			const auto since = std::chrono::system_clock::now().time_since_epoch();
			return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
		}
	}

	void log_event(event type, std::initializer_list<log_field> fields)
	{
		auto& log = shared_log();
		const std::lock_guard guard{log.lock};
		auto& bucket = log.buckets[type];
		const bool warn = is_warning(type);
		if (!admit_line(bucket, rate_limit, warn, boottime_now()))
			return;
		boost::json::object line{{"time_ms", unix_ms()},
								 {"event", static_cast<int>(type)},
								 {"name", to_string(type)},
								 {"level", warn ? "warning" : "info"}};
		if (bucket.suppressed_lines > 0)
			line["left_out_before"] = std::exchange(bucket.suppressed_lines, 0);
		for (const auto& field : fields)
			line[field.name] = field.value;
		log.writer.write(boost::json::serialize(line));
	}

	void init_logging(const char* program)
	{
		// glog is used only for violated invariants; everything else is an event on standard output.
		FLAGS_logtostderr = true;
		google::InitGoogleLogging(program);
	}
}
