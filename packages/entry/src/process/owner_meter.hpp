// SPDX-License-Identifier: MIT
/// \file
/// \brief Measures how an owner's thread spends its time and how far its event loop lags.
#pragma once

#include <trailjunction/core/units.hpp>
#include <trailjunction/net/process_metrics.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace trailjunction
{
	/// \brief The kinds of work on the thread of a job owner.
	enum class owner_duty : std::uint8_t
	{
		reports,     ///< Processes reports of agents.
		placing,     ///< Chooses workers for waiting tasks.
		saving,      ///< Builds transactions from changed jobs.
		acting,      ///< Sends orders after their commit.
		reading,     ///< Decodes rows of the store.
		idle_search, ///< Looks for long-running tasks without a run.
	};

	inline constexpr std::size_t owner_duty_count = 6;

	[[nodiscard]] std::string_view to_string(owner_duty duty) noexcept;

	/// \brief Load of an owner in one measurement interval.
	struct owner_load
	{
		/// Busy time by duty; nothing else ran in that time.
		std::array<std::chrono::nanoseconds, owner_duty_count> busy{};
		std::chrono::nanoseconds longest_lag{}; ///< Maximum delay of a timer of the event loop.
		std::uint64_t reports{};
		std::uint64_t ordered{}; ///< Ordered runs.
		std::uint64_t ended{};   ///< Ended runs.
		std::uint64_t commits{};
		std::chrono::nanoseconds interval{}; ///< Length of the interval.
	};

	/// \brief Share of the interval in which the owner was busy, from 0 to 1.
	[[nodiscard]] double busy_share(const owner_load& load) noexcept;

	/// \brief Accumulates the load of an owner. Used only on the owner's thread.
	class owner_meter
	{
	public:
		owner_meter(process_metrics& metrics, instant now);

		void note_busy(owner_duty duty, std::chrono::nanoseconds time) noexcept
		{
			load.busy[static_cast<std::size_t>(duty)] += time;
		}

		/// \brief Ends the current interval, adds it to the metrics and begins the next one.
		[[nodiscard]] owner_load finish_interval(instant now);

		owner_load load; ///< Load of the current interval; updated by the duties.

	private:
		std::array<prometheus::Counter*, owner_duty_count> busy_seconds_{};
		prometheus::Gauge& lag_seconds_;
		instant interval_began_;
	};

	/// \brief Adds the duration of a scope to the busy time of a duty.
	class busy_scope
	{
	public:
		busy_scope(owner_meter& meter, owner_duty duty) noexcept : meter_{meter}, duty_{duty}, began_{boottime_now()} {}
		~busy_scope()
		{
			meter_.note_busy(duty_, boottime_now() - began_);
		}
		busy_scope(const busy_scope&) = delete;
		busy_scope& operator=(const busy_scope&) = delete;

	private:
		owner_meter& meter_;
		owner_duty duty_;
		instant began_;
	};
}
