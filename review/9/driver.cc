/// \file
/// \brief Case 9: one accepted job of many tasks stops the whole deployment.
#include <site.hh>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>
#include <thread>

using namespace review;

namespace
{
	// The largest jobs that the site files name: 160 tasks wide (width.max), 5 steps (steps.max), 8 times (times).
	constexpr int width = 160;
	constexpr int steps = 5;
	constexpr int times = 8;
	constexpr int interval_ms = 2'000;
	constexpr auto idle_limit = millis{3'000};  // LOST: "a job has nothing running for 3 s"
	constexpr auto watched_for = millis{60'000}; // for new work beside the large job
	constexpr auto finish = millis{14'000};      // finish_s

	std::string steps_of(int count)
	{
		std::string out;
		for (int i = 0; i < count; ++i)
			absl::StrAppend(&out, i == 0 ? "" : ",", R"({"count":)", width,
							R"(,"cpu":250,"memMb":16,"estimateMs":100)", i == 0 ? "" : absl::StrCat(R"(,"afterRev":[)", i - 1, "]"),
							"}");
		return out;
	}

	std::string large_job(std::int64_t start_ms)
	{
		return absl::StrCat(R"({"spec":"100","phases":[)", steps_of(steps), R"(],"repeatCount":)", times,
							R"(,"startAtMs":)", start_ms, R"(,"intervalMs":)", interval_ms, "}");
	}

	std::string one_occurrence(std::int64_t start_ms, int number)
	{
		return absl::StrCat(R"({"spec":"100","phases":[)", steps_of(steps),
							R"(],"repeatCount":1,"startAtMs":)", start_ms + number * interval_ms,
							R"(,"intervalMs":)", interval_ms, "}");
	}

	const std::string small_job = R"({"spec":"100","phases":[{"count":2,"cpu":250,"memMb":16,"estimateMs":100}]})";

	struct accepted_job
	{
		std::string id;
		instant accepted_at;
	};
}

int main(int argc, char** argv)
{
	if (argc != 3)
		return could_not_run;
	recorder record{argv[2]};
	site_options options;
	options.programs = argv[1];
	site system{options, record};
	if (!system.wait_ready())
	{
		record.line("the deployment did not become ready");
		return could_not_run;
	}
	const bool trouble = with_trouble();
	const auto start_ms = unix_ms() + 1'000;
	if (trouble)
	{
		if (system.submit(0, job_id_of(0xb000), large_job(start_ms)) != 200)
			return could_not_run;
	}
	else // the same tasks at the same times, as a job for each time
		for (int i = 0; i < times; ++i)
			if (system.submit(0, job_id_of(0xb000 + static_cast<std::uint64_t>(i)), one_occurrence(start_ms, i)) != 200)
				return could_not_run;

	std::vector<accepted_job> small;
	const auto until = boottime_now() + watched_for;
	for (std::uint64_t number = 1; boottime_now() < until; ++number)
	{
		const auto id = job_id_of(0xa000 + number);
		if (system.submit(static_cast<int>(number % 3), id, small_job) == 200)
			small.push_back({id, boottime_now()});
		std::this_thread::sleep_for(millis{1'000});
		if (number % 5 == 0)
			record.line(system.with_store(
				[&](memory_store&, limited_store& store)
				{
					return absl::StrCat("store: largest value ", store.largest_value, " bytes, ",
										store.refused_transactions, " transactions beyond a limit refused, the latest for ",
										store.last_refusal.empty() ? "nothing" : store.last_refusal);
				}));
		if (number % 5 == 0)
			record.line(absl::StrCat("workers: ", system.started_runs().size(), " starts so far, ", system.at_work(),
									 " tasks at work; owner: entry ", system.owner() + 1));
	}
	std::this_thread::sleep_for(finish);

	// What clients and workers have seen.
	std::map<std::string, std::size_t> starts;
	std::map<std::string, std::size_t> ends;
	instant last_start{};
	for (const auto& run : system.started_runs())
	{
		const auto job = run.task.substr(0, run.task.find('.'));
		++starts[job];
		ends[job] += run.end_state == "done" ? 1 : 0;
		last_start = std::max(last_start, run.started_at);
	}
	std::size_t lost = 0;
	for (const auto& job : small)
	{
		const auto state = system.state(0, job.id);
		const bool never_begun = starts[job.id] == 0 && boottime_now() - job.accepted_at > idle_limit;
		if (never_begun || state != "completed")
			record.line(absl::StrCat("accepted job ", job.id, ": state ", state, ", ", starts[job.id], " starts, ",
									 ends[job.id], " done"));
		lost += never_begun ? 1 : 0;
	}
	const auto large_tasks = static_cast<std::size_t>(width * steps * times);
	std::size_t large_done = 0;
	for (std::uint64_t i = 0; i < times; ++i)
		large_done += ends[job_id_of(0xb000 + i)];
	record.line(absl::StrCat("large work: ", large_done, " of ", large_tasks, " tasks done; state of ",
							 job_id_of(0xb000), ": ", system.state(0, job_id_of(0xb000))));
	record.line(absl::StrCat("tasks at work now: ", system.at_work(), "; the latest start was ",
							 std::chrono::duration_cast<millis>(boottime_now() - last_start).count(), " ms ago"));
	record.line(absl::StrCat(lost, " of ", small.size(), " accepted small jobs were never begun"));
	const bool broken = lost > 0 || large_done < large_tasks;
	record.line(broken ? "LOST: broken" : "LOST: held");
	return broken ? rule_broken : rule_held;
}
