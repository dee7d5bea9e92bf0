// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Identifier types of the system.
#pragma once

#include "strong_id.hpp"

namespace trailjunction
{
	using worker_id = strong_id<struct worker_tag>; ///< One worker: an instance that runs tasks and one upstream.
	using data_centre_id = strong_id<struct data_centre_tag>; ///< A failure domain with its own power and network.
	using rack_id = strong_id<struct rack_tag>;               ///< One rack within a data centre.
	using account_id = strong_id<struct account_tag>;         ///< One client account, with a quota.
	using service_id = strong_id<struct service_tag>;         ///< One latency-critical service.
	using task_id = strong_id<struct task_tag>;               ///< One task; never reused.
	using kind_id = strong_id<struct kind_tag>;             ///< The kind of a task, shared by tasks that behave alike.
	using member_id = strong_id<struct member_tag>;         ///< One entry process, by the name in its settings.
	using checkpoint_id = strong_id<struct checkpoint_tag>; ///< One checkpoint stored by the platform.

	using incarnation = strong_number<struct incarnation_tag>; ///< One lifetime of a process, from start to exit.
	using epoch = strong_number<struct epoch_tag>;             ///< One term of ownership of a shard.
	using run_number = strong_number<struct run_tag>;          ///< One run of a task, counted from 1.
	using sequence = strong_number<struct sequence_tag>;       ///< Sequence number of a batch in a shard's journal.
	using config_version = strong_number<struct config_version_tag>; ///< A version of the configuration.
	using shard_id = strong_number<struct shard_tag>;                ///< One shard of the tasks.
}
