// SPDX-License-Identifier: MIT
#include <trailjunction/core/field_reader.hpp>

#include <absl/strings/str_cat.h>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>

namespace trailjunction
{
	namespace
	{
		constexpr std::size_t max_string_bytes = 4096;
		constexpr std::size_t max_shown_bytes = 60; ///< Longer values are truncated in error messages.

		std::string format_value(const boost::json::value& value)
		{
			auto text = boost::json::serialize(value);
			if (text.size() > max_shown_bytes)
				text = text.substr(0, max_shown_bytes) + "...";
			return text;
		}
	}

	std::string to_string(const field_errors& errors)
	{
		std::string text;
		for (const auto& each : errors)
			absl::StrAppend(&text, text.empty() ? "" : "\n", each.path, ": ", each.reason);
		return text;
	}

	absl::Status to_status(const field_errors& errors)
	{
		return errors.empty() ? absl::OkStatus() : absl::InvalidArgumentError(to_string(errors));
	}

	field_reader::field_reader(const boost::json::value& value, std::string path, field_errors& errors)
		: object_{value.if_object()},
		  path_{std::move(path)},
		  errors_{errors}
	{
		if (object_ == nullptr)
			errors_.push_back(
				{path_.empty() ? "/" : path_, absl::StrCat("is ", format_value(value), ", expected an object")});
	}

	std::string field_reader::path_of(std::string_view name) const
	{
		return absl::StrCat(path_, "/", std::string{name});
	}

	const boost::json::value* field_reader::find(std::string_view name)
	{
		read_names_.emplace_back(name);
		return object_ == nullptr ? nullptr : object_->if_contains(name);
	}

	void field_reader::add_error(std::string_view name, std::string reason)
	{
		errors_.push_back({path_of(name), std::move(reason)});
	}

	void field_reader::read(std::string_view name, std::int64_t& out, allowed_range range)
	{
		const auto* value = find(name);
		if (value == nullptr)
			return;
		boost::system::error_code error;
		const auto number = value->to_number<std::int64_t>(error);
		if (error || number < range.min || number > range.max)
			add_error(name, absl::StrCat("is ", format_value(*value), ", expected a value from ", range.min, " to ",
										 range.max, " (whole number)"));
		else
			out = number;
	}

	void field_reader::read(std::string_view name, double& out, double min, double max)
	{
		const auto* value = find(name);
		if (value == nullptr)
			return;
		boost::system::error_code error;
		const auto number = value->to_number<double>(error);
		if (error || !(number >= min && number <= max))
			add_error(name, absl::StrCat("is ", format_value(*value), ", expected a value from ", min, " to ", max,
										 " (number)"));
		else
			out = number;
	}

	void field_reader::read(std::string_view name, bool& out)
	{
		const auto* value = find(name);
		if (value == nullptr)
			return;
		if (!value->is_bool())
			add_error(name, absl::StrCat("is ", format_value(*value), ", expected true or false"));
		else
			out = value->get_bool();
	}

	void field_reader::read(std::string_view name, std::chrono::milliseconds& out, allowed_range range)
	{
		auto count = static_cast<std::int64_t>(out.count());
		read(name, count, range);
		out = std::chrono::milliseconds{count};
	}

	void field_reader::read(std::string_view name, std::string& out, bool may_be_empty)
	{
		const auto* value = find(name);
		if (value == nullptr)
			return;
		const auto* text = value->if_string();
		if (text == nullptr || text->size() > max_string_bytes || (text->empty() && !may_be_empty))
			add_error(name, absl::StrCat("is ", format_value(*value), ", expected a string of ", may_be_empty ? 0 : 1,
										 " to ", max_string_bytes, " bytes"));
		else
			out.assign(text->data(), text->size());
	}

	void field_reader::read(std::string_view name, std::vector<std::string>& out)
	{
		const auto* value = find(name);
		if (value == nullptr)
			return;
		const auto* array = value->if_array();
		if (array == nullptr || !std::all_of(array->begin(), array->end(), [](const auto& v) { return v.is_string(); }))
		{
			add_error(name, absl::StrCat("is ", format_value(*value), ", expected a list of strings"));
			return;
		}
		out.clear();
		for (const auto& item : *array)
			out.emplace_back(std::string_view{item.get_string()});
	}

	void field_reader::read_object(std::string_view name, const std::function<void(field_reader&)>& read)
	{
		const auto* value = find(name);
		if (value == nullptr)
			return;
		field_reader reader{*value, path_of(name), errors_};
		read(reader);
		reader.finish();
	}

	void field_reader::read_each(std::string_view name,
								 const std::function<void(std::string_view, field_reader&)>& read)
	{
		const auto* value = find(name);
		if (value == nullptr)
			return;
		const auto* object = value->if_object();
		if (object == nullptr)
		{
			add_error(name, absl::StrCat("is ", format_value(*value), ", expected an object"));
			return;
		}
		for (const auto& member : *object)
		{
			field_reader reader{member.value(), absl::StrCat(path_of(name), "/", std::string{member.key()}), errors_};
			read(member.key(), reader);
			reader.finish();
		}
	}

	void field_reader::require(std::string_view name)
	{
		if (object_ != nullptr && object_->if_contains(name) == nullptr)
			add_error(name, "is missing");
	}

	void field_reader::finish()
	{
		if (object_ == nullptr)
			return;
		for (const auto& member : *object_)
		{
			const std::string_view name = member.key();
			if (std::find(read_names_.begin(), read_names_.end(), name) == read_names_.end())
				add_error(name, "is not a known field");
		}
	}
}
