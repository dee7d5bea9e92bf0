/// \file
/// \brief Case 13: a job whose due time has a fraction of a millisecond is started at once.
#include <site.hh>

#include <absl/strings/str_cat.h>

#include <thread>

using namespace review;

namespace
{
	constexpr std::int64_t ahead_ms = 15'000;
	constexpr std::int64_t early_ms = 250;
	constexpr int interval_ms = 3'000;
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
	const auto due_ms = unix_ms() + ahead_ms;
	// What a client sends that multiplies its clock's seconds by 1,000; without the disruption it rounds.
	const auto due = absl::StrCat(due_ms, with_trouble() ? ".25" : "");
	const auto id = job_id_of(0xc001);
	if (system.submit(0, id, absl::StrCat(R"({"spec":"100","phases":[{"count":2,"cpu":250,"memMb":16,"estimateMs":100}],)",
										  R"("repeatCount":2,"startAtMs":)", due, R"(,"intervalMs":)", interval_ms, "}")) != 200)
	{
		record.line("the job was not accepted");
		return rule_held;
	}
	const auto now = boottime_now();
	const auto now_ms = unix_ms();
	std::this_thread::sleep_for(millis{ahead_ms + interval_ms + 2'000});
	std::size_t early = 0;
	std::size_t starts = 0;
	for (const auto& run : system.started_runs())
	{
		if (run.task.compare(0, id.size(), id) != 0)
			continue;
		const int occurrence = run.task[id.size() + 1] - '0';
		const auto started_ms = now_ms + std::chrono::duration_cast<millis>(run.started_at - now).count();
		const auto late_ms = started_ms - (due_ms + occurrence * interval_ms);
		++starts;
		early += late_ms < -early_ms ? 1 : 0;
		record.line(absl::StrCat("worker: ", run.task, " run ", run.run, " started ", late_ms, " ms after its time"));
	}
	record.line(absl::StrCat("state of the job: ", system.state(0, id)));
	if (starts == 0)
		return could_not_run;
	record.line(absl::StrCat(early, " of ", starts, " starts were more than ", early_ms, " ms early"));
	record.line(early > 0 ? "ORDER: broken" : "ORDER: held");
	return early > 0 ? rule_broken : rule_held;
}
