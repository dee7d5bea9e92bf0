// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Configuration of a queue.
#pragma once

#include "job_ids.hpp"

#include <trailjunction/core/ids.hpp>
#include <trailjunction/core/units.hpp>

namespace trailjunction
{
	/// \brief Settings that apply to the jobs of one queue. Copied into each job, since a queue may be removed before
	/// its jobs end.
	struct queue_policy
	{
		queue_id queue;
		service_id service;  ///< The service whose workers run the tasks.
		int priority{};      ///< 0 is the highest priority.
		int max_attempts{1}; ///< Number of failed runs of one task after which its job fails.
		/// A job's objective is the expected run time of its critical path times this, plus latency_target.
		double stretch{1.0};
		millis latency_target{}; ///< Constant part of the objective.
	};
}
