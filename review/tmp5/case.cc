// SPDX-License-Identifier: MIT
/// \file
/// \brief Case 5: the only worker that can run a task crashes four times. See claim.txt.
#include "small_deployment.hh"

#include <absl/strings/str_cat.h>

#include <thread>

using namespace review;
using namespace trailjunction;
using namespace trailjunction::testkit;

namespace
{
	constexpr int workers = 11;
	constexpr int crashing = 10; ///< One of 11 workers: a share of 0.09.
	// The disruption srv_crash, four times: the site's share is 0.14, and for_s 4.5.
	constexpr int crashes = 4;
	constexpr auto period = millis{2'000};
	constexpr auto downtime = millis{1'000};
	constexpr int task_ms = 6'000;
	constexpr auto watch_time = millis{40'000};
	constexpr unsigned job_number = 1;

	std::string job_body()
	{
		return absl::StrCat(R"({"spec":")", task_ms, R"(","phases":[{"count":1,"cpu":500,"memMb":256,"estimateMs":)",
							task_ms, R"(,"requirements":"b"}]})");
	}
}

int main(int, char** argv)
{
	case_record record{argv[1]};
	deployment_options options;
	options.workers = workers;
	options.special_worker = crashing;
	small_deployment system{options, record};
	if (!system.wait_ready())
		return static_cast<int>(case_result::not_run);
	const auto id = make_job_id(job_number);
	const auto answer = system.call(0, "POST", id, job_body());
	record.add(absl::StrCat("POST ", id, " (one task of ", task_ms, " ms that requires the label b) -> ", answer.status));
	if (answer.status != 200)
		return static_cast<int>(case_result::not_run);
	std::this_thread::sleep_for(millis{900});
	const auto began_at = boottime_now();
	auto next_crash = began_at;
	std::string state;
	std::string reported;
	while (boottime_now() - began_at < watch_time)
	{
		const auto now = boottime_now();
		if (has_trouble() && now >= next_crash && next_crash - began_at < crashes * period)
		{
			system.with_worker(crashing,
							   [](worker_standin& worker)
							   {
								   worker.restart_delay = downtime;
								   worker.crash();
								   return true;
							   });
			record.add("the worker of kind b crashes; it is back under another id 1 s later");
			next_crash += period;
		}
		state = system.state(1, id);
		if (state != reported)
			record.add(absl::StrCat("GET ", id, " -> ", state));
		reported = state;
		if (state == "completed" || state == "failed")
			break;
		std::this_thread::sleep_for(millis{20});
	}
	int failed_ends = 0;
	int starts = 0;
	for (const auto& run : system.started_runs())
	{
		if (run.task.substr(0, id.size()) != id)
			continue;
		++starts;
		failed_ends += run.end_state == "failed" ? 1 : 0;
		const auto age = run.ended_at ? std::chrono::duration_cast<millis>(*run.ended_at - run.started_at).count() : -1;
		record.add(absl::StrCat("run ", run.run, " of ", run.task, " on ", run.incarnation, ": ", run.end_state,
								" after ", age, " ms"));
	}
	for (const auto* word : {"task_suspected", "task_given_up"})
		for (const auto& line : system.log_lines(word))
			record.add("log: " + line);
	const bool broken = state == "failed" && failed_ends < 4;
	record.add(absl::StrCat("state ", state, ", starts ", starts, ", ends `failed` ", failed_ends, " of maxAttempts 4: ",
							broken ? "LOST is broken" : "LOST held"));
	return static_cast<int>(broken ? case_result::rule_broken : case_result::rule_held);
}
