// SPDX-License-Identifier: MIT
/// \file
/// \brief How a worker suits a filler: how fast it would work there, and what it would do to the serving tasks.
/// \details Answers the load of a full fleet: all workers have serving tasks, and bursts of fillers look for the room
/// that those leave unused.
#pragma once

#include <trailjunction/jobs/job_placement.hpp>

#include <optional>
#include <string>
#include <vector>

namespace trailjunction
{
	/// \brief What a choice may look at besides the workers.
	struct placement_rules
	{
		const pressure_model& pressures;
		const placement_policy& policy;
	};

	/// \brief How hard one group of fillers presses at full pace, by the image of the serving task.
	/// \details Remembers what it has looked up: a fleet has few images and many workers.
	class filler_press
	{
	public:
		filler_press(const task_group& filler, const placement_rules& rules) noexcept : filler_{filler}, rules_{rules}
		{
		}

		/// \returns What the filler adds to ln(strain) of a serving task.
		[[nodiscard]] double on(const std::string& serving);

	private:
		const task_group& filler_;
		const placement_rules& rules_;
		/// What was looked up for one image of serving tasks.
		struct known_press
		{
			std::string image;
			double added{}; ///< To ln(strain).
		};
		std::vector<known_press> known_;
	};

	/// \brief Processor time that the claims on a worker are expected to leave unused, less what fillers have been
	/// given; in thousandths of a processor, below 0 where fillers have more than there is.
	[[nodiscard]] double left_over(const worker_room& worker, const placement_policy& policy) noexcept;

	/// \brief How a worker suits a filler.
	struct filler_fit
	{
		double speed{}; ///< The share of its full speed at which the filler is expected to work.
		double
			harm{}; ///< How many serving tasks are expected over their targets by it and its like, as shares of time.
	};

	/// \brief The harm that a filler may be expected to do, as filler_fit counts it.
	[[nodiscard]] double harm_allowed(const placement_wish& what, const placement_policy& policy) noexcept;

	/// \returns Nothing where the filler rather waits than goes there.
	[[nodiscard]] std::optional<filler_fit> fit_filler(const worker_room& worker, const placement_wish& what,
													   const placement_policy& policy, filler_press& press);
}
