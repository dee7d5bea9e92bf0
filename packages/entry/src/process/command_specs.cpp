// SPDX-License-Identifier: MIT
#include "command_specs.hpp"

#include <trailjunction/core/json.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

namespace trailjunction
{
	namespace json = boost::json;

	namespace
	{
		constexpr std::int64_t max_replicas = 10'000;

		/// Converts the options that are numbers or booleans; all others stay text.
		json::value to_json_value(const std::string& name, const std::string& text)
		{
			std::int64_t number{};
			const bool is_number = name == "cpu" || name == "memory" || name == "accelerators" || name == "expected_ms";
			if (is_number && absl::SimpleAtoi(text, &number))
				return number;
			const bool is_boolean = name == "repeatable" || name == "replica";
			if (is_boolean && (text == "yes" || text == "true"))
				return true;
			if (is_boolean && (text == "no" || text == "false"))
				return false;
			return json::string{text};
		}

		std::string quoted(const std::string& text)
		{
			return absl::StrCat("\"", absl::StrReplaceAll(text, {{"\\", "\\\\"}, {"\"", "\\\""}}), "\"");
		}

		/// The replicas of a service: for `tally`, `tally#1` to `tally#N`, all of kind `tally`.
		absl::StatusOr<std::vector<task_spec>> replicas_of(const task_spec& service, const std::string& count)
		{
			std::int64_t replicas{};
			if (!absl::SimpleAtoi(count, &replicas) || replicas < 1 || replicas > max_replicas)
				return absl::InvalidArgumentError(
					absl::StrCat("replicas: '", count, "' is not valid; expected 1 to ", max_replicas, " replicas"));
			std::vector<task_spec> specs;
			for (std::int64_t i = 1; i <= replicas; ++i)
			{
				auto spec = service;
				spec.id = task_id{absl::StrCat(service.id.str(), "#", i)};
				spec.kind = kind_id{service.id.str()};
				spec.replica = true;
				specs.push_back(std::move(spec));
			}
			return specs;
		}
	}

	absl::StatusOr<std::vector<task_spec>> parse_task_specs(const command& parsed)
	{
		json::object object;
		object["id"] = parsed.subject;
		std::string replicas{"1"};
		for (const auto& option : parsed.options)
		{
			if (parsed.target == noun::service && option.name == "replicas")
				replicas = option.value;
			else if (parsed.action == verb::adopt && option.name == "on")
				object["adopted_on"] = option.value;
			else if (option.name == "adopted_on" || object.contains(option.name))
				return absl::InvalidArgumentError(absl::StrCat(option.name, ": option is not allowed here"));
			else
				object[option.name] = to_json_value(option.name, option.value);
		}
		field_errors errors;
		const json::value value(std::move(object)); // braces would create an array
		field_reader reader{value, "", errors};
		const auto spec = read_task_spec(reader);
		if (!errors.empty())
			return to_status(errors);
		const bool is_replica = spec.replica;
		if (parsed.target == noun::service && !is_replica)
			return replicas_of(spec, replicas);
		return std::vector<task_spec>{spec};
	}

	std::string replica_command(const task_spec& replica)
	{
		std::string text = absl::StrCat("submit task ", quoted(replica.id.str()));
		for (const auto& member : to_json(replica))
		{
			if (member.key() == "id")
				continue;
			const auto& value = member.value();
			const auto value_text =
				value.is_string() ? quoted(std::string{value.get_string()}) : json::serialize(value);
			absl::StrAppend(&text, " ", std::string{member.key()}, " ", value_text);
		}
		return text;
	}

	absl::StatusOr<std::string> parse_amounts(const command& parsed)
	{
		json::object object;
		for (const auto& option : parsed.options)
		{
			std::int64_t amount{};
			if (option.name != "cpu" && option.name != "memory" && option.name != "accelerators")
				return absl::InvalidArgumentError(
					absl::StrCat(option.name, ": unknown resource; expected cpu, memory or accelerators"));
			if (!absl::SimpleAtoi(option.value, &amount) || amount < 0)
				return absl::InvalidArgumentError(
					absl::StrCat(option.name, ": '", option.value, "' is not a whole number of at least 0"));
			object[option.name] = amount;
		}
		return json::serialize(object);
	}

	std::string escape_reference_token(const std::string& name)
	{
		return absl::StrReplaceAll(name, {{"~", "~0"}, {"/", "~1"}});
	}

	std::string worker_path(const std::string& worker, const std::string& member)
	{
		return absl::StrCat("/workers/", escape_reference_token(worker), "/", member);
	}
}
