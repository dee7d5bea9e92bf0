// SPDX-License-Identifier: MIT
#include <trailjunction/jobs/image_digest.hpp>

#include <xxhash.h>

namespace trailjunction
{
	image_digest digest_of(std::string_view image) noexcept
	{
		const auto hash = XXH3_128bits(image.data(), image.size());
		return {hash.high64, hash.low64};
	}

	image_pair make_image_pair(std::string_view serving, std::string_view filler) noexcept
	{
		return {digest_of(serving), digest_of(filler)};
	}
}
