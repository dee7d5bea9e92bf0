// SPDX-License-Identifier: MIT
/// \file
/// \brief Limits the bytes of request bodies that a server holds at a time.
#pragma once

#include <cstddef>
#include <functional>
#include <list>

namespace trailjunction::impl
{
	/// \brief One request body, from its first byte until the request is answered.
	struct held_body
	{
		std::function<void()> cancel; ///< Ends the reading of the body.
		std::size_t bytes{};          ///< Bytes that have arrived.
		bool is_complete{};
		bool is_evicted{}; ///< The budget has run out, and this body is not to be read any further.
	};

	/// \brief The request bodies of all connections of a server.
	/// \details If they exceed the budget, the incomplete bodies that have been arriving for longest are evicted:
	/// ordinary callers need far less time for theirs than clients that send slowly to hold memory.
	class body_budget
	{
	public:
		using handle = std::list<held_body>::iterator;

		explicit body_budget(std::size_t max_bytes) noexcept : max_bytes_{max_bytes} {}

		/// \brief Registers a body of which nothing has arrived.
		[[nodiscard]] handle add(std::function<void()> cancel);
		/// \brief Records how much of a body has arrived, and evicts bodies as far as necessary; this one if no other
		/// can be.
		void update(handle body, std::size_t bytes);
		void release(handle body) noexcept;

	private:
		void evict(held_body& body);

		std::size_t max_bytes_;
		std::size_t held_bytes_{};
		std::list<held_body> bodies_; ///< In the order in which they began to arrive.
	};
}
