// SPDX-License-Identifier: MIT
/// \file
/// \brief Heartbeats of another writer, under the ids of the workers, name a service that is not theirs. The workers
/// get no work any more, although their own heartbeats go on.
#include "deployment.hh"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iostream>
#include <thread>

using namespace review;

namespace
{
	constexpr int jobs = 5;
	constexpr int tasks = 2;
	constexpr int work_ms = 300;
	constexpr std::int64_t foreign_sequence = 1'000'000;
	constexpr auto pause_before_jobs = millis{500};
	constexpr auto observed = millis{20'000};

	std::string foreign_heartbeat()
	{
		return absl::StrCat(R"({"service":"no-such","address":"127.0.0.1:9","zone":"x","version":"v1","slots":8,)",
							R"("state":"ready","coldLeftMs":0,"capacity":{"cpu":32000,"memMb":16000,"gpus":0},)",
							R"("labels":["a","r1-1"],"clockMs":1000,"seq":)", foreign_sequence, "}");
	}
}

int main(int, char** arguments)
{
	try
	{
		deployment_options options;
		options.worker_cpu_milli = {32'000, 32'000};
		deployment system{options, arguments[1]};
		// As on the small sites, where workers do not state when they started.
		for (int i = 0; i < system.workers(); ++i)
			system.with_worker(i, [](worker_standin& worker) { return worker.sends_start_time = false; });
		if (!system.wait_ready())
			return not_run;
		for (int i = 0; has_trouble() && i < system.workers(); ++i)
		{
			const auto id = system.with_worker(i, [](worker_standin& worker) { return worker.id(); });
			const auto status = system.put_heartbeat(i, id, foreign_heartbeat());
			system.record(absl::StrCat("a foreign heartbeat for ", id, " -> ", status));
		}
		std::this_thread::sleep_for(pause_before_jobs);
		const auto body = absl::StrCat(R"({"spec":")", work_ms, R"(","phases":[{"count":)", tasks,
									   R"(,"cpu":480,"memMb":8,"estimateMs":)", work_ms, "}]}");
		std::vector<std::string> accepted;
		for (unsigned i = 0; i < jobs; ++i)
			if (const auto id = make_id(0x500U + i); system.submit(0, "/check/" + id, body))
				accepted.push_back(id);
		std::this_thread::sleep_for(observed);
		for (const auto& id : accepted)
			(void)system.call(0, "GET", "/check/" + id, "");
		const auto runs = system.started_runs();
		const auto idle =
			std::count_if(accepted.begin(), accepted.end(),
						  [&](const std::string& id)
						  {
							  return std::none_of(runs.begin(), runs.end(),
												  [&](const auto& run) { return run.task.substr(0, id.size()) == id; });
						  });
		system.record_runs();
		system.record(absl::StrCat("LOST: ", idle, " of ", accepted.size(), " accepted jobs had nothing running for ",
								   observed.count(), " ms, beside workers without any work"));
		std::cout << idle << " of " << accepted.size() << " accepted jobs never began\n";
		return idle > 0 ? broken : held;
	}
	catch (const std::exception& fault)
	{
		std::cerr << fault.what() << '\n';
		return not_run;
	}
}
