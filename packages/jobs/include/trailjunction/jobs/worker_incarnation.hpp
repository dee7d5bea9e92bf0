// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Identifies one incarnation of a worker.
#pragma once

#include <trailjunction/core/strong_id.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <utility>

namespace trailjunction
{
	/// \brief When the process of a worker started, in ms since the Unix epoch by the clock of its instance.
	/// \details Only tells incarnations apart: that clock may jump, so a later incarnation may have an earlier time.
	using worker_start_time = strong_number<struct worker_start_time_tag>;

	/// \brief One incarnation of a worker, from the start of its process to its end.
	/// \details A worker may keep its id when it starts again, so that only its start time distinguishes the
	/// incarnations. Workers and processes of earlier versions state none; then the id alone identifies the
	/// incarnation.
	class worker_incarnation
	{
	public:
		worker_incarnation() = default;
		explicit worker_incarnation(std::string id, std::optional<worker_start_time> start_time = std::nullopt) noexcept
			: id_{std::move(id)},
			  start_time_{start_time}
		{
		}

		/// \brief The id under which the worker registers.
		[[nodiscard]] const std::string& id() const noexcept
		{
			return id_;
		}
		[[nodiscard]] const std::optional<worker_start_time>& start_time() const noexcept
		{
			return start_time_;
		}
		[[nodiscard]] bool empty() const noexcept
		{
			return id_.empty();
		}
		/// \brief `ID#START`, or `ID` without a start time; for logs.
		[[nodiscard]] std::string str() const
		{
			return start_time_ ? id_ + "#" + std::to_string(start_time_->value) : id_;
		}

		[[nodiscard]] friend auto operator<=>(const worker_incarnation&, const worker_incarnation&) = default;

		friend std::ostream& operator<<(std::ostream& out, const worker_incarnation& worker)
		{
			return out << worker.str();
		}
		template <typename Hash>
		friend Hash AbslHashValue(Hash state, const worker_incarnation& worker)
		{
			return Hash::combine(std::move(state), worker.id_, worker.start_time_.has_value(),
								 worker.start_time_.value_or(worker_start_time{}));
		}

	private:
		std::string id_;
		std::optional<worker_start_time> start_time_;
	};

	/// \brief Whether a name that may lack the start time can stand for an incarnation.
	[[nodiscard]] inline bool may_refer_to(const worker_incarnation& name, const worker_incarnation& worker) noexcept
	{
		return name.id() == worker.id() && (!name.start_time() || name.start_time() == worker.start_time());
	}

	/// \brief A name for an incarnation that states the start time of an earlier one under the same id.
	/// \param stated The name that both state.
	/// \param repetitions Number of earlier incarnations with that name; at least 1.
	/// \details Start times are only compared for equality, so any value that no clock shows will do.
	[[nodiscard]] inline worker_incarnation with_repeated_start_time(const worker_incarnation& stated,
																	 std::uint32_t repetitions)
	{
		constexpr int bits_of_unix_ms = 48; // suffice for some thousand years
		const auto start_time = stated.start_time().value_or(worker_start_time{});
		return worker_incarnation{
			stated.id(), worker_start_time{start_time.value + (std::uint64_t{repetitions} << bits_of_unix_ms)}};
	}

	/// \brief The incarnation without its start time, as services name workers that know only their ids.
	[[nodiscard]] inline worker_incarnation without_start_time(const worker_incarnation& worker)
	{
		return worker_incarnation{worker.id()};
	}
}
