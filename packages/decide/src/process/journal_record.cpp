// SPDX-License-Identifier: MIT
#include <trailjunction/core/json.hpp>
#include <trailjunction/decide/process/journal_record.hpp>

#include <absl/strings/str_cat.h>
#include <boost/json/array.hpp>

#include <array>

namespace trailjunction
{
	namespace json = boost::json;

	namespace
	{
		// Names are short because one row holds hundreds of records.
		constexpr std::array<std::string_view, 11> kind_names{"sub", "run", "end", "ckp", "fnc", "cnf",
															  "rel", "can", "prk", "rsv", "plc"};
		constexpr std::array<std::string_view, 6> end_names{"finished", "failed",  "evicted",
															"stopped",  "refused", "lost"};

		template <typename Enum, std::size_t Count>
		std::optional<Enum> find_name(const std::array<std::string_view, Count>& names, std::string_view text)
		{
			for (std::size_t i = 0; i < Count; ++i)
				if (names[i] == text)
					return static_cast<Enum>(i);
			return std::nullopt;
		}

		json::object to_json(const journal_record& record)
		{
			json::object out;
			out["k"] = kind_names[static_cast<std::size_t>(record.kind)];
			if (record.spec)
				out["s"] = to_json(*record.spec);
			else
				out["t"] = record.task.str();
			if (record.run.value != 0)
				out["r"] = record.run.value;
			if (!record.worker.empty())
				out["w"] = record.worker.str();
			if (record.worker_incarnation.value != 0)
				out["i"] = record.worker_incarnation.value;
			if (record.kind == record_kind::ended)
				out["h"] = to_string(record.end_status);
			if (!record.checkpoint.empty())
				out["c"] = record.checkpoint.str();
			if (!record.reason.empty())
				out["y"] = record.reason;
			if (record.rerun)
				out["a"] = true;
			if (record.hand_over)
				out["l"] = true;
			return out;
		}

		absl::StatusOr<journal_record> record_of(const json::value& value)
		{
			const auto* object = value.if_object();
			if (object == nullptr)
				return absl::DataLossError("journal record is not a JSON object");
			const auto kind = find_name<record_kind>(kind_names, text_or(*object, "k"));
			if (!kind)
				return absl::DataLossError(absl::StrCat("journal record has unknown kind ", text_or(*object, "k")));
			journal_record record;
			record.kind = *kind;
			record.task = task_id{text_or(*object, "t")};
			record.run = {static_cast<std::uint64_t>(number_or(*object, "r"))};
			record.worker = worker_id{text_or(*object, "w")};
			record.worker_incarnation = {static_cast<std::uint64_t>(number_or(*object, "i"))};
			record.end_status = find_name<run_end>(end_names, text_or(*object, "h")).value_or(run_end::finished);
			record.checkpoint = checkpoint_id{text_or(*object, "c")};
			record.reason = text_or(*object, "y");
			record.rerun = flag_or(*object, "a");
			record.hand_over = flag_or(*object, "l");
			if (const auto* spec = object->if_contains("s"))
			{
				field_errors errors;
				field_reader reader{*spec, "", errors};
				record.spec = read_task_spec(reader);
				if (!errors.empty())
					return absl::DataLossError(to_string(errors));
				record.task = record.spec->id;
			}
			return record;
		}
	}

	std::string_view to_string(run_end end) noexcept
	{
		return end_names[static_cast<std::size_t>(end)];
	}

	std::string encode_batch(const journal_batch& batch)
	{
		json::array records;
		records.reserve(batch.records.size());
		for (const auto& record : batch.records)
			records.push_back(to_json(record));
		json::object out;
		out["n"] = batch.number.value;
		out["e"] = batch.owner_epoch.value;
		out["o"] = batch.owner.str();
		out["r"] = std::move(records);
		return json::serialize(out);
	}

	absl::StatusOr<journal_batch> decode_batch(std::string_view text)
	{
		const auto parsed = parse_json(text);
		if (!parsed.ok())
			return parsed.status();
		const auto* object = parsed->if_object();
		if (object == nullptr || object->if_contains("r") == nullptr || !object->at("r").is_array())
			return absl::DataLossError("journal batch has no records");
		journal_batch batch;
		batch.number = {static_cast<std::uint64_t>(number_or(*object, "n"))};
		batch.owner_epoch = {static_cast<std::uint64_t>(number_or(*object, "e"))};
		batch.owner = member_id{text_or(*object, "o")};
		for (const auto& value : object->at("r").get_array())
		{
			auto record = record_of(value);
			if (!record.ok())
				return record.status();
			batch.records.push_back(*std::move(record));
		}
		return batch;
	}
}
