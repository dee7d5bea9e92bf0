// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Forward declarations of the jobs package.
#pragma once

namespace trailjunction
{
	struct job_spec;
	struct job_state;
	struct job_table;
	struct queue_policy;
	struct task_group;
	struct task_key;
	struct job_task;
	struct worker_room;
}
