// SPDX-License-Identifier: MIT
#include <trailjunction/decide/process/quota.hpp>

#include <algorithm>

namespace trailjunction
{
	namespace
	{
		resources elementwise_min(const resources& left, const resources& right)
		{
			return {std::min(left.cpu_milli, right.cpu_milli), std::min(left.memory_mib, right.memory_mib),
					std::min(left.accelerators, right.accelerators)};
		}

		resources elementwise_max(const resources& left, const resources& right)
		{
			return {std::max(left.cpu_milli, right.cpu_milli), std::max(left.memory_mib, right.memory_mib),
					std::max(left.accelerators, right.accelerators)};
		}

		resources equal_share(const resources& whole, std::size_t parts)
		{
			const auto count = static_cast<std::int64_t>(std::max<std::size_t>(parts, 1));
			return {whole.cpu_milli / count, whole.memory_mib / count, whole.accelerators / count};
		}
	}

	resources next_ceiling(const quota_need& need, const resources& quota, const resources& others, std::size_t members,
						   random_engine& random)
	{
		const auto free = elementwise_max(equal_share(quota, members), quota - others);
		const auto ceiling = elementwise_max(need.used, elementwise_min(need.demand, free));
		const bool sufficient = (need.used + need.smallest_claim).fits_in(ceiling);
		const bool yields = !sufficient && random() % 2 == 0;
		return yields ? need.used : ceiling;
	}

	void publish_ceiling(quota_share& share, const resources& ceiling) noexcept
	{
		share.published = ceiling;
		share.usable = elementwise_min(share.usable, ceiling);
	}

	void verify_ceiling(quota_share& share, const resources& quota, const resources& others) noexcept
	{
		if ((share.published + others).fits_in(quota))
			share.usable = share.published;
	}
}
