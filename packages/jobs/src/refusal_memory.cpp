// SPDX-License-Identifier: MIT
#include <trailjunction/jobs/refusal_memory.hpp>

#include <utility>

namespace trailjunction
{
	namespace
	{
		/// Drops the oldest refusal; keeps the task's entry if the task was refused again since.
		void forget_oldest(refusal_memory& memory)
		{
			const auto oldest = std::move(memory.order.front());
			memory.order.pop_front();
			const auto found = memory.latest.find(oldest.task);
			if (found != memory.latest.end() && found->second.run_id.run == oldest.run)
				memory.latest.erase(found);
		}
	}

	void record_refusal(refusal_memory& memory, const refused_run& refusal)
	{
		const auto [found, is_new] = memory.latest.try_emplace(refusal.run_id.task, refusal);
		if (!is_new && refusal.run_id.run <= found->second.run_id.run)
			return; // repeated or delayed report
		found->second = refusal;
		memory.order.push_back(refusal.run_id);
		if (memory.order.size() > max_refusals)
			forget_oldest(memory);
	}

	std::optional<start_refusal> refusal_of(const refusal_memory& memory, const task_run& run_id) noexcept
	{
		const auto found = memory.latest.find(run_id.task);
		if (found == memory.latest.end() || run_id.run > found->second.run_id.run)
			return std::nullopt;
		return run_id.run == found->second.run_id.run ? found->second.reason : start_refusal::superseded;
	}
}
