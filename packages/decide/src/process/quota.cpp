// SPDX-License-Identifier: MIT
#include <trailjunction/decide/process/quota.hpp>

#include <algorithm>

namespace trailjunction
{
	namespace
	{
		resources smaller(const resources& left, const resources& right)
		{
			return {std::min(left.cpu_milli, right.cpu_milli), std::min(left.memory_mib, right.memory_mib),
					std::min(left.accelerators, right.accelerators)};
		}

		resources larger(const resources& left, const resources& right)
		{
			return {std::max(left.cpu_milli, right.cpu_milli), std::max(left.memory_mib, right.memory_mib),
					std::max(left.accelerators, right.accelerators)};
		}

		resources part(const resources& whole, std::size_t parts)
		{
			const auto count = static_cast<std::int64_t>(std::max<std::size_t>(parts, 1));
			return {whole.cpu_milli / count, whole.memory_mib / count, whole.accelerators / count};
		}
	}

	resources next_ceiling(const quota_need& need, const resources& quota, const resources& others, std::size_t members,
						   random_engine& random)
	{
		const auto free = larger(part(quota, members), quota - others);
		const auto ceiling = larger(need.used, smaller(need.wanted, free));
		const bool of_use = (need.used + need.smallest).fits(ceiling);
		const bool give_way = !of_use && random() % 2 == 0;
		return give_way ? need.used : ceiling;
	}

	void publish_ceiling(quota_share& share, const resources& ceiling) noexcept
	{
		share.published = ceiling;
		share.usable = smaller(share.usable, ceiling);
	}

	void verify_ceiling(quota_share& share, const resources& quota, const resources& others) noexcept
	{
		if ((share.published + others).fits(quota))
			share.usable = share.published;
	}
}
