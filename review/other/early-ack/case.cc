// SPDX-License-Identifier: MIT
/// \file
/// \brief The entry of KNOWN-RED.txt: a listing call without an answer, which acknowledges ends, is carried out late by
/// the next incarnation of its worker, as its first call. That incarnation forgets its own ends up to the number.
#include "deployment.hh"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <map>
#include <thread>

using namespace review;

namespace
{
	constexpr int tasks = 4;
	constexpr int work_ms = 150;
	constexpr std::int64_t job_every_ms = 250;
	constexpr std::int64_t restart_every_ms = 4'000;
	constexpr std::int64_t traffic_ms = 60'000;
	constexpr auto settle = millis{8'000};
	constexpr auto late_delay = millis{100};
	constexpr auto downtime = millis{300};
}

int main(int, char** arguments)
{
	try
	{
		const bool trouble = has_trouble();
		deployment_options options;
		options.worker_cpu_milli = {32'000, 32'000};
		deployment system{options, arguments[1]};
		if (!system.wait_ready())
			return not_run;
		const auto begin = system.elapsed_ms();
		const auto body = absl::StrCat(R"({"spec":")", work_ms, R"(","phases":[{"count":)", tasks,
									   R"(,"cpu":480,"memMb":8,"estimateMs":)", work_ms, "}]}");
		int accepted = 0;
		int restarts = 0;
		std::atomic<bool> over{false};
		std::thread restarting{[&]
							   {
								   while (trouble && !over)
								   {
									   std::this_thread::sleep_for(millis{restart_every_ms});
									   system.with_worker(0,
														  [](worker_standin& worker)
														  {
															  worker.faults.late_delay = late_delay;
															  return worker.faults.late_holds = 1;
														  });
									   while (!over && system.with_worker(0, [](worker_standin& worker)
																		  { return worker.faults.late_holds; }) > 0)
										   std::this_thread::sleep_for(millis{1});
									   system.with_worker(0,
														  [](worker_standin& worker)
														  {
															  worker.restart_in_place(downtime);
															  return 0;
														  });
									   ++restarts;
								   }
							   }};
		for (unsigned i = 0; system.elapsed_ms() - begin < traffic_ms; ++i)
		{
			const auto id = make_id(0x3000U + i);
			accepted += system.submit(static_cast<int>(i) % system.entries(), "/check/" + id, body) ? 1 : 0;
			std::this_thread::sleep_for(millis{job_every_ms});
		}
		over = true;
		restarting.join();
		std::this_thread::sleep_for(settle);
		std::map<std::string, std::vector<worker_standin::started_run>> runs;
		for (const auto& run : system.started_runs())
			runs[run.task].push_back(run);
		system.record_runs();
		int twice = 0;
		for (auto& [task, list] : runs)
		{
			std::sort(list.begin(), list.end(),
					  [](const auto& left, const auto& right) { return left.started_at < right.started_at; });
			for (std::size_t i = 1; i < list.size(); ++i)
				for (std::size_t j = 0; j < i; ++j)
					if (list[j].end_state == "done" && list[j].acknowledged_at &&
						*list[j].ended_at <= list[i].started_at)
					{
						++twice;
						system.record(absl::StrCat(
							"TWICE: task ", task, " run ", list[i].run, " started on ", list[i].incarnation,
							" after run ", list[j].run, " had ended done on ", list[j].incarnation,
							list[j].acknowledged_early ? ", whose end was noted in advance" : ""));
						break;
					}
		}
		system.record(
			absl::StrCat(accepted, " jobs accepted, ", restarts, " restarts, ", twice, " starts after a noted end"));
		std::cout << accepted << " jobs accepted, " << restarts << " restarts, " << twice
				  << " starts after a noted end\n";
		return twice > 0 ? broken : held;
	}
	catch (const std::exception& fault)
	{
		std::cerr << fault.what() << '\n';
		return not_run;
	}
}
