// SPDX-License-Identifier: MIT
/// \file
/// \brief An entry that has lost the jobs to another one while it is cut off from the store still claims agents that
/// start again, and stops the runs that its successor has started.
#include "deployment.hh"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <thread>

using namespace review;

namespace
{
	constexpr int tasks = 6;
	constexpr int killed_agents = 2; ///< 0.16 of 14 machines, as in the site file.
	constexpr int may_miss = 1;
	constexpr std::int64_t lasting_work_ms = 600'000;
	constexpr auto takeover_time = millis{10'000};
	constexpr auto settle = millis{1'100};
	constexpr auto longest_cut = millis{5'500}; ///< As in the site file.
	constexpr auto agents_down = millis{500};   ///< The platform starts a killed process again after a short delay.
	constexpr auto freeze = millis{2'500};
	constexpr auto observed = millis{8'000};
	constexpr auto notice = millis{4'500};      ///< notice_ms
	constexpr auto short_start = millis{1'000}; ///< After which a lasting task is certainly at work.

	template <typename Check>
	bool wait_until(Check check, millis timeout)
	{
		const auto until = boottime_now() + timeout;
		while (!check())
		{
			if (boottime_now() >= until)
				return false;
			std::this_thread::sleep_for(millis{20});
		}
		return true;
	}
}

int main(int, char** arguments)
{
	try
	{
		const bool trouble = has_trouble();
		deployment_options options;
		options.serving = true;
		options.worker_cpu_milli.assign(11, 32'000);
		deployment system{options, arguments[1]};
		if (!system.wait_ready())
		{
			system.record("the deployment did not become ready");
			return not_run;
		}
		const int first = system.owner();
		int second = first;
		const auto cut_at = boottime_now();
		if (trouble)
		{
			system.record(absl::StrCat("entry-", first + 1, " owns the jobs; it is cut off from the store"));
			system.cut_from_store(first, true);
			if (!wait_until([&] { return system.owner() != first; }, takeover_time))
			{
				system.record("no other entry took the jobs over");
				return not_run;
			}
			second = system.owner();
			system.record(absl::StrCat("entry-", second + 1, " owns the jobs"));
		}
		const auto id = make_id(0x1a57);
		const auto body = absl::StrCat(R"({"spec":")", lasting_work_ms, R"(","phases":[{"count":)", tasks,
									   R"(,"cpu":480,"memMb":8,"estimateMs":400,"longRunning":true,"antiAffinity":1,)",
									   R"("may_miss":)", may_miss, "}]}");
		if (!system.submit(second, "/check/" + id, body))
			return not_run;
		const auto lasting_runs = [&]
		{
			auto runs = system.started_runs();
			std::erase_if(runs, [&](const auto& run) { return !absl::StartsWith(run.task, id); });
			return runs;
		};
		if (!wait_until([&] { return lasting_runs().size() == tasks; }, takeover_time))
		{
			system.record("the lasting tasks did not start");
			return not_run;
		}
		std::this_thread::sleep_for(settle);
		std::vector<int> hosts;
		for (int i = 0; i < system.workers() && hosts.size() < killed_agents; ++i)
			if (system.with_worker(i,
								   [&](worker_standin& worker)
								   {
									   return std::any_of(worker.started_runs.begin(), worker.started_runs.end(),
														  [&](const auto& run)
														  { return absl::StartsWith(run.task, id); });
								   }))
				hosts.push_back(i);
		if (trouble)
		{
			system.record(
				absl::StrCat("entry-", second + 1, " freezes; the processes beside two of the workers are killed"));
			const auto frozen_at = boottime_now();
			system.entry(second).signal(SIGSTOP);
			std::this_thread::sleep_for(millis{100});
			for (const auto host : hosts)
				system.kill_agent(host);
			std::this_thread::sleep_for(agents_down);
			for (const auto host : hosts)
				system.start_agent(host);
			system.record("the processes beside the workers start again");
			std::this_thread::sleep_for(frozen_at + freeze - boottime_now());
			system.entry(second).signal(SIGCONT);
			std::this_thread::sleep_for(cut_at + longest_cut - boottime_now());
			system.cut_from_store(first, false);
			system.record(absl::StrCat("entry-", second + 1, " wakes"));
		}
		if (trouble)
			system.record(absl::StrCat("entry-", first + 1, " reaches the store again"));
		std::this_thread::sleep_for(observed);
		const auto runs = lasting_runs();
		system.record_runs();
		int violations = 0;
		for (const auto& run : runs)
		{
			// A stop that ends a task at work, while too many others of its step are away.
			if (run.end_state != "stopped" || *run.ended_at - run.started_at < short_start)
				continue;
			int away = 0;
			for (int i = 0; i < tasks; ++i)
			{
				const auto other = task_name(id, i);
				if (other == run.task)
					continue;
				bool stopped = false;
				bool at_work = false;
				for (const auto& candidate : runs)
				{
					if (candidate.task != other)
						continue;
					const bool before = candidate.end_state == "stopped" && *candidate.ended_at <= *run.ended_at &&
										*run.ended_at - *candidate.ended_at < notice;
					stopped = stopped || before;
					at_work = at_work || (candidate.started_at + short_start <= *run.ended_at &&
										  (!candidate.ended_at || *candidate.ended_at > *run.ended_at));
				}
				away += stopped && !at_work ? 1 : 0;
			}
			if (away < may_miss)
				continue;
			++violations;
			system.record(absl::StrCat("AVAIL: a stop ended ", run.task, " run ", run.run, " on ", run.incarnation,
									   " while ", away, " others of its step were away by stops; may_miss is ",
									   may_miss));
		}
		for (int entry = 0; entry < system.entries(); ++entry)
			for (const auto& line : system.log_lines(entry, "stop_ordered"))
				system.record(absl::StrCat("log of entry-", entry + 1, ": ", line));
		system.record(absl::StrCat(violations, " violations"));
		std::cout << violations << " violations\n";
		return violations > 0 ? broken : held;
	}
	catch (const std::exception& fault)
	{
		std::cerr << fault.what() << '\n';
		return not_run;
	}
}
