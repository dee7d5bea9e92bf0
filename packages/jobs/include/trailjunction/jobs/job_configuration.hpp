// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief The operators' configuration of queues.
#pragma once

#include "queue_policy.hpp"

#include <trailjunction/core/ids.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace trailjunction
{
	/// \brief A queue and the host and path under which callers reach it.
	struct queue_route
	{
		queue_policy policy;
		std::string host;        ///< Compared case-insensitively; empty: any.
		std::string path_prefix; ///< Starts and ends with a slash.
		millis timeout{};        ///< Longest duration of a request on the queue.
	};

	/// \brief One version of the configuration.
	struct job_configuration
	{
		config_version version;
		std::vector<queue_route> routes;
		std::size_t max_body_bytes{};
	};

	/// \brief The queue for a path of a host: the one with the longest matching prefix; nullptr if there is none.
	[[nodiscard]] const queue_route* find_route(const job_configuration& configuration, std::string_view host,
												std::string_view path) noexcept;
}
