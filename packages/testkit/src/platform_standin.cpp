// SPDX-License-Identifier: MIT
#include <trailjunction/core/json.hpp>
#include <trailjunction/net/coroutines.hpp>
#include <trailjunction/testkit/platform_standin.hpp>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/array.hpp>

#include <algorithm>

namespace trailjunction::testkit
{
	namespace asio = boost::asio;
	namespace json = boost::json;

	namespace
	{
		constexpr auto tick_interval = millis{10};
		constexpr std::size_t max_runs_per_worker = 100'000;

		http_response no_answer()
		{
			http_response response;
			response.status = 0;
			return response;
		}

		/// Percent-decodes one segment of a path.
		std::string decode_segment(std::string_view segment)
		{
			return query_parameter(absl::StrCat("/?x=", std::string{segment}), "x");
		}

		std::vector<std::string> path_segments(const http_request& request)
		{
			std::vector<std::string> segments =
				absl::StrSplit(std::string{path_of(request.target)}, '/', absl::SkipEmpty());
			for (auto& segment : segments)
				segment = decode_segment(segment);
			return segments;
		}

		json::object to_json(const resources& amounts)
		{
			json::object out;
			out["cpu"] = amounts.cpu_milli;
			out["memory"] = amounts.memory_mib;
			out["accelerators"] = amounts.accelerators;
			return out;
		}

		bool has_ended(const std::string& state)
		{
			return state == "finished" || state == "failed" || state == "stopped";
		}
	}

	platform_standin::platform_standin(asio::io_context& io)
		: io_{io},
		  server_{io, http_limits{.max_body_bytes = std::size_t{64} * 1024 * 1024, .max_connections = 20'000},
				  [this](http_request request)
				  {
					  return answer(std::move(request));
				  }}
	{
	}

	endpoint platform_standin::listen()
	{
		const auto address = server_.listen(*parse_endpoint("127.0.0.1:0"));
		asio::co_spawn(io_, tick(), asio::detached);
		return address.value();
	}

	void platform_standin::add_worker(const platform_worker& worker)
	{
		workers_[worker.worker].declaration = worker;
	}

	void platform_standin::remove_worker(const worker_id& worker)
	{
		workers_.erase(worker);
	}

	std::vector<std::string> platform_standin::active_tasks() const
	{
		std::vector<std::string> tasks;
		for (const auto& [name, worker] : workers_)
			for (const auto& [task, run] : worker.runs)
				if (!has_ended(run.state) && run.share > 0)
					tasks.push_back(task);
		return tasks;
	}

	// ------------------------------------------------------------------ HTTP interface

	asio::awaitable<http_response> platform_standin::answer(http_request request)
	{
		const auto path = path_of(request.target);
		if (absl::StartsWith(std::string{path}, "/v1/workers/"))
			co_return faults_.worker_interface_down ? no_answer() : answer_worker(request);
		if (path == "/v1/instances")
			co_return faults_.table_down ? no_answer() : answer_instances();
		co_return co_await answer_store(std::move(request));
	}

	bool platform_standin::exceeds_rate(rate_window& window, int limit)
	{
		const auto second = std::chrono::duration_cast<std::chrono::seconds>(boottime_now().time_since_epoch()).count();
		if (window.second != second)
			window = {second, 0};
		return ++window.count > limit && limit > 0;
	}

	asio::awaitable<http_response> platform_standin::answer_store(http_request request)
	{
		if (faults_.table_down)
			co_return no_answer();
		if (faults_.latency.count() > 0)
		{
			asio::steady_timer timer{io_, faults_.latency};
			(void)co_await timer.async_wait(as_result);
		}
		const bool writes = request.method != "GET";
		++(writes ? load_.writes : load_.reads);
		if (writes ? exceeds_rate(writes_, faults_.writes_per_second) : exceeds_rate(reads_, faults_.reads_per_second))
		{
			++load_.refused;
			co_return error_response(429, "rate limit exceeded");
		}
		const auto segments = path_segments(request);
		http_response response = error_response(404, "no such page");
		std::string key;
		if (segments.size() >= 4 && segments[1] == "table" && segments[2] == "rows")
		{
			key = segments[3];
			response = answer_rows(request, key);
		}
		else if (segments.size() >= 3 && segments[1] == "table" && segments[2] == "scan")
			response = answer_scan(request);
		else if (segments.size() >= 3 && segments[1] == "objects")
			response = answer_objects(request, segments[2]);
		const bool lose = writes && response.status == 200 && faults_.lost_write_responses > 0 &&
						  absl::StartsWith(key, faults_.lost_write_prefix);
		if (!lose)
			co_return response;
		--faults_.lost_write_responses;
		co_return no_answer();
	}

	http_response platform_standin::answer_rows(const http_request& request, const std::string& key)
	{
		const auto found = rows_.find(key);
		const std::int64_t version = found == rows_.end() ? 0 : found->second.version;
		http_response response{200, {{"Row-Version", absl::StrCat(version)}}, ""};
		if (found != rows_.end())
			response.body = found->second.value;
		if (request.method == "GET")
			return response;
		std::int64_t expected = 0;
		if (!absl::SimpleAtoi(query_parameter(request.target, "if_version"), &expected))
			return error_response(400, "if_version is missing or not a number");
		if (expected != version)
		{
			response.status = 409;
			return response;
		}
		if (request.method == "DELETE")
			rows_.erase(key);
		else
			rows_[key] = {request.body, version + 1};
		return {200, {{"Row-Version", absl::StrCat(version + 1)}}, ""};
	}

	http_response platform_standin::answer_scan(const http_request& request)
	{
		const auto prefix = query_parameter(request.target, "prefix");
		json::array rows;
		for (auto row = rows_.lower_bound(prefix); row != rows_.end() && absl::StartsWith(row->first, prefix); ++row)
		{
			json::object out;
			out["key"] = row->first;
			out["version"] = row->second.version;
			out["value"] = row->second.value;
			rows.push_back(std::move(out));
		}
		return json_response(200, json::serialize(rows));
	}

	http_response platform_standin::answer_objects(const http_request& request, const std::string& name)
	{
		if (request.method == "PUT")
		{
			objects_[name] = request.body;
			return {200, {}, ""};
		}
		const auto found = objects_.find(name);
		return found == objects_.end() ? error_response(404, "no such object") : http_response{200, {}, found->second};
	}

	std::vector<json::object> platform_standin::list_workers() const
	{
		std::vector<json::object> list;
		for (const auto& [name, worker] : workers_)
		{
			json::object out;
			out["worker"] = name.str();
			out["data_centre"] = worker.declaration.data_centre.str();
			out["rack"] = worker.declaration.rack.str();
			out["requests"] = worker.declaration.requests;
			out["control"] = worker.declaration.control;
			out["state"] = worker.declaration.leaving ? "leaving" : "live";
			list.push_back(std::move(out));
		}
		return list;
	}

	http_response platform_standin::answer_instances()
	{
		const auto at = boottime_now() - faults_.list_lag;
		while (list_snapshots_.size() > 1 && list_snapshots_[1].at <= at)
			list_snapshots_.pop_front();
		return json_response(200, list_snapshots_.empty() ? "[]" : list_snapshots_.front().text);
	}

	// ------------------------------------------------------------------ worker interface

	http_response platform_standin::answer_worker(const http_request& request)
	{
		const auto segments = path_segments(request);
		const auto body = parse_json(request.body);
		if (segments.size() < 4 || !body.ok() || !body->is_object())
			return error_response(400, "a worker, an action and a JSON object are required");
		const auto found = workers_.find(worker_id{segments[2]});
		if (found == workers_.end())
			return error_response(404, "no such worker");
		auto& worker = found->second;
		if (segments[3] == "renew")
			return renew(worker, body->get_object());
		if (segments.size() == 4)
			return start_run(worker, body->get_object());
		if (segments.size() == 6)
			return answer_run(worker, segments[4], segments[5], body->get_object());
		return error_response(404, "no such action");
	}

	http_response platform_standin::start_run(worker_state& worker, const json::object& body)
	{
		worker_run run;
		run.task = text_or(body, "task");
		run.run = static_cast<std::uint64_t>(number_or(body, "run"));
		run.shard = static_cast<std::uint64_t>(number_or(body, "shard"));
		run.kind = text_or(body, "kind");
		run.command = text_or(body, "command");
		run.claim = {number_or(body, "cpu"), number_or(body, "memory"), number_or(body, "accelerators")};
		run.replica = flag_or(body, "replica");
		run.checkpoint = text_or(body, "checkpoint");
		run.progress_updated_at = boottime_now();
		run.lease_end = run.progress_updated_at + millis{number_or(body, "lease_ms")};
		const auto known = worker.runs.find(run.task);
		if (known != worker.runs.end() && known->second.run == run.run)
			return json_response(200, "{}");
		if (known != worker.runs.end() && !has_ended(known->second.state))
			return error_response(409, "another run of the task is on the worker");
		if (worker.runs.size() >= max_runs_per_worker)
			return error_response(409, "too many runs");
		const std::vector<std::string> words = absl::StrSplit(run.command, ' ');
		if (words.size() == 2 && words[0] == "work")
			(void)absl::SimpleAtoi(words[1], &run.work_ms);
		const std::vector<std::string> parts = absl::StrSplit(run.checkpoint, '@');
		if (parts.size() == 2)
			(void)absl::SimpleAtod(parts[1], &run.progress_ms);
		if (flag_or(body, "adopt"))
			worker.declaration.foreign -= run.claim;
		auto& placed = worker.runs[run.task] = run;
		check_invariants(worker, placed);
		record_event(worker, placed, "start");
		if (run.command == "fail" || worker.declaration.fails_all_runs)
		{
			placed.state = "failed";
			placed.reason = "exited with 1";
			record_event(worker, placed, "fail");
		}
		return json_response(200, "{}");
	}

	http_response platform_standin::renew(worker_state& worker, const json::object& body)
	{
		const auto at = boottime_now();
		const auto lease = millis{number_or(body, "lease_ms")};
		if (const auto* names = body.if_contains("runs"); names != nullptr && names->is_array())
			for (const auto& name : names->get_array())
				if (const auto run = worker.runs.find(std::string{name.as_string()}); run != worker.runs.end())
					run->second.lease_end = at + lease;
		json::array runs;
		resources used;
		for (auto& [task, run] : worker.runs)
		{
			advance(worker, run, at);
			json::object out = to_json(run.claim);
			out["task"] = task;
			out["run"] = run.run;
			out["shard"] = run.shard;
			out["kind"] = run.kind;
			out["replica"] = run.replica;
			out["state"] = run.state == "running" && run.share < 1 ? "throttled" : run.state;
			out["checkpoint"] = run.checkpoint;
			out["reason"] = run.reason;
			runs.push_back(std::move(out));
			if (!has_ended(run.state))
				used += run.claim;
		}
		json::object out;
		out["runs"] = std::move(runs);
		out["used"] = to_json(used);
		out["foreign"] = to_json(worker.declaration.foreign);
		out["leaving"] = worker.declaration.leaving;
		return json_response(200, json::serialize(out));
	}

	http_response platform_standin::answer_run(worker_state& worker, const std::string& task, const std::string& action,
											   const json::object& body)
	{
		const auto found = worker.runs.find(task);
		if (found == worker.runs.end() || found->second.run != static_cast<std::uint64_t>(number_or(body, "run")))
			return error_response(404, "no such run");
		auto& run = found->second;
		advance(worker, run, boottime_now());
		if (action == "forget")
		{
			if (has_ended(run.state))
				worker.runs.erase(found);
			return json_response(200, "{}");
		}
		if (has_ended(run.state))
			return action == "stop" ? json_response(200, "{}") : error_response(409, "the run is over");
		if (action == "throttle")
		{
			const auto* share = body.if_contains("share");
			const double before = run.share;
			run.share = share == nullptr ? 1 : share->to_number<double>();
			if (before > 0 && run.share == 0)
				record_event(worker, run, "pause");
			if (before == 0 && run.share > 0)
			{
				check_invariants(worker, run);
				record_event(worker, run, "resume");
			}
			return json_response(200, "{}");
		}
		if (action == "checkpoint")
		{
			run.checkpoint = absl::StrCat(run.task, ".", run.run, "@", static_cast<std::int64_t>(run.progress_ms));
			record_event(worker, run, "checkpoint");
			json::object out;
			out["checkpoint"] = run.checkpoint;
			return json_response(200, json::serialize(out));
		}
		if (action == "release")
		{
			record_event(worker, run, "release");
			worker.declaration.foreign += run.claim;
			worker.runs.erase(found);
			return json_response(200, "{}");
		}
		if (action != "stop")
			return error_response(404, "no such action");
		run.state = "stopped";
		record_event(worker, run, "stop");
		return json_response(200, "{}");
	}

	// ------------------------------------------------------------------ simulation of runs

	void platform_standin::advance(worker_state& worker, worker_run& run, instant now)
	{
		if (has_ended(run.state))
			return;
		const auto until = std::min(now, run.lease_end);
		if (until > run.progress_updated_at)
			run.progress_ms +=
				run.share * std::chrono::duration<double, std::milli>(until - run.progress_updated_at).count();
		run.progress_updated_at = now;
		if (run.work_ms >= 0 && run.progress_ms >= static_cast<double>(run.work_ms))
		{
			run.state = "finished";
			record_event(worker, run, "finish");
		}
		else if (now >= run.lease_end)
		{
			run.state = "stopped";
			run.reason = "its lease was not renewed";
			record_event(worker, run, "lapse");
		}
	}

	void platform_standin::record_event(const worker_state& worker, const worker_run& run, std::string transition)
	{
		events_.push_back({to_millis(boottime_now()), run.task, run.run, worker.declaration.worker.str(),
						   std::move(transition), static_cast<std::int64_t>(run.progress_ms)});
	}

	void platform_standin::check_invariants(const worker_state& worker, const worker_run& run)
	{
		resources claimed = worker.declaration.foreign;
		for (const auto& [task, other] : worker.runs)
			if (!has_ended(other.state))
				claimed += other.claim;
		if (!claimed.fits_in(worker.declaration.capacity))
			violations_.push_back(
				absl::StrCat(worker.declaration.worker.str(), " exceeds its capacity with ", run.task));
		for (auto& [name, other_worker] : workers_)
		{
			const auto other = other_worker.runs.find(run.task);
			if (name == worker.declaration.worker || other == other_worker.runs.end() || run.replica)
				continue;
			advance(other_worker, other->second, boottime_now());
			if (!has_ended(other->second.state) && other->second.share > 0)
				violations_.push_back(absl::StrCat("task ", run.task, " runs on ", worker.declaration.worker.str(),
												   " as run ", run.run, " and on ", name.str(), " as run ",
												   other->second.run));
		}
	}

	asio::awaitable<void> platform_standin::tick()
	{
		asio::steady_timer timer{io_};
		while (true)
		{
			timer.expires_after(tick_interval);
			(void)co_await timer.async_wait(as_result);
			const auto at = boottime_now();
			for (auto& [name, worker] : workers_)
				for (auto& [task, run] : worker.runs)
					advance(worker, run, at);
			json::array list;
			for (auto& instance : list_workers())
				list.push_back(std::move(instance));
			auto text = json::serialize(list);
			if (list_snapshots_.empty() || list_snapshots_.back().text != text)
				list_snapshots_.push_back({at, std::move(text)});
		}
	}
}
