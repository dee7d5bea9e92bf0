// SPDX-License-Identifier: MIT
/// \file
/// \brief What an owner's thread spends its time on, and how far it is behind.
#pragma once

#include <trailjunction/core/units.hpp>
#include <trailjunction/net/process_metrics.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace trailjunction
{
	/// \brief What an owner of jobs does on its thread.
	enum class owner_duty : std::uint8_t
	{
		reports, ///< Takes in what agents tell.
		placing, ///< Chooses workers for waiting tasks.
		saving,  ///< Makes transactions of what has changed.
		acting,  ///< Sends orders once they are durable.
		reading, ///< Takes in rows of the store.
	};

	inline constexpr std::size_t owner_duty_count = 5;

	[[nodiscard]] std::string_view to_string(owner_duty duty) noexcept;

	/// \brief One stretch of an owner's work.
	struct owner_load
	{
		std::array<std::chrono::nanoseconds, owner_duty_count> busy{}; ///< By duty; time in which nothing else ran.
		std::chrono::nanoseconds longest_lag{}; ///< A timer of the loop fired so much too late, at the most.
		std::uint64_t reports{};
		std::uint64_t ordered{}; ///< Runs.
		std::uint64_t ended{};   ///< Runs.
		std::uint64_t commits{};
		std::chrono::nanoseconds time{}; ///< How long the stretch was.
	};

	/// \brief The share of a stretch in which the owner was at work.
	[[nodiscard]] double busy_share(const owner_load& load) noexcept;

	/// \brief Sums an owner's work up; lives on its thread.
	class owner_meter
	{
	public:
		owner_meter(process_metrics& metrics, instant now);

		void note_busy(owner_duty duty, std::chrono::nanoseconds time) noexcept
		{
			load.busy[static_cast<std::size_t>(duty)] += time;
		}

		/// \brief Ends a stretch, adds it to the metrics and begins the next one.
		[[nodiscard]] owner_load take(instant now);

		owner_load load; ///< Of the present stretch; counted up by the duties.

	private:
		std::array<prometheus::Counter*, owner_duty_count> busy_seconds_{};
		prometheus::Gauge& lag_seconds_;
		instant began_;
	};

	/// \brief Counts the time of one scope to a duty.
	class busy_scope
	{
	public:
		busy_scope(owner_meter& meter, owner_duty duty) noexcept : meter_{meter}, duty_{duty}, began_{steady_now()} {}
		~busy_scope()
		{
			meter_.note_busy(duty_, steady_now() - began_);
		}
		busy_scope(const busy_scope&) = delete;
		busy_scope& operator=(const busy_scope&) = delete;

	private:
		owner_meter& meter_;
		owner_duty duty_;
		instant began_;
	};
}
