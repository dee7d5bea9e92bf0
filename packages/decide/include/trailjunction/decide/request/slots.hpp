// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Admission control at an agent: the slots of its upstream and the queue in front of them.
#pragma once

#include <trailjunction/core/units.hpp>

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace trailjunction
{
	/// \brief A request that waits for a slot, or arrives.
	struct queued_request
	{
		std::uint64_t key{}; ///< Handle chosen by the caller of these functions.
		instant deadline{};
		bool urgent{};
	};

	/// \brief The limits of a worker's upstream.
	struct slot_limits
	{
		std::int64_t slots{8};  ///< Requests that the upstream serves concurrently.
		std::int64_t queue{16}; ///< Requests that may wait for a slot.
	};

	/// \brief Decision about a request that arrives.
	enum class admission
	{
		run, ///< A slot was taken: send the request to the upstream.
		queued,
		refused, ///< The request was provably not run; see slot_decision::reason.
	};

	/// \brief A decision with its reason.
	struct slot_decision
	{
		admission action{admission::refused};
		std::string reason;
		millis retry_after{}; ///< With a refusal: when a retry may succeed; 0 if not known.
	};

	/// \brief Slots and queue of one worker. The functions below never let running exceed limits.slots by starting
	/// requests.
	struct slot_table
	{
		slot_limits limits;
		std::int64_t running{};
		std::deque<queued_request> urgent;
		std::deque<queued_request> normal;
		double service_us{2'000}; ///< Moving mean of the time that a request holds a slot.
		bool leaving{};
	};

	/// \brief Number of waiting requests.
	[[nodiscard]] std::int64_t queue_length(const slot_table& table) noexcept;

	/// \brief Decides about a request that arrives at \p now, and takes a slot or queues it.
	[[nodiscard]] slot_decision admit(slot_table& table, const queued_request& request, instant now);

	/// \brief Requests that leave the queue.
	struct dequeue_result
	{
		std::vector<std::uint64_t> start;   ///< Send these to the upstream; their slots are taken.
		std::vector<std::uint64_t> expired; ///< Refuse these; their deadline has passed.
	};

	/// \brief Releases a slot that was held for \p held.
	void release_slot(slot_table& table, micros held) noexcept;

	/// \brief Fills free slots from the queue, urgent requests first, and drops expired requests.
	[[nodiscard]] dequeue_result dequeue(slot_table& table, instant now);

	/// \brief Removes a waiting request.
	/// \returns Whether it was still waiting.
	bool remove_queued(slot_table& table, std::uint64_t key);
}
