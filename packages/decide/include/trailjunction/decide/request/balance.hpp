// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Which worker a request is sent to.
#pragma once

#include <trailjunction/core/ids.hpp>
#include <trailjunction/core/random.hpp>
#include <trailjunction/core/units.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace trailjunction
{
	/// \brief What one entry knows about one worker as a target of requests.
	/// \details A hint: the agent's own word is final.
	struct target_view
	{
		worker_id worker;
		data_centre_id data_centre;
		bool connected{};
		bool leaving{};
		instant joined{};         ///< When it was first seen; newcomers are trusted step by step.
		std::int64_t in_flight{}; ///< Requests of this entry that it holds.
		std::int64_t reported{};  ///< In flight and queued at the agent, all entries, by its last reply.
		std::int64_t slots{8};    ///< Requests that its upstream serves at a time.
		instant reported_at{};    ///< When that reply came.
		instant silent_since{};   ///< While it holds requests: when it last answered one, or was given the first.
		instant answered_at{};    ///< When the last try ended that says something of its latency.
		double latency_us{};      ///< Moving mean of the time to an answer, 0: none yet.
		double deviation_us{};    ///< Moving mean deviation from it.
		double failure_share{};   ///< Moving share of tries that failed.
		std::int64_t tries{};     ///< Tries that ended.
		double batch_harm{};      ///< Predicted slowdown by the batch work on it now: 0.3 is 30 %.
		instant ejected_until{};  ///< Not used before, unless too many are ejected.
		int ejections{};          ///< In a row; each makes the next one longer.
	};

	/// \brief The weights of the choice.
	struct balance_policy
	{
		double far_data_centre_us{1'000}; ///< Added for a worker in another data_centre.
		millis report_lifetime{500};      ///< An agent's report older than this counts for nothing.
		millis slow_start{5'000};         ///< A newcomer's share grows over this time.
		double eject_failure_share{0.5};  ///< A moving share above this ejects.
		double eject_latency_factor{4};   ///< A moving latency above this many medians ejects.
		std::int64_t eject_after{8};      ///< Tries before a worker can be judged.
		millis eject_time{2'000};         ///< The first ejection.
		double eject_at_most{0.3};        ///< The share of workers that may be ejected at a time.
		double first_guess_us{2'000};     ///< The latency assumed before the first answer.
		millis estimate_half_life{
			2'000}; ///< What was learned of a worker counts half as much after this without a try.
	};

	/// \brief The time to an answer that is expected of a worker, in microseconds.
	[[nodiscard]] double predict_latency_us(const target_view& target, const data_centre_id& own_data_centre,
											const balance_policy& policy, instant now) noexcept;

	/// \brief Chooses the better of two random workers.
	/// \param excluded Workers that this request has tried.
	/// \returns An index into \p targets, or nothing where no worker may be used.
	[[nodiscard]] std::optional<std::size_t> choose_target(std::span<const target_view> targets,
														   std::span<const worker_id> excluded,
														   const data_centre_id& own_data_centre,
														   const balance_policy& policy, instant now,
														   random_engine& random);

	/// \brief Notes that a try was sent to a worker.
	void note_sent(target_view& target, instant now) noexcept;

	/// \brief Notes that a try is not waited for any more. \param answered Whether the worker answered it.
	void note_returned(target_view& target, bool answered, instant now) noexcept;

	/// \brief How one try went, as far as the choice of workers is concerned.
	struct try_result
	{
		bool failed{};       ///< Unknown end or broken link; a refusal for want of room is no failure.
		bool refused{};      ///< Not run: the agent had no room.
		double latency_us{}; ///< Only where it was answered.
	};

	/// \brief Learns from the end of a try, and ejects a worker that stands out.
	/// \returns Whether the worker was ejected by this.
	bool learn_from_try(std::span<target_view> targets, std::size_t which, const try_result& result,
						const balance_policy& policy, instant now);
}
