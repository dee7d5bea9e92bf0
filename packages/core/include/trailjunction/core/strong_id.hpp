// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Strongly typed identifiers.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace trailjunction
{
	/// \brief A string identifier whose type keeps it apart from other kinds of identifiers.
	/// \tparam Tag An empty type that names the kind.
	template <typename Tag>
	class strong_id
	{
	public:
		strong_id() = default;
		explicit strong_id(std::string text) noexcept : text_{std::move(text)} {}

		/// \brief The identifier as it is written in settings, commands and messages.
		[[nodiscard]] const std::string& str() const noexcept
		{
			return text_;
		}
		[[nodiscard]] bool empty() const noexcept
		{
			return text_.empty();
		}
		[[nodiscard]] friend auto operator<=>(const strong_id&, const strong_id&) = default;

		friend std::ostream& operator<<(std::ostream& out, const strong_id& id)
		{
			return out << id.text_;
		}
		template <typename Hash>
		friend Hash AbslHashValue(Hash state, const strong_id& id)
		{
			return Hash::combine(std::move(state), id.text_);
		}

	private:
		std::string text_;
	};

	/// \brief A counter whose type keeps it apart from other kinds of counters.
	/// \tparam Tag An empty type that names the kind.
	template <typename Tag>
	struct strong_number
	{
		std::uint64_t value{};

		[[nodiscard]] friend constexpr auto operator<=>(strong_number, strong_number) = default;

		/// \brief This number plus one.
		[[nodiscard]] constexpr strong_number next() const noexcept
		{
			return {value + 1};
		}
		friend std::ostream& operator<<(std::ostream& out, strong_number number)
		{
			return out << number.value;
		}
		template <typename Hash>
		friend Hash AbslHashValue(Hash state, strong_number number)
		{
			return Hash::combine(std::move(state), number.value);
		}
	};
}
