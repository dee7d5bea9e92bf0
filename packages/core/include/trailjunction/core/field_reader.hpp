// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Reading JSON settings with every fault named.
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
	/// \brief One fault of a settings document.
	struct field_fault
	{
		std::string path;   ///< Where: `/limits/slots`.
		std::string reason; ///< What is wrong and what is allowed.
	};

	/// \brief All faults of one document, in the order found.
	using field_faults = std::vector<field_fault>;

	/// \brief One line a fault.
	[[nodiscard]] std::string to_string(const field_faults& faults);

	/// \brief OK where there is no fault, otherwise invalid_argument with all of them.
	[[nodiscard]] absl::Status to_status(const field_faults& faults);

	/// \brief The smallest and the largest value that a field may have.
	struct allowed_range
	{
		std::int64_t least{};
		std::int64_t most{};
	};

	/// \brief Reads one JSON object field by field, and collects the faults.
	/// \details Call finish() last: whatever was not asked for by then is an unknown field.
	///
	/// \code
	/// field_faults faults;
	/// field_reader reader{value, "", faults};
	/// reader.read("slots", slots, allowed_range{1, 4096});
	/// reader.finish();
	/// \endcode
	class field_reader
	{
	public:
		/// \param value The object. \param path Its place in the document. \param faults Where faults are added.
		field_reader(const boost::json::value& value, std::string path, field_faults& faults);

		void read(std::string_view name, std::int64_t& out, allowed_range range);
		void read(std::string_view name, double& out, double least, double most);
		void read(std::string_view name, bool& out);
		/// \brief Reads whole milliseconds.
		void read(std::string_view name, std::chrono::milliseconds& out, allowed_range range);
		/// \brief Reads a text of at most 4096 bytes; an empty one only where \p may_be_empty.
		void read(std::string_view name, std::string& out, bool may_be_empty = false);
		void read(std::string_view name, std::vector<std::string>& out);
		/// \brief Reads a nested object.
		void read_object(std::string_view name, const std::function<void(field_reader&)>& read);
		/// \brief Reads each member of an object whose names are free.
		void read_each(std::string_view name, const std::function<void(std::string_view, field_reader&)>& read);
		/// \brief Says that a field has to be there.
		void require(std::string_view name);
		/// \brief Adds a fault at a field.
		void fault(std::string_view name, std::string reason);
		/// \brief Reports every field that nobody asked for.
		void finish();

	private:
		[[nodiscard]] const boost::json::value* find(std::string_view name);
		[[nodiscard]] std::string path_of(std::string_view name) const;

		const boost::json::object* object_{};
		std::string path_;
		field_faults& faults_;
		std::vector<std::string> known_;
	};
}
