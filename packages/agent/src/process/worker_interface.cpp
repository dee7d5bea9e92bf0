// SPDX-License-Identifier: MIT
#include "worker_interface.hpp"

#include <trailjunction/core/json.hpp>

#include <absl/strings/str_cat.h>
#include <boost/json/array.hpp>

#include <array>

namespace trailjunction
{
	namespace asio = boost::asio;
	namespace json = boost::json;

	namespace
	{
		constexpr std::size_t max_connections = 8;
		constexpr std::array<std::string_view, 5> state_names{"running", "throttled", "finished", "failed", "stopped"};

		platform_run_state state_of(std::string_view name)
		{
			for (std::size_t i = 0; i < state_names.size(); ++i)
				if (state_names[i] == name)
					return static_cast<platform_run_state>(i);
			return platform_run_state::stopped;
		}

		resources resources_of(const json::object& object)
		{
			return {number_or(object, "cpu"), number_or(object, "memory"), number_or(object, "accelerators")};
		}

		resources resources_at(const json::object& object, std::string_view name)
		{
			const auto* value = object.if_contains(name);
			return value != nullptr && value->is_object() ? resources_of(value->get_object()) : resources{};
		}

		platform_run run_of(const json::object& object)
		{
			platform_run run;
			run.task = task_id{text_or(object, "task")};
			run.run = {static_cast<std::uint64_t>(number_or(object, "run"))};
			run.shard = {static_cast<std::uint64_t>(number_or(object, "shard"))};
			run.kind = kind_id{text_or(object, "kind")};
			run.claim = resources_of(object);
			run.replica = flag_or(object, "replica");
			run.state = state_of(text_or(object, "state"));
			run.checkpoint = checkpoint_id{text_or(object, "checkpoint")};
			run.reason = text_or(object, "reason");
			return run;
		}

		std::string run_path(const task_id& task, std::string_view action)
		{
			return absl::StrCat("/runs/", percent_encode(task.str()), "/", std::string{action});
		}

		std::string run_body(run_number run)
		{
			return json::serialize(json::value{{"run", run.value}});
		}
	}

	worker_interface::worker_interface(asio::io_context& io, const endpoint& platform, worker_id worker)
		: client_{io, platform, max_connections},
		  worker_{std::move(worker)}
	{
	}

	asio::awaitable<absl::StatusOr<std::string>> worker_interface::post(std::string path, std::string body,
																		instant deadline)
	{
		http_request request{
			"POST", absl::StrCat("/v1/workers/", percent_encode(worker_.str()), path), {}, std::move(body)};
		auto result = co_await client_.send(std::move(request), deadline);
		if (result.delivery != delivery_status::answered)
			co_return result.status;
		if (result.response.status == 404)
			co_return absl::NotFoundError(result.response.body);
		if (result.response.status != 200)
			co_return absl::UnavailableError(
				absl::StrCat("platform answered ", result.response.status, ": ", result.response.body));
		co_return std::move(result.response.body);
	}

	asio::awaitable<absl::StatusOr<worker_status>> worker_interface::renew(std::vector<task_id> runs, millis lease,
																		   instant deadline)
	{
		json::array names;
		for (const auto& task : runs)
			names.emplace_back(task.str());
		json::object body;
		body["runs"] = std::move(names);
		body["lease_ms"] = lease.count();
		const auto answer = co_await post("/renew", json::serialize(body), deadline);
		if (!answer.ok())
			co_return answer.status();
		const auto parsed = parse_json(*answer);
		if (!parsed.ok() || !parsed->is_object())
			co_return absl::InternalError("the response of the worker interface is not a JSON object");
		const auto& object = parsed->get_object();
		worker_status status;
		status.used = resources_at(object, "used");
		status.foreign = resources_at(object, "foreign");
		status.leaving = flag_or(object, "leaving");
		if (const auto* list = object.if_contains("runs"); list != nullptr && list->is_array())
			for (const auto& value : list->get_array())
				if (value.is_object())
					status.runs.push_back(run_of(value.get_object()));
		co_return status;
	}

	asio::awaitable<http_result> worker_interface::start(start_order order, millis lease, instant deadline)
	{
		json::object body;
		body["task"] = order.task.str();
		body["run"] = order.run.value;
		body["shard"] = order.shard.value;
		body["kind"] = order.kind.str();
		body["cpu"] = order.claim.cpu_milli;
		body["memory"] = order.claim.memory_mib;
		body["accelerators"] = order.claim.accelerators;
		body["replica"] = order.replica;
		body["checkpoint"] = order.checkpoint.str();
		body["command"] = order.command;
		body["adopt"] = order.adopt;
		body["lease_ms"] = lease.count();
		http_request request{
			"POST", absl::StrCat("/v1/workers/", percent_encode(worker_.str()), "/runs"), {}, json::serialize(body)};
		co_return co_await client_.send(std::move(request), deadline);
	}

	asio::awaitable<absl::Status> worker_interface::throttle(task_id task, run_number run, double share,
															 instant deadline)
	{
		json::object body;
		body["run"] = run.value;
		body["share"] = share;
		const auto answer = co_await post(run_path(task, "throttle"), json::serialize(body), deadline);
		co_return answer.status();
	}

	asio::awaitable<absl::StatusOr<checkpoint_id>> worker_interface::checkpoint(task_id task, run_number run,
																				instant deadline)
	{
		const auto answer = co_await post(run_path(task, "checkpoint"), run_body(run), deadline);
		if (!answer.ok())
			co_return answer.status();
		const auto parsed = parse_json(*answer);
		if (!parsed.ok() || !parsed->is_object())
			co_return absl::InternalError("the worker interface returned no checkpoint");
		co_return checkpoint_id{text_or(parsed->get_object(), "checkpoint")};
	}

	asio::awaitable<absl::Status> worker_interface::stop(task_id task, run_number run, instant deadline)
	{
		const auto answer = co_await post(run_path(task, "stop"), run_body(run), deadline);
		co_return answer.status();
	}

	asio::awaitable<absl::Status> worker_interface::release(task_id task, run_number run, instant deadline)
	{
		const auto answer = co_await post(run_path(task, "release"), run_body(run), deadline);
		co_return answer.status();
	}

	asio::awaitable<absl::Status> worker_interface::forget(task_id task, run_number run, instant deadline)
	{
		const auto answer = co_await post(run_path(task, "forget"), run_body(run), deadline);
		co_return answer.status();
	}
}
