// SPDX-License-Identifier: MIT
#include <trailjunction/core/random.hpp>
#include <trailjunction/decide/process/task_spec.hpp>

namespace trailjunction
{
	namespace
	{
		constexpr allowed_range cpu_milli_range{0, 1'000'000};
		constexpr allowed_range memory_mib_range{0, 100'000'000};
		constexpr allowed_range accelerator_range{0, 1'000};
		constexpr allowed_range expected_ms_range{0, 365LL * 24 * 3600 * 1000};
		constexpr char replica_separator = '#'; ///< Between a service's name and the replica's number.
	}

	std::string_view to_string(urgency value) noexcept
	{
		switch (value)
		{
		case urgency::urgent:
			return "urgent";
		case urgency::background:
			return "background";
		case urgency::normal:
			break;
		}
		return "normal";
	}

	shard_id shard_of(const task_id& task, std::uint64_t shards) noexcept
	{
		const std::string_view text{task.str()};
		return {stable_hash(text.substr(0, text.find(replica_separator))) % shards};
	}

	boost::json::object to_json(const task_spec& spec)
	{
		boost::json::object out;
		out["id"] = spec.id.str();
		out["account"] = spec.account.str();
		out["kind"] = spec.kind.str();
		if (spec.priority != urgency::normal)
			out["urgency"] = to_string(spec.priority);
		if (!spec.repeatable)
			out["repeatable"] = false;
		if (spec.replica)
			out["replica"] = true;
		out["cpu"] = spec.claim.cpu_milli;
		out["memory"] = spec.claim.memory_mib;
		if (spec.claim.accelerators != 0)
			out["accelerators"] = spec.claim.accelerators;
		if (!spec.command.empty())
			out["command"] = spec.command;
		if (!spec.data_centre.empty())
			out["data_centre"] = spec.data_centre.str();
		if (!spec.adopted_on.empty())
			out["adopted_on"] = spec.adopted_on.str();
		if (spec.expected_ms != 0)
			out["expected_ms"] = spec.expected_ms;
		return out;
	}

	task_spec read_task_spec(field_reader& reader)
	{
		task_spec spec;
		std::string id;
		std::string account;
		std::string kind;
		std::string data_centre;
		std::string adopted_on;
		std::string priority{"normal"};
		reader.require("id");
		reader.require("account");
		reader.read("id", id);
		reader.read("account", account);
		reader.read("kind", kind);
		reader.read("data_centre", data_centre, true);
		reader.read("urgency", priority);
		reader.read("repeatable", spec.repeatable);
		reader.read("replica", spec.replica);
		reader.read("cpu", spec.claim.cpu_milli, cpu_milli_range);
		reader.read("memory", spec.claim.memory_mib, memory_mib_range);
		reader.read("accelerators", spec.claim.accelerators, accelerator_range);
		reader.read("command", spec.command, true);
		reader.read("adopted_on", adopted_on, true);
		reader.read("expected_ms", spec.expected_ms, expected_ms_range);
		if (priority == "urgent")
			spec.priority = urgency::urgent;
		else if (priority == "background")
			spec.priority = urgency::background;
		else if (priority != "normal")
			reader.add_error("urgency", "is '" + priority + "', expected one of urgent, normal, background");
		reader.finish();
		spec.id = task_id{id};
		spec.account = account_id{account};
		spec.kind = kind_id{kind.empty() ? id : kind};
		spec.data_centre = data_centre_id{data_centre};
		spec.adopted_on = worker_id{adopted_on};
		return spec;
	}
}
