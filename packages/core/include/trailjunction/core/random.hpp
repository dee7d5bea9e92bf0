// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Random numbers and hashes.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace trailjunction
{
	/// \brief The generator that is passed to decision functions, so that a decision can be repeated with the same
	/// seed.
	using random_engine = std::mt19937_64;

	/// \brief A number from this thread's own generator, which is seeded from std::random_device.
	[[nodiscard]] std::uint64_t random_u64();

	/// \brief A token of 32 hexadecimal digits (128 random bits), unique with overwhelming probability.
	[[nodiscard]] std::string random_token();

	/// \brief A hash (XXH3) that is the same in every process and release.
	[[nodiscard]] std::uint64_t stable_hash(std::string_view text) noexcept;
}
