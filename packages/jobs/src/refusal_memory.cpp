// SPDX-License-Identifier: MIT
#include <trailjunction/jobs/refusal_memory.hpp>

namespace trailjunction
{
	void note_refusal(refusal_memory& memory, const refused_run& refusal)
	{
		const auto [found, is_new] = memory.latest.try_emplace(refusal.what.task, refusal);
		if (!is_new)
		{
			if (found->second.what.run < refusal.what.run)
				found->second = refusal;
			return;
		}
		memory.order.push_back(refusal.what.task);
		if (memory.order.size() <= most_refusals)
			return;
		memory.latest.erase(memory.order.front());
		memory.order.pop_front();
	}

	const refused_run* refusal_of(const refusal_memory& memory, const task_run& what) noexcept
	{
		const auto found = memory.latest.find(what.task);
		return found != memory.latest.end() && what.run <= found->second.what.run ? &found->second : nullptr;
	}
}
