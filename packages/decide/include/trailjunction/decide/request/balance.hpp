// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Load balancing: chooses the worker that a request is sent to, and ejects outliers.
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
	/// \brief One entry's view of one worker as a target of requests.
	/// \details The view may be out of date; the agent decides about admission.
	struct target_view
	{
		worker_id worker;
		data_centre_id data_centre;
		bool connected{};
		bool leaving{};
		instant first_seen_at{};      ///< When this entry first saw the worker; its share grows during the slow start.
		std::int64_t in_flight{};     ///< Requests of this entry that the worker holds.
		std::int64_t reported_load{}; ///< In flight and queued at the agent, of all entries, by its last reply.
		std::int64_t slots{8};        ///< Requests that its upstream serves concurrently.
		instant reported_at{};        ///< When that reply was received.
		instant silent_since{};       ///< While requests are in flight: last answer, or when the first was sent.
		instant answered_at{};        ///< When the last attempt ended that was not refused.
		double latency_us{};          ///< Moving mean of the time to an answer; 0: no sample yet.
		double deviation_us{};        ///< Moving mean of the absolute deviation from latency_us.
		double failure_share{};       ///< Moving mean of the share of failed attempts.
		std::int64_t attempts{};      ///< Attempts that ended and were not refused, since the last ejection.
		double batch_slowdown{};      ///< Predicted slowdown by the batch tasks on the worker now: 0.3 is 30 %.
		instant ejected_until{};      ///< Not used before this time, unless no other worker is left.
		int consecutive_ejections{};  ///< Ejections without a recovery in between; each doubles the length of the next.
	};

	/// \brief Parameters of load balancing and outlier ejection.
	struct balance_policy
	{
		double far_data_centre_us{1'000};      ///< Added to the expected latency of a worker in another data centre.
		millis report_lifetime{500};           ///< An agent's reported load older than this is ignored.
		millis slow_start{5'000};              ///< A new worker's share of requests grows over this time.
		double eject_failure_share{0.5};       ///< Ejects a worker whose failure_share is above this.
		double eject_latency_factor{4};        ///< Ejects a worker whose latency is above this multiple of the median.
		std::int64_t min_attempts_to_eject{8}; ///< Attempts that must have ended before a worker can be ejected.
		millis eject_time{2'000};              ///< Length of the first ejection.
		double eject_at_most{0.3};             ///< Maximum share of workers that are ejected at a time.
		double initial_latency_us{2'000};      ///< Latency assumed before the first answer.
		millis estimate_half_life{2'000}; ///< The latency estimate is halved for each such time without an attempt.
	};

	/// \brief Expected time until a worker answers a new request, in microseconds; used as its cost.
	[[nodiscard]] double predict_latency_us(const target_view& target, const data_centre_id& own_data_centre,
											const balance_policy& policy, instant now) noexcept;

	/// \brief Chooses the cheaper of two random workers (power of two choices).
	/// \param excluded Workers that this request was already sent to.
	/// \returns An index into \p targets, or nothing if no worker can be used.
	[[nodiscard]] std::optional<std::size_t> choose_target(std::span<const target_view> targets,
														   std::span<const worker_id> excluded,
														   const data_centre_id& own_data_centre,
														   const balance_policy& policy, instant now,
														   random_engine& random);

	/// \brief Records that an attempt was sent to a worker.
	void record_attempt_sent(target_view& target, instant now) noexcept;

	/// \brief Records that an attempt is not awaited any more.
	/// \param answered Whether the worker answered it.
	void record_attempt_ended(target_view& target, bool answered, instant now) noexcept;

	/// \brief Result of one attempt, as far as load balancing needs it.
	struct attempt_result
	{
		bool failed{};  ///< The outcome is unknown or the link broke; a refusal for lack of capacity is not a failure.
		bool refused{}; ///< Not run: the agent had no free slot.
		double latency_us{}; ///< Only set if the attempt was answered.
	};

	/// \brief Updates the estimates with an attempt that ended, and ejects the worker if it is an outlier.
	/// \returns Whether this call ejected the worker.
	bool learn_from_attempt(std::span<target_view> targets, std::size_t index, const attempt_result& result,
							const balance_policy& policy, instant now);
}
