// SPDX-License-Identifier: MIT
/// \file
/// \brief What the experiments share: figures, percentiles, what a process costs.
#pragma once

#include <trailjunction/testkit/cluster.hpp>

#include <cstdint>
#include <string>
#include <sys/types.h>
#include <vector>

namespace trailjunction::bench
{
	/// \brief One figure, printed as one JSON line; a baseline of 0 means that there is none.
	void print_figure(const std::string& experiment, const std::string& metric, double value, double baseline = 0);

	/// \brief The value below which \p share of the values lie.
	[[nodiscard]] double percentile(std::vector<double> values, double share);

	/// \brief What a process has used.
	struct process_cost
	{
		double cpu_seconds{};
		double memory_mib{};
	};
	[[nodiscard]] process_cost cost_of(pid_t process);

	/// \brief A counter or gauge on a process's metrics page; 0 where it is not there.
	[[nodiscard]] double read_metric(const endpoint& where, const std::string& name);

	/// \brief Options of a cluster that runs the programs of this build.
	[[nodiscard]] testkit::cluster_options options_here();

	// The experiments; each prints its figures.
	void bench_requests();
	void bench_tasks();
	void bench_decisions();
	void bench_capacity();
	void bench_job_rounds();
}
