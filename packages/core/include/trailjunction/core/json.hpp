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
	/// \brief Parses a JSON text; a fault names its place.
	[[nodiscard]] absl::StatusOr<boost::json::value> parse_json(std::string_view text);

	/// \brief A text member, or \p fallback where it is absent or no text.
	[[nodiscard]] std::string text_or(const boost::json::object& object, std::string_view name,
									  std::string_view fallback = "");

	/// \brief A whole number member, or \p fallback where it is absent or no number.
	[[nodiscard]] std::int64_t number_or(const boost::json::object& object, std::string_view name,
										 std::int64_t fallback = 0);

	/// \brief A truth member, or \p fallback where it is absent or neither true nor false.
	[[nodiscard]] bool flag_or(const boost::json::object& object, std::string_view name, bool fallback = false);
}
