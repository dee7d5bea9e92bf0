// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Numbered log events and the functions that write them.
#pragma once

#include <boost/json/value.hpp>

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace trailjunction
{
	/// \brief Every event that a process may log. The catalogue with causes and remedies is docs/EVENTS.md.
	enum class event
	{
		// 1xx: life cycle of a process
		process_started = 100,
		process_ready = 101,
		process_stopping = 102,
		process_stopped = 103,
		instance_suspended = 104,
		listen_failed = 105,
		settings_reloaded = 106,
		settings_refused = 107,
		// 2xx: links and requests
		link_opened = 200,
		link_closed = 201,
		frame_refused = 202,
		late_answer_dropped = 203,
		worker_ejected = 205,
		// 3xx: platform
		platform_unreachable = 300,
		platform_back = 301,
		write_resolved = 302,
		// 4xx: ownership and tasks
		member_renewed_late = 400,
		shard_taken = 401,
		shard_lost = 402,
		shard_recovered = 403,
		snapshot_written = 404,
		run_fenced = 405,
		run_released = 406,
		run_paused = 407,
		run_stopped = 408,
		grant_refused = 409,
		start_refused = 410,
		task_parked = 411,
		worker_quarantined = 412,
		run_adopted = 413,
		member_superseded = 414,
		worker_seen = 415,
		worker_gone = 416,
		worker_silent = 417,
		start_unanswered = 418,
		fillers_paced = 419,
		run_ordered = 420,
		run_ended = 421,
		run_taken_back = 422,
		worker_lapsed = 423,
		worker_avoided = 424,
		job_accepted = 430,
		job_refused = 431,
		job_unknown = 432,
		job_cancelled = 433,
		job_ended = 434,
		job_taken_up = 435,
		row_unreadable = 436,
		filler_moved = 437,
		heartbeat_ignored = 438,
		stop_ordered = 439,
		start_repeated = 440,
		stop_begun = 441,
		order_dropped = 442,
		runs_overlap = 443,
		owner_load = 444,
		owner_behind = 445,
		owner_handed_on = 446,
		heartbeat_refused = 447,
		evacuation_begun = 448,
		evacuation_withdrawn = 449,
		task_suspected = 450,
		task_cleared = 451,
		task_given_up = 452,
		room_changed = 453,
		suspect_started = 454,
		blame_lifted = 455,
		run_unlisted = 456,
		tasks_cleared = 457,
		task_held_back = 458,
		task_released = 459,
		job_turned_away = 460,
		long_running_idle = 461,
		idle_ended = 462,
		orders_withheld = 463,
		row_rejected = 464,
		wave_begun = 480,
		wave_refused = 481,
		wave_changed = 482,
		upkeep_ordered = 483,
		upkeep_answered = 484,
		upkeep_moved_on = 485,
		wave_completed = 486,
		wave_overdue = 487,
		waves_not_served = 488,
		instances_unknown = 489,
		// 5xx: configuration and operators
		config_applied = 500,
		config_refused = 501,
		command_accepted = 502,
		command_refused = 503,
		worker_leaving = 504,
	};

	/// \brief The event's name in the log and in the catalogue.
	[[nodiscard]] std::string_view to_string(event type) noexcept;

	/// \brief Every event, for the test that compares the catalogue with the code.
	[[nodiscard]] std::initializer_list<event> all_events() noexcept;

	/// \brief A named value of a log line.
	struct log_field
	{
		log_field(std::string_view field, std::string_view text) : name{field}, value(text) {}
		log_field(std::string_view field, const std::string& text) : log_field{field, std::string_view{text}} {}
		log_field(std::string_view field, const char* text) : log_field{field, std::string_view{text}} {}
		template <std::integral Number>
		log_field(std::string_view field, Number number) : name{field},
														   value(number)
		{
		}

		std::string_view name;
		boost::json::value value;
	};

	/// \brief Writes an event as one line of JSON to standard output.
	/// \details The line has `time_ms` (Unix time), `event`, `name`, `level` and the fields. Never blocks on the
	/// reader. Each type of event is rate-limited; `left_out_before` is the number of lines suppressed since the last
	/// one that was written. Warnings are never suppressed.
	void log_event(event type, std::initializer_list<log_field> fields = {});

	/// \brief Initialises the logging of a process.
	/// \param program The program's name, usually `argv[0]`.
	void init_logging(const char* program);
}
