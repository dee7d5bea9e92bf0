// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Of the path for jobs: where waiting tasks go.
#pragma once

#include "filler_pressure.hpp"
#include "job_ids.hpp"
#include "job_spec.hpp"
#include "job_table.hpp"
#include "placement_order.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace trailjunction
{
	/// \brief A serving task and how it is expected to fare with the fillers beside it at full pace.
	struct expected_strain
	{
		std::string image;
		double alone{};      ///< ln(strain) without fillers; see filler_pressure.hpp.
		double log_strain{}; ///< With them.
		/// ln(strain) without fillers within the run of a filler that is placed now; all alike where policy says so.
		strain_ahead ahead{};
	};

	/// \brief One worker as placement sees it.
	struct worker_room
	{
		worker_life life;
		service_id service;
		std::vector<std::string> labels; ///< Its kind and its rack.
		resources capacity;
		bool accepts{};                       ///< It may get new work now.
		double distrust{};                    ///< 0: none; 1: it failed all that it was given lately.
		resources claimed;                    ///< By all that is there; processor claims of fillers are not in it.
		std::int64_t filler_cpu_milli{};      ///< Processor claims of the fillers there.
		std::int64_t serving_cpu_milli{};     ///< Processor claims of the serving tasks there.
		std::vector<expected_strain> serving; ///< The serving tasks there.
		double pace{1.0};                     ///< The share at which its agent lets fillers work now.
		std::size_t suspects{};               ///< Runs there that are suspected of crashing their workers.
		bool reserved{};                      ///< One of them is there alone: nothing is started beside it.
		bool crashed_lately{};                ///< The incarnation before this one crashed a short while ago.
	};

	/// \brief What placement is told beyond the workers.
	struct placement_policy
	{
		/// The share of its claim that a serving task is taken to use: workers do not tell, and both deployments'
		/// sheets say somewhat less.
		double serving_use{0.5};
		/// Standard deviation of ln(strain) around what the pressure model expects: its residuals on both deployments.
		double strain_spread{0.35};
		/// A filler that adds less than this to ln(strain) is not to blame for what the others beside it do: on a
		/// full day three tenths of the pairs of images press by less than that, 0.003 a processor at 7 processors.
		double blameless_below{0.02};
		/// Cost of one serving task over its target, against a filler's full speed: by both sheets' worths.
		double harm_cost{3.0};
		/// A filler waits rather than put more serving tasks than this over their targets: the point where the cost
		/// outweighs its own work.
		double most_harm{0.4};
		/// The same for a filler whose job is late, as a share: late work is worth less on all sheets.
		double late_share{0.3};
		/// The same for a filler whose job has time left, as a share: it waits for a place where it harms nobody. On a
		/// calm day of 240 workers merges earned 0.99 of their worth without it and the serving tasks beside them 0.65;
		/// with it the day's worth rose from 0.780 to 0.797, that of three days with trouble by 0.021 on the mean.
		double calm_share{0.25};
		double calm_below{0.6};     ///< Urgency up to which a job has time left; see placement_wish.
		double pressed_above{0.95}; ///< Urgency from which it has none.
		/// Cost of each serving task of another image on a worker, and gain of each of the same one, against a worker
		/// full of serving tasks: fillers press hard on about a third of the images (docs/DECISIONS.md), so the fewer
		/// images a worker has, the more fillers harm nobody there. A cost of 0.6
		/// outweighs packing: a fleet whose lasting tasks claim all processors earned 0.006 more of its worth with it
		/// (48 played days), one with empty workers 0.014 less (24 days).
		double other_image_cost{0.2};
		double same_image_gain{0.1};
		pressure_policy pressing;
		/// Whether the load of serving tasks is foreseen over a filler's run, or taken to stay as it is.
		bool foresees{true};
		/// Where less than this share of a service's workers is claimed, no job is left without anything running for
		/// long: users bear it from a half on, and claims change while an order is on its way.
		double spare_below{0.6};
		/// The share of a service's workers that may be reserved for tasks which start alone; one always may. A worker
		/// is reserved for a second, so ten such tasks on 11 workers are settled within some five.
		double reserved_share{0.25};
		/// Cost of each suspected task on a worker, against a worker whose claims are full. Above all that a load can
		/// cost: two that crash together take two tests, and all that ran beside them is lost twice.
		double suspect_cost{4.0};
		/// Cost of a worker with suspected tasks for any other one, which is lost if one of them crashes the worker. Of
		/// some ten that a crash makes suspected one may be at fault.
		double beside_suspect_cost{0.5};
		/// Cost of a worker that crashed lately for a suspected task: if the worker was at fault, another one shows it.
		/// Less than that of a suspected task, or a crash would heap all suspected ones on the workers that are left.
		double crashed_lately_cost{2.0};
		/// The same for a task that starts alone: any other worker is better, but none is worse than to wait.
		double crashed_lately_alone_cost{20.0};
		/// A filler waits rather than work below this share of its speed: those before it end sooner for it.
		double least_speed{0.5};
	};

	/// \brief One decision.
	struct placement
	{
		task_key task;
		std::size_t worker{}; ///< An index into the workers.
	};

	/// \brief Puts a job's load on the views, from what is placed.
	void charge_workers(std::span<worker_room> workers, const job_table& table, const pressure_model& pressures,
						const placement_policy& policy);

	/// \brief Chooses workers for tasks, the most urgent first; tasks for which there is no room now are left out.
	/// \details Charges the views with what it places. Members of a gang are placed all or none.
	[[nodiscard]] std::vector<placement> place_tasks(std::span<worker_room> workers, const job_table& table,
													 std::vector<task_key> waiting, const pressure_model& pressures,
													 const placement_policy& policy, decision_time at);
}
