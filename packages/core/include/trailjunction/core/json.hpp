// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief JSON helpers.
#pragma once

#include <absl/status/statusor.h>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace trailjunction
{
	/// \brief Parses a JSON text; the error status names the byte offset of the error.
	[[nodiscard]] absl::StatusOr<boost::json::value> parse_json(std::string_view text);

	/// \brief A string member, or \p fallback if it is absent or not a string.
	[[nodiscard]] std::string text_or(const boost::json::object& object, std::string_view name,
									  std::string_view fallback = "");

	/// \brief An integer member, or \p fallback if it is absent or not an integer.
	[[nodiscard]] std::int64_t number_or(const boost::json::object& object, std::string_view name,
										 std::int64_t fallback = 0);

	/// \brief A boolean member, or \p fallback if it is absent or not a boolean.
	[[nodiscard]] bool flag_or(const boost::json::object& object, std::string_view name, bool fallback = false);
}
