// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Chooses the worker for the next run of a task. Used by the task owner; jobs have their own placement.
#pragma once

#include "../version/config_document.hpp"
#include "interference.hpp"
#include "task_spec.hpp"

#include <trailjunction/core/random.hpp>

#include <absl/container/flat_hash_map.h>

#include <array>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace trailjunction
{
	/// \brief A kind of task and how many of it are on a worker.
	struct kind_count
	{
		kind_id kind;
		int count{};
	};

	/// \brief An owner's view of one worker, as far as placement needs it.
	struct worker_view
	{
		worker_id worker;
		data_centre_id data_centre;
		rack_id rack;
		service_id service; ///< Service of its upstream; empty: none.
		bool reachable{};
		bool leaving{};
		instant quarantined_until{};
		resources capacity;
		resources blocked;      ///< Reserved for or used by the operators' own scripts.
		resources claimed;      ///< Claimed by its runs and by starts that it has not reported yet.
		resources used;         ///< Measured use; arrives late.
		double failure_score{}; ///< Share of recent failed runs; see failure_score().
		std::vector<kind_count> kinds;
		double headroom{0.7}; ///< Natural logarithm of the service's latency target divided by its baseline latency.

		/// \brief Resources that are left for claims.
		[[nodiscard]] resources available() const noexcept
		{
			return capacity - blocked - claimed;
		}
	};

	/// \brief Why a task may not go to a worker.
	enum class placement_refusal
	{
		none,
		unreachable,
		leaving,
		quarantined,
		other_data_centre,
		failed_before,
		no_capacity,
	};

	[[nodiscard]] std::string_view to_string(placement_refusal reason) noexcept;

	/// \brief The terms of a worker's score. Each is a weighted cost; the lowest sum wins.
	struct score_terms
	{
		double harm{};
		double packing{};
		double overuse{};
		double spread{};
		double failures{};

		[[nodiscard]] double sum() const noexcept
		{
			return harm + packing + overuse + spread + failures;
		}
	};

	/// \brief Checks the hard constraints of a placement.
	/// \param failed_on Workers on which the task has failed.
	[[nodiscard]] placement_refusal check_worker(const worker_view& worker, const task_spec& task,
												 std::span<const worker_id> failed_on, instant now) noexcept;

	/// \brief Expected slowdown of a worker's service by the tasks on it now, as a natural logarithm.
	[[nodiscard]] double slowdown_now(const worker_view& worker, const interference_model& learned);

	/// \brief The cost of placing a task on a worker.
	[[nodiscard]] score_terms score_worker(const worker_view& worker, const task_spec& task,
										   const placement_weights& weights, const interference_model& learned);

	/// \brief The workers, indexed by free processor time so that a placement scores only a sample of them.
	class fleet
	{
	public:
		/// \brief Adds or replaces a worker.
		void update(worker_view worker);
		/// \brief Removes a worker.
		void remove(const worker_id& worker);
		/// \brief The worker, or null. The pointer is valid until the next update() or remove().
		[[nodiscard]] const worker_view* find(const worker_id& worker) const noexcept;
		[[nodiscard]] std::span<const worker_view> workers() const noexcept
		{
			return workers_;
		}
		/// \brief Adds the task's claim to a worker, or removes it.
		/// \param starts Whether a run starts; otherwise one has ended.
		void claim(const worker_id& worker, const task_spec& task, bool starts);

		/// \brief Indices into workers() of workers that may have enough free processor time for \p claim.
		/// \param at_most Upper bound on the number of indices.
		/// \returns Workers drawn at random from each size class; the classes with the least free processor time first.
		[[nodiscard]] std::vector<std::uint32_t> candidates(const resources& claim, std::size_t at_most,
															random_engine& random) const;

	private:
		static constexpr std::size_t classes = 24;
		struct index_entry
		{
			std::uint32_t worker_index{};
			std::uint32_t position{};
			std::size_t size_class{};
		};
		[[nodiscard]] static std::size_t size_class_of(const resources& space) noexcept;
		void add_to_class(std::uint32_t index);
		void remove_from_class(std::uint32_t index);

		std::vector<worker_view> workers_;
		std::vector<index_entry> index_entries_;
		std::array<std::vector<std::uint32_t>, classes> by_size_class_;
		absl::flat_hash_map<worker_id, std::uint32_t> index_by_worker_;
	};

	/// \brief A worker with its score.
	struct scored_worker
	{
		worker_id worker;
		score_terms terms;
	};

	/// \brief A placement with the alternatives that were considered; shown by `why task`.
	struct placement_decision
	{
		std::optional<scored_worker> chosen;
		std::vector<scored_worker> runners_up; ///< The next best workers, at most three.
		std::array<int, 7> refused{};          ///< Number of workers by placement_refusal.
		bool exhaustive{};                     ///< Every worker was checked, not only a sample.
	};

	/// \brief Chooses a worker for a task.
	/// \param failed_on Workers on which the task has failed; they are excluded.
	[[nodiscard]] placement_decision place(const fleet& workers, const task_spec& task,
										   std::span<const worker_id> failed_on, const placement_weights& weights,
										   const interference_model& learned, instant now, random_engine& random);

	/// \brief Formats a decision for operators.
	[[nodiscard]] std::string explain(const placement_decision& decision);
}
