// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Who owns a shard, and when another member may take it over.
/// \details The owner counts its lease from before the sending of the transaction that renewed it, a rival counts the
/// same time from when it first saw the row that stands; so the rival's wait ends after the owner's lease, however long
/// either answer took.
#pragma once

#include <trailjunction/core/units.hpp>

#include <cstdint>
#include <optional>

namespace trailjunction
{
	/// \brief Times of ownership.
	struct ownership_times
	{
		millis lease{1'500};       ///< How long an owner may act after its last renewal; derived in entry settings.
		millis margin{100};        ///< Added by rivals, for clocks that run at different rates.
		millis renew_every{400};   ///< An owner with nothing to write renews so often: several tries in a lease.
		millis observe_every{500}; ///< A standby reads the row so often: three looks in a lease.
		/// How long this member leaves a row that is free to members with more room; see rank_wait_of().
		millis rank_wait{0};
	};

	/// \brief How long a member leaves a free row to others, by the processors that it may use.
	/// \details All members see a free row within one look. An owner of 240 workers needs more than the smallest
	/// instance has beside its other work, so the roomier ones should be first, without an election of their own: the
	/// wait is in inverse proportion to the processors. 0.5 of a processor waits 120 ms, 0.12 the most.
	[[nodiscard]] millis rank_wait_of(double processors) noexcept;

	/// \brief What a standby has seen of the row.
	struct ownership_sighting
	{
		std::int64_t version{};       ///< Of the row; 0: it is absent.
		std::optional<instant> since; ///< When that version was first seen; nothing after a failed look.
		bool released{};
		/// Written by a process that is certainly gone: it served at the address that this process now holds.
		bool by_predecessor{};
	};

	/// \brief What the row says of its writer.
	struct row_writer
	{
		bool released{};       ///< It has left in a planned way.
		bool by_predecessor{}; ///< See ownership_sighting.
	};

	/// \brief Notes a successful look at the row.
	void note_look(ownership_sighting& seen, std::int64_t version, row_writer writer, instant answered) noexcept;

	/// \brief Notes a look that failed: the time before it proves nothing about the owner's chance to renew.
	void note_failed_look(ownership_sighting& seen) noexcept;

	/// \brief Whether the row may be taken over.
	[[nodiscard]] bool may_take_over(const ownership_sighting& seen, const ownership_times& times,
									 instant now) noexcept;

	/// \brief When the row may be taken over if it is not written again; nothing after a failed look.
	[[nodiscard]] std::optional<instant> takeover_due(const ownership_sighting& seen,
													  const ownership_times& times) noexcept;

	/// \brief Whether an owner may still order starts and confirm runs.
	/// \param renewal_sent When the last successful renewal was sent.
	[[nodiscard]] bool holds_lease(instant renewal_sent, const ownership_times& times, instant now) noexcept;

	/// \brief When an owner that cannot keep up gives the row to others.
	struct handover_policy
	{
		/// Of a timer of its loop: reports, orders and renewals then wait for as long, and users' tightest aim is 250
		/// ms.
		millis most_lag{300};
		/// Behind for so long without a break: longer than a takeover and the links that follow it take.
		millis patience{3'000};
		/// Between two hand-overs of anybody: where all members are too small, jobs would stand still for a takeover
		/// each time.
		millis least_between{60'000};
		/// For so long the member that gave the row up leaves it to others.
		millis rest{5'000};
	};

	/// \brief How an owner keeps up: with its own timers, or with what the store tells.
	struct owner_lag
	{
		std::optional<instant> behind_since; ///< Nothing: it is not behind.
	};

	/// \brief Takes in how late a timer of the owner's loop was.
	void note_lag(owner_lag& known, std::chrono::nanoseconds lag, const handover_policy& policy, instant now) noexcept;

	/// \brief Takes in whether the owner is behind.
	void note_behind(owner_lag& known, bool behind, instant now) noexcept;

	/// \brief Whether an owner should give the row up.
	/// \param since_last Since anybody did so last; nothing: nobody did.
	[[nodiscard]] bool should_hand_on(const owner_lag& known, std::optional<millis> since_last,
									  const handover_policy& policy, instant now) noexcept;
}
