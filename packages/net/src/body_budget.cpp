// SPDX-License-Identifier: MIT
#include "impl/body_budget.hpp"

#include <utility>

namespace trailjunction::impl
{
	body_budget::handle body_budget::add(std::function<void()> cancel)
	{
		return bodies_.insert(bodies_.end(), held_body{.cancel = std::move(cancel)});
	}

	void body_budget::update(handle body, std::size_t bytes)
	{
		if (body->is_evicted)
			return;
		held_bytes_ += bytes - body->bytes;
		body->bytes = bytes;
		for (auto& oldest : bodies_)
		{
			if (held_bytes_ <= max_bytes_)
				return;
			if (!oldest.is_complete && !oldest.is_evicted)
				evict(oldest);
		}
	}

	void body_budget::release(handle body) noexcept
	{
		held_bytes_ -= body->bytes;
		bodies_.erase(body);
	}

	void body_budget::evict(held_body& body)
	{
		held_bytes_ -= std::exchange(body.bytes, 0);
		body.is_evicted = true;
		body.cancel();
	}
}
