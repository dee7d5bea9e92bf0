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
	/// \brief The generator that deciding functions are given, so that a seed repeats a decision.
	using random_engine = std::mt19937_64;

	/// \brief A number from this thread's own generator, seeded by the machine.
	[[nodiscard]] std::uint64_t random_u64();

	/// \brief A text that no other call anywhere returns, with overwhelming probability.
	[[nodiscard]] std::string random_token();

	/// \brief A hash that is the same in every process and release.
	[[nodiscard]] std::uint64_t stable_hash(std::string_view text) noexcept;
}
