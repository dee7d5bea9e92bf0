// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief The slots of one worker's upstream and the queue in front of them.
#pragma once

#include <trailjunction/core/units.hpp>

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace trailjunction
{
	/// \brief A request that waits for a slot.
	struct queued_request
	{
		std::uint64_t key{}; ///< The caller's handle.
		instant deadline{};
		bool urgent{};
	};

	/// \brief The limits of a worker's upstream.
	struct slot_limits
	{
		std::int64_t slots{8};
		std::int64_t queue{16};
	};

	/// \brief What becomes of a request that arrives.
	enum class admission
	{
		run, ///< A slot is taken: hand it to the upstream.
		queued,
		refused, ///< Proved not run; see slot_decision::reason.
	};

	/// \brief An admission with its reason.
	struct slot_decision
	{
		admission what{admission::refused};
		std::string reason;
		millis retry_after{};
	};

	/// \brief Slots and queue of one worker. Deciding functions keep running <= limits.slots at any time.
	struct slot_table
	{
		slot_limits limits;
		std::int64_t running{};
		std::deque<queued_request> urgent;
		std::deque<queued_request> ordinary;
		double service_us{2'000}; ///< Moving mean of the time that a slot is held.
		bool leaving{};
	};

	/// \brief Requests that wait.
	[[nodiscard]] std::int64_t queue_length(const slot_table& table) noexcept;

	/// \brief Decides about a request that arrives at \p now.
	[[nodiscard]] slot_decision admit(slot_table& table, const queued_request& request, instant now);

	/// \brief What leaves the queue when a slot becomes free or time passes.
	struct slot_turn
	{
		std::vector<std::uint64_t> start;   ///< Hand these to the upstream: their slots are taken.
		std::vector<std::uint64_t> expired; ///< Refuse these: they cannot make their deadline.
	};

	/// \brief Gives a slot back after \p held.
	void release_slot(slot_table& table, micros held) noexcept;

	/// \brief Fills free slots from the queue, urgent requests first.
	[[nodiscard]] slot_turn next_turn(slot_table& table, instant now);

	/// \brief Forgets a request that waits. \returns Whether it was still waiting.
	bool forget_queued(slot_table& table, std::uint64_t key);
}
