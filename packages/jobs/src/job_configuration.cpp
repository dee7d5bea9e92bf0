// SPDX-License-Identifier: MIT
#include <trailjunction/jobs/job_configuration.hpp>

#include <absl/strings/match.h>

namespace trailjunction
{
	namespace
	{
		bool same_host(std::string_view left, std::string_view right) noexcept
		{
			return absl::EqualsIgnoreCase(absl::string_view{left.data(), left.size()},
										  absl::string_view{right.data(), right.size()});
		}

		/// A host field without its port.
		std::string_view without_port(std::string_view host) noexcept
		{
			return host.substr(0, host.find(':'));
		}
	}

	const queue_route* find_route(const job_configuration& configuration, std::string_view host,
								  std::string_view path) noexcept
	{
		const queue_route* best = nullptr;
		for (const auto& route : configuration.routes)
		{
			if (!route.host.empty() && !same_host(route.host, without_port(host)))
				continue;
			if (!path.starts_with(route.path_prefix))
				continue;
			if (best == nullptr || route.path_prefix.size() > best->path_prefix.size())
				best = &route;
		}
		return best;
	}
}
