// SPDX-License-Identifier: MIT
/// \file
/// \brief Suitability of a worker for a filler: the filler's expected speed there, and its expected harm to serving
/// tasks.
/// \details Matters under full load, when all workers have serving tasks and bursts of fillers compete for the
/// processors that these leave unused.
#pragma once

#include <trailjunction/jobs/job_placement.hpp>

#include <optional>
#include <string>
#include <vector>

namespace trailjunction
{
	/// \brief The pressure model and the policy that placement uses.
	struct placement_context
	{
		const pressure_model& pressures;
		const placement_policy& policy;
	};

	/// \brief Pressure of one group of fillers at full pace, by the image of the serving task.
	/// \details Caches its lookups: a fleet has few images and many workers.
	class filler_pressure_cache
	{
	public:
		filler_pressure_cache(const task_group& filler, const placement_context& context) noexcept
			: filler_{filler},
			  context_{context}
		{
		}

		/// \returns The filler's contribution to ln(latency ratio) of a serving task.
		[[nodiscard]] double pressure_on(const std::string& serving);

	private:
		const task_group& filler_;
		const placement_context& context_;
		/// A cached lookup for one image of serving tasks.
		struct cached_pressure
		{
			std::string image;
			double added{}; ///< Contribution to ln(latency ratio).
		};
		std::vector<cached_pressure> cache_;
	};

	/// \brief Processors that the claims on a worker are expected to leave unused, minus those given to fillers, in
	/// thousandths of a processor. Negative if fillers have more than there is.
	[[nodiscard]] double spare_cpu_milli(const worker_room& worker, const placement_policy& policy) noexcept;

	/// \brief Expected speed and harm of a filler on a worker.
	struct filler_fit
	{
		double speed{}; ///< Share of its full speed at which the filler is expected to run.
		/// Expected number of serving tasks over their targets because of this filler and the others on the worker,
		/// each weighted by its share of time over the target.
		double harm{};
	};

	/// \brief The maximum harm that a filler may be expected to cause, in units of filler_fit::harm.
	[[nodiscard]] double allowed_harm(const placement_request& request, const placement_policy& policy) noexcept;

	/// \returns Empty if the filler should wait rather than run on this worker.
	[[nodiscard]] std::optional<filler_fit> fit_filler(const worker_room& worker, const placement_request& request,
													   const placement_policy& policy, filler_pressure_cache& cache);
}
