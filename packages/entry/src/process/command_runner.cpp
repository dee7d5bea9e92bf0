// SPDX-License-Identifier: MIT
#include "command_runner.hpp"

#include "command_results.hpp"
#include "command_specs.hpp"

#include <trailjunction/core/event.hpp>
#include <trailjunction/core/json.hpp>
#include <trailjunction/core/random.hpp>
#include <trailjunction/net/coroutines.hpp>
#include <trailjunction/net/http_client.hpp>

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <cstring>

namespace trailjunction
{
	namespace asio = boost::asio;
	namespace json = boost::json;

	namespace
	{
		constexpr auto command_timeout = millis{6'000};
		constexpr auto forward_timeout = millis{5'500};
		constexpr auto owner_retry_interval = millis{100};
		constexpr std::size_t max_requests_kept = 1'000;

		int http_status(absl::StatusCode code)
		{
			switch (code)
			{
			case absl::StatusCode::kOk:
				return 200;
			case absl::StatusCode::kInvalidArgument:
				return 400;
			case absl::StatusCode::kNotFound:
				return 404;
			case absl::StatusCode::kAborted:
			case absl::StatusCode::kAlreadyExists:
			case absl::StatusCode::kFailedPrecondition:
				return 409;
			case absl::StatusCode::kUnknown:
				return 504;
			default:
				return 503;
			}
		}

		absl::StatusCode to_status_code(int status)
		{
			switch (status)
			{
			case 200:
				return absl::StatusCode::kOk;
			case 400:
				return absl::StatusCode::kInvalidArgument;
			case 404:
				return absl::StatusCode::kNotFound;
			case 409:
				return absl::StatusCode::kFailedPrecondition;
			case 504:
				return absl::StatusCode::kUnknown;
			default:
				return absl::StatusCode::kUnavailable;
			}
		}

		http_response to_response(const command_result& result)
		{
			json::object out;
			if (!result.status.ok())
			{
				out["error"] = std::string_view{result.status.message().data(), result.status.message().size()};
				out["no_owner"] = result.no_owner;
				return json_response(http_status(result.status.code()), json::serialize(out));
			}
			out["message"] = result.message;
			if (!result.table.columns.empty())
				out["table"] = to_json(result.table);
			if (result.version.value != 0)
				out["version"] = result.version.value;
			if (result.count != 0)
				out["count"] = result.count;
			return json_response(200, json::serialize(out));
		}

		command_result from_response(const http_result& answer)
		{
			if (answer.delivery == delivery_status::not_sent)
				return refuse_temporarily("the owning entry is unreachable; nothing was changed");
			if (answer.delivery == delivery_status::unknown)
				return refuse(
					absl::UnknownError("the owning entry gave no answer; retry the command with the same id"));
			const auto parsed = parse_json(answer.response.body);
			if (!parsed.ok() || !parsed->is_object())
				return refuse(absl::InternalError("the owning entry's answer is not a JSON object"));
			const auto& object = parsed->get_object();
			command_result result;
			if (answer.response.status != 200)
			{
				result.status = absl::Status(to_status_code(answer.response.status), text_or(object, "error"));
				result.no_owner = flag_or(object, "no_owner");
				return result;
			}
			result.message = text_or(object, "message");
			result.version = {static_cast<std::uint64_t>(number_or(object, "version"))};
			result.count = static_cast<std::uint64_t>(number_or(object, "count"));
			if (const auto* table = object.if_contains("table"); table != nullptr && table->is_object())
				result.table = table_from_json(table->get_object());
			return result;
		}

		/// Identifiers are stored in a list separated by blanks and line ends, so they must not contain either.
		bool is_valid_id(const std::string& id)
		{
			constexpr std::size_t max_length = 64;
			const auto is_allowed = [](unsigned char c)
			{
				return absl::ascii_isalnum(c) || std::strchr("-_.:", c) != nullptr;
			};
			return id.size() <= max_length && std::all_of(id.begin(), id.end(), is_allowed);
		}

		journal_record make_record(record_kind kind, const task_id& task, std::string reason)
		{
			journal_record record;
			record.kind = kind;
			record.task = task;
			record.reason = std::move(reason);
			return record;
		}
	}

	command_runner::command_runner(asio::io_context& io, const entry_settings& settings, task_owner& tasks,
								   worker_directory& workers, member_keeper& members, config_manager& config)
		: io_{io},
		  settings_{settings},
		  tasks_{tasks},
		  workers_{workers},
		  members_{members},
		  config_{config}
	{
	}

	void command_runner::add_request(completed_request completed)
	{
		completed_requests_.push_back(std::move(completed));
		if (completed_requests_.size() > max_requests_kept)
			completed_requests_.pop_front();
	}

	asio::awaitable<http_response> command_runner::answer(http_request request)
	{
		const auto body = parse_json(request.body);
		if (!body.ok() || !body->is_object())
			co_return error_response(400, "the body is not a JSON object with a field \"command\"");
		command_call call;
		call.text = text_or(body->get_object(), "command");
		call.id = text_or(body->get_object(), "id");
		if (call.id.empty())
			call.id = random_token();
		if (!is_valid_id(call.id))
			co_return error_response(400, "id: must be 1 to 64 letters, digits, '-', '_', '.' or ':'");
		call.forwarded = !find_header(request.headers, "Trailjunction-Forwarded").empty();
		call.deadline = boottime_now() + (call.forwarded ? forward_timeout : command_timeout);
		const auto parsed = parse_command(call.text);
		if (!parsed.ok())
			co_return error_response(400, std::string{parsed.status().message()});
		call.parsed = *parsed;
		const auto text = call.text;
		const bool is_read_only = call.parsed.action == verb::show || call.parsed.action == verb::why;
		const auto result = co_await run_with_retry(std::move(call));
		if (!is_read_only)
			log_event(result.status.ok() ? event::command_accepted : event::command_refused,
					  {{"command", text}, {"reason", std::string{result.status.message()}}});
		co_return to_response(result);
	}

	/// Retries a command until its deadline while the task's shard has no owner, as during a handover.
	asio::awaitable<command_result> command_runner::run_with_retry(command_call call)
	{
		while (true)
		{
			auto result = co_await run(call);
			const bool can_retry =
				result.no_owner && !call.forwarded && boottime_now() + owner_retry_interval < call.deadline;
			if (!can_retry)
				co_return result;
			co_await pause_for(io_, owner_retry_interval);
		}
	}

	asio::awaitable<command_result> command_runner::run(command_call call)
	{
		const auto subject = call.parsed.subject;
		switch (call.parsed.action)
		{
		case verb::show:
			co_return co_await show(std::move(call));
		case verb::why:
			co_return co_await why(std::move(call));
		case verb::submit:
		case verb::adopt:
			co_return co_await submit(std::move(call));
		case verb::cancel:
			if (call.parsed.target == noun::tasks)
				co_return co_await cancel_tasks(std::move(call));
			co_return co_await change_task(std::move(call));
		case verb::place:
		case verb::resolve:
		case verb::release:
			co_return co_await change_task(std::move(call));
		case verb::drain:
			if (call.parsed.explain_only)
				co_return explain_drain(call);
			if (workers_.find(worker_id{subject}) == nullptr)
				co_return refuse(absl::NotFoundError(absl::StrCat("no worker '", subject, "'")));
			co_return co_await change_config(std::move(call), worker_path(subject, "drained"), "true",
											 absl::StrCat("worker ", subject, " takes no new work"));
		case verb::undrain:
			co_return co_await change_config(std::move(call), worker_path(subject, "drained"), "null",
											 absl::StrCat("worker ", subject, " takes work again"));
		case verb::reserve:
		{
			const auto amounts = parse_amounts(call.parsed);
			if (!amounts.ok())
				co_return refuse(amounts.status());
			co_return co_await change_config(std::move(call), worker_path(subject, "reserved"), *amounts,
											 absl::StrCat("reserved on worker ", subject));
		}
		case verb::quota:
		{
			const auto amounts = parse_amounts(call.parsed);
			if (!amounts.ok())
				co_return refuse(amounts.status());
			co_return co_await change_config(std::move(call),
											 absl::StrCat("/accounts/", escape_reference_token(subject)), *amounts,
											 absl::StrCat("quota of account ", subject, " is set"));
		}
		case verb::set:
		{
			const auto value = *call.parsed.option("to");
			co_return co_await change_config(std::move(call), subject, value, absl::StrCat(subject, " is ", value));
		}
		}
		co_return refuse(absl::UnimplementedError("no such command"));
	}

	asio::awaitable<command_result> command_runner::change_config(command_call call, std::string path,
																  std::string value, std::string done_message)
	{
		if (call.parsed.explain_only)
			co_return done(
				absl::StrCat("would set ", path, " to ", value, " in version ", config_.current().version.value + 1));
		std::optional<config_version> if_version;
		if (call.parsed.if_version)
			if_version = config_version{*call.parsed.if_version};
		const auto change = co_await config_.change(std::move(path), std::move(value), if_version, call.id);
		if (!change.status.ok())
			co_return refuse(change.status);
		auto result = done(absl::StrCat(done_message, " (version ", change.version.value, ")"));
		result.version = change.version;
		co_return result;
	}

	// ------------------------------------------------------------------ other entries

	asio::awaitable<command_result> command_runner::forward(command_call call, std::string address)
	{
		const auto owner_endpoint = parse_endpoint(address);
		if (!owner_endpoint.ok())
			co_return refuse(absl::UnavailableError("the owning entry has no address"));
		json::object body;
		body["command"] = call.text;
		body["id"] = call.id;
		http_client client{io_, *owner_endpoint, 1};
		http_request request{"POST", "/v1/command", {{"Trailjunction-Forwarded", settings_.member.str()}}, ""};
		request.body = json::serialize(body);
		co_return from_response(co_await client.send(std::move(request), call.deadline));
	}

	asio::awaitable<command_result> command_runner::forward_to_owner(command_call call, shard_id shard)
	{
		if (call.forwarded)
			co_return refuse_temporarily("not accepted: this entry does not own the task's shard");
		const auto owner = preferred_owner(shard, members_.live(boottime_now()));
		const auto owner_row = members_.members().find(owner);
		if (owner == settings_.member || owner_row == members_.members().end())
			co_return refuse_temporarily("not accepted: the task's shard has no owner at present; retry later");
		const auto address = owner_row->second.address;
		co_return co_await forward(std::move(call), address);
	}

	asio::awaitable<command_result> command_runner::gather_from_entries(command_call call, result_table local_table)
	{
		command_result result;
		result.table = std::move(local_table);
		if (call.forwarded)
			co_return result;
		for (const auto& member : members_.live(boottime_now()))
		{
			if (member == settings_.member)
				continue;
			const auto address = members_.members().at(member).address;
			const auto peer_result = co_await forward(call, address);
			if (!peer_result.status.ok())
				absl::StrAppend(&result.message, "incomplete: entry ", member.str(), ": ", peer_result.status.message(),
								"\n");
			result.table.rows.insert(result.table.rows.end(), peer_result.table.rows.begin(),
									 peer_result.table.rows.end());
		}
		auto selected = select(std::move(result.table), call.parsed);
		if (!selected.ok())
			co_return refuse(selected.status());
		result.table = *std::move(selected);
		co_return result;
	}

	// ------------------------------------------------------------------ tasks

	asio::awaitable<command_result> command_runner::submit(command_call call)
	{
		const auto specs = parse_task_specs(call.parsed);
		if (!specs.ok())
			co_return refuse(specs.status());
		if (call.parsed.explain_only)
		{
			random_engine random{random_u64()};
			const auto decision = place(workers_.worker_views(), specs->front(), {}, config_.current().placement,
										workers_.learned_interference(), boottime_now(), random);
			co_return done(explain(decision));
		}
		command_result result;
		for (const auto& spec : *specs)
		{
			result = co_await submit_task(call, spec);
			if (!result.status.ok())
				co_return result;
		}
		if (specs->size() > 1)
			result.message = absl::StrCat("accepted ", specs->size(), " replicas of ", call.parsed.subject);
		co_return result;
	}

	asio::awaitable<command_result> command_runner::submit_task(command_call call, task_spec spec)
	{
		auto& journal = tasks_.journal_of(spec.id);
		if (journal.ownership() != shard_ownership::owned)
		{
			if (spec.replica)
			{
				// Forwards a command for this replica only, so that the owner submits no others.
				call.text = replica_command(spec);
				call.parsed = *parse_command(call.text);
			}
			co_return co_await forward_to_owner(std::move(call), journal.shard());
		}
		const auto existing = journal.state().tasks.find(spec.id);
		if (existing != journal.state().tasks.end())
		{
			if (json::serialize(to_json(existing->second.spec)) != json::serialize(to_json(spec)))
				co_return refuse(absl::AlreadyExistsError(
					absl::StrCat("task ", spec.id.str(), " already exists with a different specification")));
			const auto status = co_await tasks_.wait_until_durable(spec.id, call.deadline);
			co_return status.ok() ? done(absl::StrCat("task ", spec.id.str(), " was already accepted"))
								  : refuse(status);
		}
		auto record = make_record(record_kind::submitted, spec.id, "");
		record.spec = spec;
		const auto status = co_await tasks_.commit(std::move(record), call.deadline);
		co_return to_result(spec.id, status, absl::StrCat("accepted task ", spec.id.str()));
	}

	command_result command_runner::to_result(const task_id& task, const absl::Status& status, std::string message)
	{
		if (status.ok())
			return done(std::move(message));
		// unavailable has two causes: a shard that is being handed over, or an unavailable store.
		const bool is_handover =
			absl::IsUnavailable(status) && !tasks_.journal_of(task).is_store_unavailable(boottime_now());
		return is_handover ? refuse_temporarily(std::string{status.message()}) : refuse(status);
	}

	asio::awaitable<command_result> command_runner::change_task(command_call call)
	{
		const task_id id{call.parsed.subject};
		auto& journal = tasks_.journal_of(id);
		if (journal.ownership() != shard_ownership::owned)
			co_return co_await forward_to_owner(std::move(call), journal.shard());
		const auto found = journal.state().tasks.find(id);
		if (found == journal.state().tasks.end())
			co_return refuse(absl::NotFoundError(absl::StrCat("no task '", id.str(), "'")));
		if (call.parsed.explain_only)
			co_return done(absl::StrCat("would ", std::string{to_string(call.parsed.action)}, " task ", id.str(),
										", which is ", tasks_.explain_task(found->second)));
		journal_record record;
		switch (call.parsed.action)
		{
		case verb::cancel:
			if (found->second.phase == task_phase::cancelled || found->second.cancel_requested)
				co_return done(absl::StrCat("task ", id.str(), " was already cancelled"));
			record = make_record(record_kind::cancelled, id, "cancelled by an operator");
			break;
		case verb::release:
			record = make_record(record_kind::cancelled, id, "left to the operators' scripts");
			record.hand_over = true;
			break;
		case verb::resolve:
			record = make_record(record_kind::resolved, id, "resolved by an operator");
			record.rerun = *call.parsed.option("as") == "retry";
			break;
		default:
			record = make_record(record_kind::placed, id, "placed by an operator");
			record.worker = worker_id{*call.parsed.option("on")};
			if (workers_.find(record.worker) == nullptr)
				co_return refuse(absl::NotFoundError(absl::StrCat("no worker '", record.worker.str(), "'")));
			break;
		}
		const auto status = co_await tasks_.commit(std::move(record), call.deadline);
		co_return to_result(id, status, absl::StrCat(std::string{to_string(call.parsed.action)}, ": task ", id.str()));
	}

	asio::awaitable<command_result> command_runner::cancel_tasks(command_call call)
	{
		auto matching = select(task_table(), call.parsed);
		if (!matching.ok())
			co_return refuse(matching.status());
		absl::Status status;
		std::size_t count = 0;
		for (const auto& row : matching->rows)
		{
			const task_id id{row.front()};
			auto& journal = tasks_.journal_of(id);
			const auto found = journal.state().tasks.find(id);
			if (found == journal.state().tasks.end() || is_terminal(found->second.phase) ||
				found->second.cancel_requested)
				continue;
			if (call.parsed.explain_only ||
				journal.append(make_record(record_kind::cancelled, id, "cancelled by an operator")).ok())
				++count;
		}
		for (const auto& journal : tasks_.journals())
			if (journal->ownership() == shard_ownership::owned && !journal->state().tasks.empty())
			{
				const auto id = journal->state().tasks.begin()->first;
				const auto settled = co_await tasks_.wait_until_durable(id, call.deadline);
				if (!settled.ok())
					status = settled;
			}
		if (!status.ok())
			co_return refuse(status);
		std::size_t remote_count = 0;
		if (!call.forwarded)
			for (const auto& member : members_.live(boottime_now()))
				if (member != settings_.member)
				{
					const auto peer_result = co_await forward(call, members_.members().at(member).address);
					if (!peer_result.status.ok())
						co_return refuse(peer_result.status);
					remote_count += peer_result.count;
				}
		auto result = done(
			absl::StrCat(call.parsed.explain_only ? "would cancel " : "cancelled ", count + remote_count, " tasks"));
		result.count = count;
		co_return result;
	}
}
