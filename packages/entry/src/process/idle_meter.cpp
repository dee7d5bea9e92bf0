// SPDX-License-Identifier: MIT
#include "idle_meter.hpp"

#include <string>

namespace trailjunction
{
	idle_meter::idle_meter(process_metrics& metrics)
		: given_up_{metrics.counter("long_running_given_up", "Long-running tasks whose jobs have failed.")}
	{
		for (std::size_t i = 0; i < idle_reason_count; ++i)
			gauges_[i] = &metrics.gauge("long_running_idle", "Long-running tasks without a run for 3 s, by reason.",
										"reason", std::string{to_string(static_cast<idle_reason>(i))});
	}

	void idle_meter::clear()
	{
		for (auto* gauge : gauges_)
			gauge->Set(0.0);
	}

	void idle_meter::publish(std::span<const idle_task> idle, const job_table& table)
	{
		auto counts = count_by_reason(idle);
		absl::erase_if(failed_, [&](const auto& entry) { return !is_known(table, entry.first); });
		auto& given_up = counts[static_cast<std::size_t>(idle_reason::given_up)];
		given_up = 0;
		for (const auto& [id, tasks] : failed_)
			given_up += tasks;
		for (std::size_t i = 0; i < idle_reason_count; ++i)
			gauges_[i]->Set(static_cast<double>(counts[i]));
	}

	void idle_meter::note_failed(const job_id& id, std::size_t long_running_tasks)
	{
		if (failed_.try_emplace(id, long_running_tasks).second)
			given_up_.Increment(static_cast<double>(long_running_tasks));
	}
}
