// SPDX-License-Identifier: MIT
/// \file
/// \brief Metrics of long-running tasks without a run.
#pragma once

#include <trailjunction/jobs/idle_long_running.hpp>
#include <trailjunction/net/process_metrics.hpp>

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstddef>
#include <span>

namespace trailjunction
{
	/// \brief Publishes the number of idle long-running tasks by reason. Used only on the owner's thread.
	class idle_meter
	{
	public:
		explicit idle_meter(process_metrics& metrics);

		/// \brief Publishes the result of a search. Tasks of failed jobs are counted as note_failed() recorded them,
		/// since the table of jobs drops ended jobs.
		void publish(std::span<const idle_task> idle, const job_table& table);

		/// \brief Records that a job with long-running tasks has failed.
		void note_failed(const job_id& id, std::size_t long_running_tasks);

		/// \brief Sets all gauges to 0: a process that is no longer the owner knows of no idle task. Not done by a
		/// destructor, since a term may be destroyed after the metrics of its process.
		void clear();

	private:
		std::array<prometheus::Gauge*, idle_reason_count> gauges_{};
		prometheus::Counter& given_up_;
		/// Number of long-running tasks of failed jobs, until the jobs are forgotten.
		absl::flat_hash_map<job_id, std::size_t> failed_;
	};
}
