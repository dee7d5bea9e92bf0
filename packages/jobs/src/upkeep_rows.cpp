// SPDX-License-Identifier: MIT
/// \file
/// \brief Encodes and decodes the rows of upkeep waves. They are JSON, because operators may have to read them when a
/// wave is late.
#include <trailjunction/core/json.hpp>
#include <trailjunction/jobs/upkeep_wave.hpp>

namespace trailjunction
{
	namespace json = boost::json;

	namespace
	{
		constexpr std::size_t fields_of_instance = 4;
		/// Maximum length of the ids that workers usually have.
		constexpr std::size_t usual_worker_id_bytes = 40;

		/// Encodes [instance, stage, worker, dropped].
		json::array encode_instance(const instance_upkeep& entry)
		{
			return {entry.instance.str(), static_cast<int>(entry.stage), entry.worker.str(), entry.dropped};
		}

		bool read_instance(const json::value& value, instance_upkeep& out)
		{
			if (!value.is_array() || value.get_array().size() != fields_of_instance)
				return false;
			const auto& row = value.get_array();
			if (!row[0].is_string() || !row[1].is_int64() || !row[2].is_string() || !row[3].is_bool())
				return false;
			const auto stage = row[1].get_int64();
			if (stage < 0 || stage > static_cast<std::int64_t>(upkeep_stage::removed))
				return false;
			out.instance = instance_id{std::string{row[0].get_string()}};
			out.stage = static_cast<upkeep_stage>(stage);
			out.worker = worker_incarnation{std::string{row[2].get_string()}};
			out.dropped = row[3].get_bool();
			return true;
		}
	}

	std::string encode_wave_progress(const wave_progress& progress)
	{
		json::array instances;
		for (const auto& entry : progress.instances)
			instances.push_back(encode_instance(entry));
		return json::serialize(json::object{{"asked_ms", progress.requested_ms},
											{"within_ms", progress.wave.time_limit.count()},
											{"most_at_once", progress.wave.max_at_once},
											{"withdrawn", progress.withdrawn},
											{"completed", progress.completed},
											{"instances", std::move(instances)}});
	}

	std::size_t max_encoded_size(const wave_progress& progress)
	{
		return encode_wave_progress(progress).size() + progress.instances.size() * usual_worker_id_bytes;
	}

	absl::StatusOr<wave_progress> decode_wave_progress(const wave_id& id, std::string_view row,
													   const upkeep_policy& policy, instant now)
	{
		const auto parsed = parse_json(row);
		const auto* object = parsed.ok() ? parsed->if_object() : nullptr;
		const auto* instances = object == nullptr ? nullptr : object->if_contains("instances");
		if (instances == nullptr || !instances->is_array())
			return absl::DataLossError("a stored wave is malformed");
		wave_progress out;
		out.wave.id = id;
		out.wave.time_limit = millis{number_or(*object, "within_ms")};
		out.wave.max_at_once = static_cast<std::uint32_t>(number_or(*object, "most_at_once"));
		out.requested_ms = number_or(*object, "asked_ms");
		out.withdrawn = flag_or(*object, "withdrawn");
		out.completed = flag_or(*object, "completed");
		for (const auto& value : instances->get_array())
		{
			instance_upkeep entry;
			if (!read_instance(value, entry))
				return absl::DataLossError("a stored instance is malformed");
			entry.stage_since = now;
			entry.uncertain_until = now + policy.max_order_delay;
			if (!entry.dropped)
				out.wave.instances.push_back(entry.instance);
			out.instances.push_back(std::move(entry));
		}
		return out;
	}
}
