// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Reads JSON settings and collects every error with its path.
#pragma once

#include <absl/status/status.h>
#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace trailjunction
{
	/// \brief One error in a settings document.
	struct field_error
	{
		std::string path;   ///< Path of the field, for example `/limits/slots`.
		std::string reason; ///< Which value was found and which are allowed.
	};

	/// \brief All errors of one document, in the order found.
	using field_errors = std::vector<field_error>;

	/// \brief Formats the errors, one per line.
	[[nodiscard]] std::string to_string(const field_errors& errors);

	/// \brief OK if there are no errors, otherwise invalid_argument with all of them.
	[[nodiscard]] absl::Status to_status(const field_errors& errors);

	/// \brief The range of values that a field may have, both ends included.
	struct allowed_range
	{
		std::int64_t min{};
		std::int64_t max{};
	};

	/// \brief Reads one JSON object field by field and collects the errors.
	/// \details A field that is absent leaves its output unchanged. Call finish() last: it adds an error for every
	/// field that was not read.
	///
	/// \code
	/// field_errors errors;
	/// field_reader reader{value, "", errors};
	/// reader.read("slots", slots, allowed_range{1, 4096});
	/// reader.finish();
	/// \endcode
	class field_reader
	{
	public:
		/// \param value The object. \param path Its path in the document. \param errors Receives the errors.
		field_reader(const boost::json::value& value, std::string path, field_errors& errors);

		void read(std::string_view name, std::int64_t& out, allowed_range range);
		void read(std::string_view name, double& out, double min, double max);
		void read(std::string_view name, bool& out);
		/// \brief Reads whole milliseconds.
		void read(std::string_view name, std::chrono::milliseconds& out, allowed_range range);
		/// \brief Reads a string of at most 4096 bytes; an empty one is an error unless \p may_be_empty.
		void read(std::string_view name, std::string& out, bool may_be_empty = false);
		void read(std::string_view name, std::vector<std::string>& out);
		/// \brief Reads a nested object.
		void read_object(std::string_view name, const std::function<void(field_reader&)>& read);
		/// \brief Reads each member of a nested object with arbitrary member names.
		void read_each(std::string_view name, const std::function<void(std::string_view, field_reader&)>& read);
		/// \brief Adds an error if a field is missing.
		void require(std::string_view name);
		/// \brief Adds an error for a field.
		void add_error(std::string_view name, std::string reason);
		/// \brief Adds an error for every field that was not read.
		void finish();

	private:
		[[nodiscard]] const boost::json::value* find(std::string_view name);
		[[nodiscard]] std::string path_of(std::string_view name) const;

		const boost::json::object* object_{};
		std::string path_;
		field_errors& errors_;
		std::vector<std::string> read_names_;
	};
}
