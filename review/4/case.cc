// SPDX-License-Identifier: MIT
/// \file
/// \brief Case 4: one large job, and small jobs after it. See claim.txt.
#include "small_deployment.hh"

#include <absl/strings/str_cat.h>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <thread>

using namespace review;
using namespace trailjunction;
namespace json = boost::json;

namespace
{
	// Within the sizes of the site large/sirr-counts-large: steps up to 5, width up to 160, times up to 8.
	constexpr int steps = 5;
	constexpr int width = 80;
	constexpr int times = 8;
	constexpr int task_ms = 100;
	constexpr int small_jobs = 10;
	constexpr auto watch_time = millis{40'000};
	constexpr auto sample_interval = millis{200};
	constexpr auto idle_bound = millis{3'000}; ///< Of the rule LOST.
	constexpr unsigned large_id = 1;
	constexpr unsigned small_id = 100;

	std::string job_body(int occurrences)
	{
		json::array phases;
		for (int i = 0; i < steps; ++i)
		{
			json::object phase{{"count", width}, {"cpu", 50}, {"memMb", 16}, {"estimateMs", task_ms}};
			if (i > 0)
				phase["afterRev"] = json::array{i - 1};
			phases.push_back(std::move(phase));
		}
		json::object body{{"spec", absl::StrCat(task_ms)}, {"phases", std::move(phases)}};
		if (occurrences > 1)
		{
			const auto now = std::chrono::system_clock::now().time_since_epoch();
			body["repeatCount"] = occurrences;
			body["startAtMs"] = std::chrono::duration_cast<millis>(now).count();
			body["intervalMs"] = 500;
		}
		return json::serialize(body);
	}

	std::string small_body()
	{
		return R"({"spec":"100","phases":[{"count":4,"cpu":50,"memMb":16,"estimateMs":100}]})";
	}

	struct watched_job
	{
		instant accepted_at{};
		bool completed{};
		instant runs_seen_at{}; ///< When it last had something running, or was accepted.
		millis longest_idle{};
	};
}

int main(int, char** argv)
{
	case_record record{argv[1]};
	deployment_options options;
	options.worker_cpu_milli = 8'000;
	options.task_cpu_milli = 50;
	small_deployment system{options, record};
	if (!system.wait_ready())
		return static_cast<int>(case_result::not_run);
	std::map<std::string, watched_job> jobs;
	const auto submit = [&](const std::string& id, const std::string& body)
	{
		const auto answer = system.call(static_cast<int>(jobs.size()) % options.entries, "POST", id, body);
		record.add(absl::StrCat("POST ", id, " -> ", answer.status));
		if (answer.status == 200)
			jobs[id] = {boottime_now(), false, boottime_now(), {}};
	};
	if (has_trouble())
	{
		record.add(absl::StrCat("one job of ", steps, " x ", width, " tasks, ", times, " times"));
		submit(make_job_id(large_id), job_body(times));
	}
	else
	{
		record.add(absl::StrCat(times, " jobs of ", steps, " x ", width, " tasks"));
		for (unsigned i = 0; i < times; ++i)
			submit(make_job_id(large_id + i), job_body(1));
	}
	const auto began_at = boottime_now();
	int sent = 0;
	bool all_completed = false;
	auto reported_at = began_at;
	std::set<std::string> late;
	while (boottime_now() - began_at < watch_time && !(sent == small_jobs && all_completed))
	{
		const auto now = boottime_now();
		if (sent < small_jobs && now - began_at >= millis{5'000 + 1'000 * sent})
			submit(make_job_id(small_id + static_cast<unsigned>(sent++)), small_body());
		const auto runs = system.started_runs();
		std::map<std::string, int> active;
		std::size_t total = 0;
		for (const auto& run : runs)
			if (!run.ended_at)
			{
				++active[run.task.substr(0, run.task.find('.'))];
				++total;
			}
		// Half of the capacity: 4 workers with 160 tasks each.
		const bool is_half_empty = total < 320;
		for (auto& [id, job] : jobs)
		{
			if (active[id] > 0 || !is_half_empty)
				job.runs_seen_at = now;
			if (!job.completed)
				job.longest_idle = std::max(job.longest_idle, std::chrono::duration_cast<millis>(now - job.runs_seen_at));
		}
		if (now - reported_at >= millis{1'000})
		{
			reported_at = now;
			all_completed = true;
			int completed = 0;
			for (auto& [id, job] : jobs)
			{
				job.completed = job.completed || system.state(0, id) == "completed";
				all_completed = all_completed && job.completed;
				completed += job.completed ? 1 : 0;
			}
			const auto rejected = system.with_gate([](row_store_gate& gate) { return gate.rejected; });
			record.add(absl::StrCat("jobs ", jobs.size(), ", completed ", completed, ", starts so far ", runs.size(),
									", running now ", total, ", owner ", system.owner() + 1,
									", transactions beyond a limit ", rejected));
		}
		std::this_thread::sleep_for(sample_interval);
	}
	bool broken = false;
	for (const auto& [id, job] : jobs)
	{
		const bool idle = !job.completed && job.longest_idle > idle_bound;
		broken = broken || idle;
		record.add(absl::StrCat("job ", id, ": ", system.state(1, id), ", longest time with nothing running ",
								job.longest_idle.count(), " ms", idle ? " - LOST" : ""));
	}
	system.with_gate(
		[&](row_store_gate& gate)
		{
			record.add(absl::StrCat("largest row accepted by the store: ", gate.largest_accepted,
									" bytes; largest rejected: ", gate.largest_rejected, " bytes, of table '",
									gate.rejected_table, "'"));
			return true;
		});
	for (const auto& line : system.log_lines("E300"))
		record.add("log: " + line);
	if (jobs.empty())
		return static_cast<int>(case_result::not_run);
	record.add(broken ? "LOST is broken" : "LOST held");
	return static_cast<int>(broken ? case_result::rule_broken : case_result::rule_held);
}
