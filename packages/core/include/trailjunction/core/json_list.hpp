// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Lists in JSON whose entries come from several writers.
#pragma once

#include <absl/status/statusor.h>
#include <boost/json/value.hpp>

#include <cstddef>
#include <string_view>
#include <vector>

namespace trailjunction
{
	/// \brief The entries of a JSON array that could be parsed, in order.
	struct json_list
	{
		std::vector<boost::json::value> entries;
		std::size_t unreadable{}; ///< Number of entries that could not be parsed.
		absl::Status error;       ///< Of the first of those.
	};

	/// \brief Parses an array entry by entry, so that one that cannot be parsed does not make the others unreadable.
	/// \returns invalid_argument if the text as a whole is not an array.
	[[nodiscard]] absl::StatusOr<json_list> parse_json_list(std::string_view text);

	/// \brief The text of a member of an object; the other members are not parsed.
	/// \param name Without characters that JSON escapes.
	/// \returns Empty if the object has no such member; invalid_argument if the text as a whole is not an object.
	[[nodiscard]] absl::StatusOr<std::string_view> json_member_text(std::string_view text, std::string_view name);
}
