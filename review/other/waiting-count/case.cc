// SPDX-License-Identifier: MIT
/// \file
/// \brief A worker refuses all starts for a while. Jobs that wait for it are missing in the count of waiting jobs.
#include "deployment.hh"

#include <trailjunction/core/json.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iostream>
#include <thread>

using namespace review;

namespace
{
	constexpr int large_worker = 4;
	constexpr std::int64_t large_claim_milli = 40'000; ///< Fits on the largest worker only, and there once.
	constexpr int work_ms = 1'500;
	constexpr int jobs = 3;
	constexpr int unhealthy_status = 503;
	constexpr std::int64_t trouble_ms = 12'000;
	constexpr std::int64_t observed_ms = 14'000;
	constexpr std::int64_t settled_ms = 5'000; ///< visible_ms and 2 s more.
	constexpr std::int64_t poll_every_ms = 500;

	struct waiting_job
	{
		std::string id;
		std::int64_t accepted_ms{};
	};
}

int main(int, char** arguments)
{
	try
	{
		const bool trouble = has_trouble();
		deployment_options options;
		options.worker_cpu_milli = {32'000, 32'000, 32'000, 32'000, 48'000};
		deployment system{options, arguments[1]};
		system.with_worker(large_worker,
						   [](worker_standin& worker) { return worker.run_cpu_milli = large_claim_milli; });
		if (!system.wait_ready())
		{
			system.record("the deployment did not become ready");
			return not_run;
		}
		if (trouble)
		{
			system.record("the largest worker refuses all starts with 503 from now on");
			system.with_worker(large_worker, [](worker_standin& worker)
							   { return worker.faults.unhealthy_status = unhealthy_status; });
		}
		const auto begin = system.elapsed_ms();
		std::vector<waiting_job> waiting;
		for (int i = 0; i < jobs; ++i)
		{
			const auto id = make_id(0x2000U + static_cast<unsigned>(i));
			const auto body = absl::StrCat(R"({"spec":")", work_ms, R"(","phases":[{"count":1,"cpu":)",
										   large_claim_milli, R"(,"memMb":64,"estimateMs":)", work_ms, "}]}");
			if (system.submit(i % system.entries(), "/merge/" + id, body))
				waiting.push_back({id, system.elapsed_ms()});
		}
		int wrong = 0;
		int asked = 0;
		bool healthy = !trouble;
		while (system.elapsed_ms() - begin < observed_ms)
		{
			if (!healthy && system.elapsed_ms() - begin >= trouble_ms)
			{
				healthy = true;
				system.record("the largest worker is healthy again");
				system.with_worker(large_worker,
								   [](worker_standin& worker) { return worker.faults.unhealthy_status = 0; });
			}
			std::this_thread::sleep_for(millis{poll_every_ms});
			for (int entry = 0; entry < system.entries(); ++entry)
			{
				const auto sent_ms = system.elapsed_ms();
				const auto answer = system.call(entry, "GET", "/merge/", "");
				if (answer.status != 200)
					continue;
				// Jobs that have begun by the answer do not count.
				const auto runs = system.started_runs();
				const auto not_begun =
					std::count_if(waiting.begin(), waiting.end(),
								  [&](const waiting_job& job)
								  {
									  return sent_ms - job.accepted_ms > settled_ms &&
											 std::none_of(runs.begin(), runs.end(),
														  [&](const auto& run)
														  { return run.task.substr(0, job.id.size()) == job.id; });
								  });
				const auto parsed = parse_json(answer.body);
				const auto pending = number_or(parsed->get_object(), "pending", -1);
				++asked;
				if (2 * pending >= not_begun)
					continue;
				++wrong;
				system.record(absl::StrCat("MIXED: entry-", entry + 1, " gives ", pending, " as pending; ", not_begun,
										   " jobs were accepted over ", settled_ms, " ms before and have not begun"));
			}
		}
		system.record_runs();
		system.record(absl::StrCat(asked, " counts, ", wrong, " wrong"));
		std::cout << asked << " counts, " << wrong << " wrong\n";
		return wrong > 0 ? broken : held;
	}
	catch (const std::exception& fault)
	{
		std::cerr << fault.what() << '\n';
		return not_run;
	}
}
