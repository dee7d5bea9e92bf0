// SPDX-License-Identifier: MIT
#include <trailjunction/query/command.hpp>

#include <array>

namespace trailjunction
{
	namespace
	{
		constexpr std::array<std::string_view, 13> verb_names{"show",    "why",    "submit",  "place", "drain",
															  "undrain", "cancel", "reserve", "quota", "set",
															  "resolve", "adopt",  "release"};
	}

	const std::string* command::option(std::string_view name) const noexcept
	{
		for (const auto& candidate : options)
			if (candidate.name == name)
				return &candidate.value;
		return nullptr;
	}

	std::string_view to_string(verb command_verb) noexcept
	{
		return verb_names[static_cast<std::size_t>(command_verb)];
	}
}
