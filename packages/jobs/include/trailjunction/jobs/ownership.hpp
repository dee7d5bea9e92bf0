// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Ownership of a shard: the owner's lease, takeover by another member, and hand-over by an overloaded owner.
/// \details The owner counts its lease from before it sends the transaction that renews it. A rival counts the same
/// time from when it first saw the current version of the row. So the rival's wait ends after the owner's lease,
/// regardless of how long either answer took.
#pragma once

#include <trailjunction/core/units.hpp>

#include <cstdint>
#include <optional>

namespace trailjunction
{
	/// \brief Durations of leases, renewals and takeovers.
	struct ownership_times
	{
		/// Longest time for which an owner may act after its last renewal; derived in the entry's settings.
		millis lease{1'500};
		/// Lease of an owner whose store answers quickly. A renewal that is sent after a quarter of it still arrives in
		/// time if the store becomes 60 times slower at that moment.
		millis min_lease{800};
		millis margin{100}; ///< Added by rivals to allow for clocks that run at different rates.
		/// Longest interval at which a standby reads the row of an owner that renews it. The earliest of all standbys
		/// still sees a lost owner's last version soon, and each gets the counts of waiting jobs in time.
		millis observe_every{1'000};
		millis observe_again_after{500}; ///< The same after a read has failed.
		/// How long this member leaves a free row to members with more processors; see takeover_delay_for().
		millis takeover_delay{0};
	};

	/// \brief How long a member leaves a free row to others, by the number of processors that it may use.
	/// \details All members see a free row within one read interval. Owning the jobs of 240 workers takes more than the
	/// smallest instance has beside its other work, so members with more processors should take over first, without an
	/// election. The delay is inversely proportional to the processors: 120 ms for 0.5 of a processor, the maximum for
	/// 0.12.
	[[nodiscard]] millis takeover_delay_for(double processors) noexcept;

	/// \brief The state of the row as a standby has observed it.
	struct ownership_observation
	{
		std::int64_t version{};                 ///< Version of the row; 0 if it is absent.
		std::optional<instant> unchanged_since; ///< When this version was first seen; empty after a failed read.
		bool released{};
		/// The row was written by a process that is certainly gone: it served at the address that this process now
		/// holds.
		bool by_predecessor{};
		std::optional<millis> lease; ///< The writer's lease if the row states it.
	};

	/// \brief What the row states about its writer.
	struct row_writer
	{
		bool released{};       ///< The writer has given the row up in a planned way.
		bool by_predecessor{}; ///< See ownership_observation.
		std::optional<millis> lease;
	};

	/// \brief The lease that an owner writes into its row.
	/// \details Short while the store answers quickly, so that a lost owner is replaced early; up to the longest one if
	/// the store is slow, so that a renewal arrives in time.
	/// \param usual_commit Usual time until a transaction is known to be applied; empty if none was timed.
	[[nodiscard]] millis lease_for(std::optional<millis> usual_commit, const ownership_times& times) noexcept;

	/// \brief Renewal interval of an owner with nothing else to write: several tries per lease.
	[[nodiscard]] constexpr millis renewal_interval(millis lease) noexcept
	{
		constexpr int renewals_per_lease = 4;
		return lease / renewals_per_lease;
	}

	/// \brief The time until a standby reads the row again, unless it can be taken over earlier.
	/// \details Between half of the interval and all of it: standbys that read in step would all see a released row
	/// late, and at the same time.
	/// \param draw A random number from 0 to 1.
	[[nodiscard]] millis observation_interval(const ownership_observation& observation, const ownership_times& times,
											  double draw) noexcept;

	/// \brief Records a successful read of the row.
	void record_observation(ownership_observation& observation, std::int64_t version, row_writer writer,
							instant answered) noexcept;

	/// \brief Records a failed read. The time before it does not count, since the owner may not have been able to renew
	/// either.
	void record_failed_read(ownership_observation& observation) noexcept;

	/// \brief Whether the row may be taken over.
	[[nodiscard]] bool may_take_over(const ownership_observation& observation, const ownership_times& times,
									 instant now) noexcept;

	/// \brief When the row may be taken over if it is not written again; empty after a failed read.
	[[nodiscard]] std::optional<instant> takeover_due(const ownership_observation& observation,
													  const ownership_times& times) noexcept;

	/// \brief Whether an owner may still order starts and confirm runs.
	/// \param renewal_sent When the latest successful renewal was sent.
	/// \param lease The shortest lease that a rival may have read since.
	[[nodiscard]] bool holds_lease(instant renewal_sent, millis lease, instant now) noexcept;

	/// \brief When an overloaded owner hands the row over.
	struct handover_policy
	{
		/// Lag of a timer of the event loop above which the owner is behind: reports, orders and renewals are delayed
		/// as much, and the tightest latency target of users is 250 ms.
		millis max_lag{300};
		/// The owner hands over after it has been behind for this long without interruption: longer than a takeover and
		/// the reconnections that follow it take.
		millis hand_over_after{3'000};
		/// Minimum time between two hand-overs by any member: if all members are too small, each hand-over would stop
		/// the scheduling of jobs for the time of a takeover.
		millis min_interval{60'000};
		/// How long the member that handed the row over leaves it to others.
		millis abstain_for{5'000};
	};

	/// \brief Since when an owner is behind, with its own timers or in following the store.
	struct owner_lag
	{
		std::optional<instant> behind_since; ///< Empty if it is not behind.
	};

	/// \brief Updates \p state with the lag of a timer of the owner's event loop.
	void note_lag(owner_lag& state, std::chrono::nanoseconds lag, const handover_policy& policy, instant now) noexcept;

	/// \brief Updates \p state with whether the owner is behind.
	void note_behind(owner_lag& state, bool behind, instant now) noexcept;

	/// \brief Whether an owner should hand the row over.
	/// \param since_last Time since the last hand-over by any member; empty if there was none.
	[[nodiscard]] bool should_hand_over(const owner_lag& state, std::optional<millis> since_last,
										const handover_policy& policy, instant now) noexcept;
}
