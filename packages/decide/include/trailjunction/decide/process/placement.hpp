// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Of the product's own path: where the next run of a task goes.
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

	/// \brief What an owner knows about one worker as a place for tasks.
	struct worker_view
	{
		worker_id worker;
		data_centre_id data_centre;
		rack_id rack;
		service_id service; ///< That its upstream serves; empty: none.
		bool reachable{};
		bool leaving{};
		instant quarantined_until{};
		resources capacity;
		resources blocked;      ///< Reserved for, or used by, the operators' own scripts.
		resources claimed;      ///< By runs on it, and by starts that it has not reported yet.
		resources used;         ///< As measured, late.
		double failure_score{}; ///< Fades with time.
		std::vector<kind_count> kinds;
		double headroom{0.7}; ///< Natural logarithm of the service's target over its latency with nothing beside it.

		/// \brief What is left for claims.
		[[nodiscard]] resources space() const noexcept
		{
			return capacity - blocked - claimed;
		}
	};

	/// \brief Why a worker is not chosen.
	enum class refusal
	{
		none,
		unreachable,
		leaving,
		quarantined,
		other_data_centre,
		failed_there,
		no_room,
	};

	[[nodiscard]] std::string_view to_string(refusal why) noexcept;

	/// \brief The terms of a score, each a cost; the lowest sum wins.
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

	/// \brief Whether a task may go to a worker at all.
	[[nodiscard]] refusal check_worker(const worker_view& worker, const task_spec& task,
									   std::span<const worker_id> failed_on, instant now) noexcept;

	/// \brief The expected logarithmic slowdown of a worker's service by what runs there now.
	[[nodiscard]] double slowdown_now(const worker_view& worker, const interference& learned);

	/// \brief The cost of putting a task there.
	[[nodiscard]] score_terms score_worker(const worker_view& worker, const task_spec& task,
										   const placement_weights& weights, const interference& learned);

	/// \brief Workers with an index by free processors, so that a choice looks at few of them.
	class fleet
	{
	public:
		/// \brief Adds or replaces a worker.
		void update(worker_view worker);
		/// \brief Removes a worker.
		void remove(const worker_id& worker);
		/// \brief The worker, or null. The pointer is good until the next update() or remove().
		[[nodiscard]] const worker_view* find(const worker_id& worker) const noexcept;
		[[nodiscard]] std::span<const worker_view> workers() const noexcept
		{
			return workers_;
		}
		/// \brief Changes the claims on a worker by a run that starts or ends.
		void claim(const worker_id& worker, const task_spec& task, bool starts);

		/// \brief Workers that may have at least so many processors free: their places in workers().
		/// \param at_most No more than this many, drawn at random; the fullest classes come first.
		[[nodiscard]] std::vector<std::uint32_t> candidates(const resources& claim, std::size_t at_most,
															random_engine& random) const;

	private:
		static constexpr std::size_t classes = 24;
		struct slot
		{
			std::uint32_t place{};
			std::uint32_t at{};
			std::size_t free_class{};
		};
		[[nodiscard]] static std::size_t class_of(const resources& space) noexcept;
		void enter_class(std::uint32_t place);
		void leave_class(std::uint32_t place);

		std::vector<worker_view> workers_;
		std::vector<slot> slots_;
		std::array<std::vector<std::uint32_t>, classes> by_class_;
		absl::flat_hash_map<worker_id, std::uint32_t> places_;
	};

	/// \brief One worker that was weighed.
	struct weighed_worker
	{
		worker_id worker;
		score_terms terms;
	};

	/// \brief A choice with what it was weighed against, for `why task`.
	struct placement_decision
	{
		std::optional<weighed_worker> chosen;
		std::vector<weighed_worker> runners_up; ///< The next best, at most three.
		std::array<int, 7> refused{};           ///< Counted by refusal.
		bool looked_at_all{};                   ///< Every worker was checked: nothing was missed.
	};

	/// \brief Chooses a worker for a task.
	[[nodiscard]] placement_decision place(const fleet& workers, const task_spec& task,
										   std::span<const worker_id> failed_on, const placement_weights& weights,
										   const interference& learned, instant now, random_engine& random);

	/// \brief The decision in words.
	[[nodiscard]] std::string explain(const placement_decision& decision);
}
