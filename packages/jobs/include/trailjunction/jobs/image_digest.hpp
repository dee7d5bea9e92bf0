// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Identifies an image by a digest of its name. Names have no maximum length; digests keep what is stored for
/// each image small.
#pragma once

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

namespace trailjunction
{
	/// \brief The 128-bit XXH3 hash of an image's name, the same in every process and release.
	struct image_digest
	{
		std::uint64_t high{};
		std::uint64_t low{};

		[[nodiscard]] friend constexpr auto operator<=>(const image_digest&, const image_digest&) noexcept = default;

		template <typename Hash>
		friend Hash AbslHashValue(Hash state, const image_digest& digest)
		{
			return Hash::combine(std::move(state), digest.high, digest.low);
		}
	};

	/// \brief The digest of an image's name.
	[[nodiscard]] image_digest digest_of(std::string_view image) noexcept;

	/// \brief The images of a serving task and of a filler.
	struct image_pair
	{
		image_digest serving;
		image_digest filler;

		[[nodiscard]] friend constexpr auto operator<=>(const image_pair&, const image_pair&) noexcept = default;

		template <typename Hash>
		friend Hash AbslHashValue(Hash state, const image_pair& pair)
		{
			return Hash::combine(std::move(state), pair.serving, pair.filler);
		}
	};

	/// \brief The pair of two images, by their names.
	[[nodiscard]] image_pair make_image_pair(std::string_view serving, std::string_view filler) noexcept;
}
