// SPDX-License-Identifier: MIT
#include <trailjunction/core/random.hpp>

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <string>

namespace trailjunction
{
	std::uint64_t random_u64()
	{
		thread_local random_engine engine{(static_cast<std::uint64_t>(std::random_device{}()) << 32U) ^
										  std::random_device{}()};
		return engine();
	}

	std::string random_token()
	{
		return absl::StrCat(absl::Hex(random_u64(), absl::kZeroPad16), absl::Hex(random_u64(), absl::kZeroPad16));
	}

	std::uint64_t stable_hash(std::string_view text) noexcept
	{
		return XXH3_64bits(text.data(), text.size());
	}
}
