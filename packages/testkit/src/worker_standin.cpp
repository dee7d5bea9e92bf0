// SPDX-License-Identifier: MIT
#include "consume_fault.hpp"

#include <trailjunction/core/json.hpp>
#include <trailjunction/net/coroutines.hpp>
#include <trailjunction/testkit/worker_standin.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <chrono>

namespace trailjunction::testkit
{
	namespace asio = boost::asio;
	namespace json = boost::json;

	namespace
	{
		constexpr auto heartbeat_interval = millis{100};
		constexpr auto heartbeat_timeout = millis{500};
		constexpr auto poll_interval = millis{5};

		constexpr std::string_view start_path = "/run-start";
		constexpr std::string_view stop_path = "/run-stop";
		constexpr std::string_view hold_path = "/hold";

		http_response no_response()
		{
			return {0, {}, ""};
		}

		std::int64_t unix_ms(instant at, instant now)
		{
			const auto time = std::chrono::system_clock::now() + (at - now);
			return std::chrono::duration_cast<millis>(time.time_since_epoch()).count();
		}
	}

	worker_standin::worker_standin(asio::io_context& io, std::string id, std::string service, endpoint agent)
		: io_{io},
		  service_{std::move(service)},
		  agent_{std::move(agent)},
		  server_{io, http_limits{},
				  [this](http_request request)
				  {
					  return answer(std::move(request));
				  }},
		  heartbeats_{io, agent_},
		  current_{make_incarnation(std::move(id), boottime_now())}
	{
	}

	endpoint worker_standin::listen()
	{
		return server_.listen(endpoint{asio::ip::address_v4::loopback(), 0}).value();
	}

	void worker_standin::start_heartbeats(endpoint announced)
	{
		announced_address_ = std::move(announced);
		asio::co_spawn(io_, send_heartbeats(), asio::detached);
	}

	worker_standin::incarnation_state worker_standin::make_incarnation(std::string id, instant begins_at)
	{
		incarnation_state out;
		out.id = std::move(id);
		out.begins_at = begins_at;
		out.first_clock_ms = next_first_clock_ms;
		out.start_time_ms = next_start_time_ms.value_or(unix_ms(begins_at, boottime_now()));
		next_start_time_ms.reset();
		out.is_namesake = !former_names_.emplace(out.id, out.start_time_ms).second;
		out.name = absl::StrCat(out.id, "@", out.start_time_ms, "#", ++incarnations_);
		return out;
	}

	void worker_standin::replace_incarnation(std::string id, millis downtime)
	{
		const auto now = boottime_now();
		record_ends(now);
		for (const auto& [key, run] : current_.running)
		{
			started_runs[run.index].ended_at = now;
			started_runs[run.index].end_state = "died";
		}
		current_ = make_incarnation(std::move(id), std::max(current_.begins_at, now + downtime));
		server_.close_idle_connections(); // the connections of a process end with it
	}

	void worker_standin::restart(std::string id)
	{
		replace_incarnation(std::move(id), millis{0});
	}

	void worker_standin::restart_in_place(millis downtime)
	{
		replace_incarnation(current_.id, downtime);
	}

	void worker_standin::crash()
	{
		if (keeps_id)
			return restart_in_place(restart_delay);
		const auto& id = current_.id;
		replace_incarnation(absl::StrCat(id.substr(0, id.find('+')), "+", ++crashes_), restart_delay);
	}

	void worker_standin::leave(millis delay)
	{
		http_request request;
		request.method = "DELETE";
		request.target = "/instances/" + current_.id;
		asio::co_spawn(io_, send_late(std::move(request), delay), asio::detached);
	}

	bool worker_standin::is_down() const
	{
		return boottime_now() < current_.begins_at;
	}

	asio::awaitable<void> worker_standin::wait_until_up()
	{
		while (is_down())
			co_await pause_for(io_, std::chrono::ceil<micros>(current_.begins_at - boottime_now()));
	}

	std::int64_t worker_standin::clock_ms() const
	{
		const auto age = std::chrono::duration_cast<millis>(boottime_now() - current_.begins_at);
		return current_.first_clock_ms + std::max<std::int64_t>(0, age.count());
	}

	instant worker_standin::lease_lapse() const
	{
		return current_.begins_at + millis{current_.lease_ms + 1 - current_.first_clock_ms};
	}

	asio::awaitable<void> worker_standin::send_heartbeats()
	{
		while (true)
		{
			if (!faults.silent && !is_down())
			{
				auto request = make_heartbeat();
				if (consume_fault(faults.late_heartbeats))
					asio::co_spawn(io_, send_late(std::move(request), faults.late_delay), asio::detached);
				else
					(void)co_await heartbeats_.send(std::move(request), boottime_now() + heartbeat_timeout);
			}
			co_await pause_for(io_, heartbeat_interval);
		}
	}

	http_request worker_standin::make_heartbeat()
	{
		json::object body{{"service", service_},
						  {"address", to_string(announced_address_)},
						  {"state", draining ? "draining" : "ready"},
						  {"capacity", json::object{{"cpu", cpu_milli}, {"memMb", 16'000}, {"gpus", 0}}},
						  {"labels", json::array{"a", "r1-1"}},
						  {"clockMs", clock_ms()},
						  {"seq", ++current_.sequence}};
		if (sends_start_time)
			body["born"] = current_.start_time_ms;
		http_request request;
		request.method = "PUT";
		request.target = "/instances/" + current_.id;
		request.body = json::serialize(body);
		return request;
	}

	asio::awaitable<void> worker_standin::send_late(http_request request, millis delay)
	{
		co_await pause_for(io_, delay);
		(void)co_await heartbeats_.send(std::move(request), boottime_now() + heartbeat_timeout);
	}

	http_response worker_standin::make_response(int status, const char* reason)
	{
		json::object out{{"clockMs", clock_ms()}};
		if (*reason != '\0')
			out["reason"] = reason;
		return json_response(status, json::serialize(out));
	}

	void worker_standin::finish(const run_key& key, const std::string& end_state, instant end_time)
	{
		const auto index = current_.running.at(key).index;
		started_runs[index].ended_at = end_time;
		started_runs[index].end_state = end_state;
		auto& closed = current_.highest_closed_run[key.first];
		closed = std::max(closed, key.second);
		const auto number = ++current_.end_count;
		if (number > current_.last_seen)
			current_.ended.push_back({number, index, false});
		else if (end_time < lease_lapse())
		{
			started_runs[index].acknowledged_at = end_time;
			started_runs[index].acknowledged_early = current_.acknowledged_early;
		}
		if (end_state == "done")
			++done_counts[key.first];
		current_.running.erase(key);
	}

	void worker_standin::record_ends(instant now)
	{
		struct pending_end
		{
			instant end_time{};
			run_key key;
			std::string state;
		};
		const auto lapse = lease_lapse();
		std::vector<pending_end> pending;
		for (const auto& [key, run] : current_.running)
		{
			pending_end candidate{run.ends_at, key, faults.fail_all_runs ? "failed" : "done"};
			if (run.stops_at)
				candidate = {*run.stops_at, key, "stopped"};
			if (lapse < candidate.end_time)
				candidate = {lapse, key, "lapsed"};
			if (candidate.end_time <= now)
				pending.push_back(std::move(candidate));
		}
		std::sort(pending.begin(), pending.end(),
				  [](const pending_end& a, const pending_end& b) { return a.end_time < b.end_time; });
		for (const auto& candidate : pending)
			finish(candidate.key, candidate.state, candidate.end_time);
		if (lapse <= now)
			for (auto& end : current_.ended)
				end.lapsed = true;
	}

	call_delay worker_standin::delay_of(std::string_view path) const
	{
		if (path == start_path)
			return faults.start_delay;
		if (path == stop_path)
			return faults.stop_delay;
		return path == hold_path ? faults.hold_delay : call_delay{};
	}

	bool worker_standin::must_wait(std::string_view path) const noexcept
	{
		if (path == start_path)
			return faults.starts_wait;
		if (path == stop_path)
			return faults.stops_wait;
		return path == hold_path && faults.holds_wait;
	}

	asio::awaitable<void> worker_standin::wait_until_admitted(std::string_view path)
	{
		const int starts = path == start_path ? 1 : 0;
		waiting_starts += starts;
		while (must_wait(path))
			co_await pause_for(io_, poll_interval);
		waiting_starts -= starts;
	}

	bool worker_standin::consume_late_call(std::string_view path)
	{
		if (path == start_path)
			return consume_fault(faults.late_orders);
		if (path == stop_path)
			return consume_fault(faults.late_stops);
		return path == hold_path && consume_fault(faults.late_holds);
	}

	asio::awaitable<http_response> worker_standin::answer(http_request request)
	{
		if (faults.silent || is_down())
			co_return no_response();
		const auto path = path_of(request.target);
		call_path how{false, current_.name};
		if (consume_late_call(path))
		{
			how.late = true;
			asio::co_spawn(io_, execute_late(std::move(request), std::move(how), faults.late_delay), asio::detached);
			co_return no_response();
		}
		const auto delay = delay_of(path);
		if (delay.before_execution.count() > 0)
			co_await pause_for(io_, delay.before_execution);
		co_await wait_until_admitted(path);
		co_await wait_until_up();
		const auto executed_by = current_.name;
		auto out = co_await execute(std::move(request), std::move(how));
		if (current_.name != executed_by)
			co_return no_response();
		if (delay.before_response.count() > 0)
			co_await pause_for(io_, delay.before_response);
		co_return out;
	}

	asio::awaitable<void> worker_standin::execute_late(http_request request, call_path how, millis delay)
	{
		co_await pause_for(io_, delay);
		co_await wait_until_up();
		(void)co_await execute(std::move(request), std::move(how));
	}

	asio::awaitable<http_response> worker_standin::execute(http_request request, call_path how)
	{
		record_ends(boottime_now());
		const auto expected = find_header(request.headers, "Expect-Instance");
		if (!expected.empty() && expected != current_.id)
			co_return error_response(421, "another incarnation");
		auto parsed = parse_json(request.body);
		if (!parsed.ok() || !parsed->is_object())
			co_return make_response(400);
		auto body = std::move(parsed->get_object());
		const auto path = path_of(request.target);
		if (path == start_path || path == stop_path)
		{
			auto out = answer_order(path, body, how.late);
			recorded_calls.push_back(
				{boottime_now(), text_or(body, "task"), number_or(body, "runId"),
				 absl::StrCat(std::string{path}, how.late ? " late: " : ": ", out.status, " ", out.body)});
			co_return out;
		}
		const auto token = number_or(body, "fencingToken");
		if (token < current_.token)
			co_return make_response(409, "fence");
		current_.token = token;
		if (path == hold_path)
			co_return co_await answer_hold(std::move(body), how);
		co_return make_response(200);
	}

	http_response worker_standin::answer_order(std::string_view path, const json::object& body, bool late)
	{
		if (faults.unhealthy_status != 0)
			return make_response(faults.unhealthy_status);
		const auto token = number_or(body, "fencingToken");
		if (token < current_.token)
			return make_response(409, "fence");
		current_.token = token;
		return path == start_path ? answer_start(body, late) : answer_stop(body);
	}

	bool worker_standin::has_room() const
	{
		return !checks_room || (std::ssize(current_.running) + 1) * run_cpu_milli <= cpu_milli;
	}

	void worker_standin::begin_run(const json::object& body, bool late)
	{
		const auto now = boottime_now();
		started_run run;
		run.task = text_or(body, "task");
		run.run = number_or(body, "runId");
		run.checkpoint = text_or(body, "checkpoint");
		run.incarnation = current_.name;
		run.late = late;
		run.in_namesake = current_.is_namesake;
		run.started_at = now;
		std::int64_t work = 0;
		(void)absl::SimpleAtoi(text_or(body, "spec"), &work);
		for (const auto& [other, live] : current_.running)
			if (other.first == run.task)
				concurrent_runs.emplace_back(live.index, started_runs.size());
		current_.running[{run.task, run.run}] = {started_runs.size(), now + millis{work}, std::nullopt};
		started_runs.push_back(std::move(run));
	}

	void worker_standin::extend_lease(std::int64_t deadline_ms)
	{
		const auto latest = clock_ms() + longest_lease.count();
		current_.lease_ms = std::max(current_.lease_ms, std::min(deadline_ms, latest));
	}

	http_response worker_standin::answer_start(const json::object& body, bool late)
	{
		const auto task = text_or(body, "task");
		const auto run = number_or(body, "runId");
		const auto deadline = number_or(body, "deadlineMs");
		if (clock_ms() > deadline)
			return make_response(409, "late");
		extend_lease(deadline);
		if (current_.running.contains({task, run}))
			return make_response(200);
		const auto closed = current_.highest_closed_run.find(task);
		if (closed != current_.highest_closed_run.end() && run <= closed->second)
			return make_response(409, "old");
		if (faults.no_room_refusals > 0 || !has_room())
		{
			faults.no_room_refusals = std::max(0, faults.no_room_refusals - 1);
			return make_response(409, "room");
		}
		begin_run(body, late);
		if (crashing_tasks.contains(task))
			crash();
		return make_response(200);
	}

	http_response worker_standin::answer_stop(const json::object& body)
	{
		const auto task = text_or(body, "task");
		const auto run = number_or(body, "runId");
		const auto now = boottime_now();
		const auto live = current_.running.find({task, run});
		if (live != current_.running.end() && !live->second.stops_at)
		{
			live->second.stops_at = now + stop_time;
			started_runs[live->second.index].stop_requested_at = now;
			record_ends(now);
		}
		auto& closed = current_.highest_closed_run[task];
		closed = std::max(closed, run);
		return make_response(200);
	}

	void worker_standin::acknowledge_ends(std::int64_t last_seen, const call_path& how, instant now)
	{
		if (last_seen > std::max(current_.last_seen, current_.end_count))
			current_.acknowledged_early =
				early_acknowledgement{now, how.received_by, how.late, last_seen, current_.end_count};
		current_.last_seen = std::max(current_.last_seen, last_seen);
		for (const auto& end : current_.ended)
			if (end.number <= last_seen && !end.lapsed)
				started_runs[end.index].acknowledged_at = now;
		std::erase_if(current_.ended, [&](const listed_end& end) { return end.number <= last_seen; });
	}

	asio::awaitable<http_response> worker_standin::answer_hold(json::object body, const call_path& how)
	{
		const auto now = boottime_now();
		++listing_count;
		extend_lease(number_or(body, "deadlineMs"));
		acknowledge_ends(number_or(body, "lastSeen"), how, now);
		const auto executed_by = current_.name;
		const auto until = now + millis{number_or(body, "waitMs")};
		while (current_.name == executed_by && current_.ended.empty() && boottime_now() < until)
		{
			co_await pause_for(io_, poll_interval);
			record_ends(boottime_now());
		}
		co_return current_.name == executed_by ? make_listing() : no_response();
	}

	http_response worker_standin::make_listing() const
	{
		json::array running;
		for (const auto& [key, run] : current_.running)
			running.push_back(json::array{key.first, key.second, started_runs[run.index].checkpoint, 50, 0});
		json::array ended;
		for (const auto& end : current_.ended)
		{
			const auto& run = started_runs[end.index];
			ended.push_back(json::array{end.number, run.task, run.run, run.end_state, run.checkpoint});
		}
		json::object body{{"clockMs", clock_ms()}, {"running", running}, {"finished", ended}};
		if (sends_start_time)
			body["born"] = current_.start_time_ms;
		return json_response(200, json::serialize(body));
	}
}
