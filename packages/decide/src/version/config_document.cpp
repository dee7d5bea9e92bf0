// SPDX-License-Identifier: MIT
#include <trailjunction/core/json.hpp>
#include <trailjunction/decide/version/config_document.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/str_split.h>

#include <vector>

namespace trailjunction
{
	namespace json = boost::json;

	namespace
	{
		constexpr allowed_range slot_range{1, 4096};
		constexpr allowed_range queue_range{0, 65'536};
		constexpr allowed_range deadline_range{1, 600'000};
		constexpr allowed_range target_range{1, 600'000};
		constexpr allowed_range amount_range{0, 1'000'000'000};
		constexpr allowed_range eviction_range{0, 10'000};
		constexpr double max_weight = 1'000;
		constexpr double max_latency_us = 10'000'000;

		void read_requests(field_reader& reader, request_config& out)
		{
			reader.read("slots", out.slots, slot_range);
			reader.read("queue", out.queue, queue_range);
			reader.read("connections", out.connections, slot_range);
			reader.read("retry_share", out.retry_share, 0, 1);
			reader.read("hedge", out.hedge);
			reader.read("deadline_ms", out.deadline, deadline_range);
			reader.read("eject_latency_factor", out.eject_latency_factor, 1, max_weight);
			reader.read("eject_at_most", out.eject_at_most, 0, 1);
			reader.read("far_data_centre_us", out.far_data_centre_us, 0, max_latency_us);
		}

		/// Preset sirr favours throughput and few evictions: it avoids slowing down services by placement and throttles
		/// only in emergencies, because a throttled task stays four times as long. Preset grangemouth, the default,
		/// favours tail latency.
		void apply_preset(field_reader& reader, const std::string& preset, placement_weights& out)
		{
			if (preset == "sirr")
				out = {.harm = 6, .packing = 0.5, .throttle_at = 10, .evict_at = 20, .evictions_per_minute = 1};
			else if (preset != "grangemouth")
				reader.add_error("preset", absl::StrCat("is '", preset, "', expected one of grangemouth, sirr"));
		}

		void read_placement(field_reader& reader, config_document& out)
		{
			reader.read("preset", out.preset);
			apply_preset(reader, out.preset, out.placement);
			reader.read("harm", out.placement.harm, 0, max_weight);
			reader.read("packing", out.placement.packing, 0, max_weight);
			reader.read("overuse", out.placement.overuse, 0, max_weight);
			reader.read("spread", out.placement.spread, 0, max_weight);
			reader.read("failures", out.placement.failures, 0, max_weight);
			reader.read("throttle_at", out.placement.throttle_at, 0.1, max_weight);
			reader.read("evict_at", out.placement.evict_at, 0.1, max_weight);
			reader.read("evictions_per_minute", out.placement.evictions_per_minute, eviction_range);
		}

		void read_amounts(field_reader& reader, resources& out)
		{
			reader.read("cpu", out.cpu_milli, amount_range);
			reader.read("memory", out.memory_mib, amount_range);
			reader.read("accelerators", out.accelerators, amount_range);
		}

		/// Splits a path and resolves the escapes of JSON Pointer, so that names with a slash can be addressed.
		std::vector<std::string> split_path(std::string_view path)
		{
			std::vector<std::string> steps = absl::StrSplit(std::string{path.substr(1)}, '/');
			for (auto& step : steps)
				step = absl::StrReplaceAll(step, {{"~1", "/"}, {"~0", "~"}});
			return steps;
		}
	}

	absl::StatusOr<config_document> parse_config(std::string_view text, config_version version)
	{
		const auto parsed = parse_json(text.empty() ? "{}" : text);
		if (!parsed.ok())
			return parsed.status();
		config_document document;
		document.version = version;
		field_errors errors;
		field_reader reader{*parsed, "", errors};
		reader.read_object("requests", [&](field_reader& requests) { read_requests(requests, document.requests); });
		reader.read_object("placement", [&](field_reader& placement) { read_placement(placement, document); });
		reader.read_each("accounts", [&](std::string_view name, field_reader& account)
						 { read_amounts(account, document.accounts[account_id{std::string{name}}].quota); });
		reader.read_each("workers",
						 [&](std::string_view name, field_reader& worker)
						 {
							 auto& out = document.workers[worker_id{std::string{name}}];
							 worker.read("drained", out.drained);
							 worker.read_object("reserved",
												[&](field_reader& amounts) { read_amounts(amounts, out.reserved); });
						 });
		reader.read_each(
			"services", [&](std::string_view name, field_reader& service)
			{ service.read("target_ms", document.services[service_id{std::string{name}}].target, target_range); });
		reader.finish();
		if (!errors.empty())
			return to_status(errors);
		return document;
	}

	absl::StatusOr<std::string> change_config(std::string_view text, std::string_view path, std::string_view value)
	{
		if (path.size() < 2 || path.front() != '/')
			return absl::InvalidArgumentError(
				absl::StrCat("'", std::string{path}, "' is not a path, expected one such as /requests/slots"));
		auto document = parse_json(text.empty() ? "{}" : text);
		if (!document.ok())
			return document.status();
		if (!document->is_object())
			return absl::InvalidArgumentError("the stored configuration is not an object");
		const auto new_value = parse_json(value);
		if (!new_value.ok())
			return absl::InvalidArgumentError(absl::StrCat(std::string{path}, ": ", new_value.status().message()));
		auto steps = split_path(path);
		auto* parent = &document->as_object();
		for (std::size_t i = 0; i + 1 < steps.size(); ++i)
		{
			auto& next = (*parent)[steps[i]];
			if (!next.is_object())
				next = json::object{};
			parent = &next.get_object();
		}
		if (new_value->is_null())
			parent->erase(steps.back());
		else
			(*parent)[steps.back()] = *new_value;
		auto changed = json::serialize(*document);
		if (const auto checked = parse_config(changed, {}); !checked.ok())
			return checked.status();
		return changed;
	}

	std::string config_for_agent(const json::value& document, const worker_id& worker)
	{
		json::object out;
		const auto* whole = document.if_object();
		if (whole == nullptr)
			return "{}";
		if (const auto* requests = whole->if_contains("requests"))
			out["requests"] = *requests;
		const auto* workers = whole->if_contains("workers");
		const auto* own =
			workers != nullptr && workers->is_object() ? workers->get_object().if_contains(worker.str()) : nullptr;
		if (own != nullptr)
			out["workers"] = json::object{{worker.str(), *own}};
		return json::serialize(out);
	}

	balance_policy to_balance_policy(const request_config& requests) noexcept
	{
		balance_policy policy;
		policy.far_data_centre_us = requests.far_data_centre_us;
		policy.eject_latency_factor = requests.eject_latency_factor;
		policy.eject_at_most = requests.eject_at_most;
		return policy;
	}
}
