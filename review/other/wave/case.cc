// SPDX-License-Identifier: MIT
/// \file
/// \brief A worker crashes and says nothing. While its lease lasts, the owner counts its tasks as present, and stops
/// another task of their step for the upkeep of an instance.
#include "deployment.hh"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iostream>
#include <thread>

using namespace review;

namespace
{
	constexpr int tasks = 4;
	constexpr int may_miss = 1;
	constexpr std::int64_t lasting_work_ms = 600'000;
	constexpr auto start_timeout = millis{10'000};
	constexpr auto settle = millis{5'000};
	constexpr auto wave_after = millis{4'100}; ///< After the crash.
	constexpr auto down_for = millis{9'000};   ///< srv_crash for 4.5 s, twice that at the most.
	constexpr auto observed = millis{8'000};
	constexpr auto notice = millis{4'500};      ///< notice_ms
	constexpr auto short_start = millis{1'000}; ///< After which a lasting task is certainly at work.
}

int main(int, char** arguments)
{
	try
	{
		const bool trouble = has_trouble();
		deployment_options options;
		options.worker_cpu_milli = {32'000, 32'000, 32'000, 32'000, 32'000};
		options.serving = true;
		options.has_upkeep = true;
		deployment system{options, arguments[1]};
		if (!system.wait_ready())
			return not_run;
		const auto id = make_id(0x1a57);
		const auto body = absl::StrCat(R"({"spec":")", lasting_work_ms, R"(","phases":[{"count":)", tasks,
									   R"(,"cpu":480,"memMb":8,"estimateMs":400,"longRunning":true,"antiAffinity":1,)",
									   R"("may_miss":)", may_miss, "}]}");
		if (!system.submit(0, "/check/" + id, body))
			return not_run;
		const auto lasting_runs = [&]
		{
			auto runs = system.started_runs();
			std::erase_if(runs, [&](const auto& run) { return !absl::StartsWith(run.task, id); });
			return runs;
		};
		const auto until = boottime_now() + start_timeout;
		while (lasting_runs().size() < tasks && boottime_now() < until)
			std::this_thread::sleep_for(millis{50});
		std::this_thread::sleep_for(settle);
		std::vector<int> hosts;
		for (int i = 0; i < system.workers(); ++i)
			if (system.with_worker(i,
								   [&](worker_standin& worker)
								   {
									   return std::any_of(worker.started_runs.begin(), worker.started_runs.end(),
														  [&](const auto& run)
														  { return absl::StartsWith(run.task, id); });
								   }))
				hosts.push_back(i);
		if (hosts.size() < tasks)
			return not_run;
		if (trouble)
		{
			system.record(absl::StrCat("worker ", hosts[0] + 1, " crashes and is dark"));
			system.with_worker(hosts[0],
							   [](worker_standin& worker)
							   {
								   worker.restart_delay = down_for;
								   worker.crash();
								   return 0;
							   });
		}
		std::this_thread::sleep_for(wave_after);
		system.record(absl::StrCat("a wave of upkeep for machine-", hosts[1] + 1));
		system.write_operator_row("wave/1", absl::StrCat(R"({"wave":1,"machines":["machine-)", hosts[1] + 1,
														 R"("],"durationS":8,"maxItems":1})"));
		std::this_thread::sleep_for(observed);
		const auto runs = lasting_runs();
		system.record_runs();
		int violations = 0;
		for (const auto& run : runs)
		{
			if (run.end_state != "stopped" || *run.ended_at - run.started_at < short_start)
				continue;
			int away = 0;
			for (int i = 0; i < tasks; ++i)
			{
				const auto other = task_name(id, i);
				instant last_at_work{};
				for (const auto& candidate : runs)
					if (candidate.task == other && candidate.started_at + short_start <= *run.ended_at)
						last_at_work =
							std::max(last_at_work, std::min(candidate.ended_at.value_or(*run.ended_at), *run.ended_at));
				away += other != run.task && *run.ended_at - last_at_work >= notice ? 1 : 0;
			}
			if (away < may_miss)
				continue;
			++violations;
			system.record(absl::StrCat("AVAIL: a stop ended ", run.task, " run ", run.run, " on ", run.incarnation,
									   " while ", away, " others of its step had not been at work for ", notice.count(),
									   " ms"));
		}
		std::cout << violations << " violations\n";
		return violations > 0 ? broken : held;
	}
	catch (const std::exception& fault)
	{
		std::cerr << fault.what() << '\n';
		return not_run;
	}
}
