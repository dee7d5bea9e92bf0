// SPDX-License-Identifier: MIT
/// \file
/// \brief Case 4: a job is cancelled while the store still holds its submission back. See claim.txt.
#include "small_deployment.hh"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <thread>

using namespace review;
using namespace trailjunction;
using namespace trailjunction::testkit;

namespace
{
	// The disruption platform_lost, late: writes get no answer and are done 1 to 6 s later.
	constexpr auto late_by = millis{6'000};
	constexpr auto losing_time = millis{2'900};
	constexpr auto client_leaves_after = millis{900};
	constexpr auto cancel_bound = millis{3'000}; ///< cancel_ms of the rule UNASKED.
	constexpr auto contact_time = millis{3'000}; ///< So long after the last disruption machines are in touch.
	constexpr auto watch_time = millis{14'000};
	constexpr unsigned job_number = 1;
	constexpr int not_answered = 0;
}

static case_result play(case_record& record)
{
	deployment_options options;
	small_deployment system{options, record};
	if (!system.wait_ready())
		return case_result::not_run;
	const auto id = make_job_id(job_number);
	const std::string body = R"({"spec":"300","phases":[{"count":4,"cpu":500,"memMb":256,"estimateMs":300}]})";
	const auto began_at = boottime_now();
	const auto transactions_before = system.with_gate([](row_store_gate& gate) { return gate.total; });
	const auto set_late = [&](const char* table)
	{
		system.with_gate(
			[&](row_store_gate& gate)
			{
				gate.late_table = table;
				gate.late_by = late_by;
				return true;
			});
	};
	if (has_trouble())
	{
		set_late("job_submissions");
		record.add("the store leaves writes of submissions unanswered and does them 6 s later");
	}
	int posted = not_answered;
	std::thread client{[&]
					   {
						   posted = system.call(0, "POST", id, body, client_leaves_after).status;
						   record.add(absl::StrCat("POST ", id, " -> ", posted, posted == 0 ? " (the client has left)" : ""));
					   }};
	client.join();
	const auto cancelled = system.call(1, "DELETE", id);
	const auto acknowledged_at = boottime_now();
	record.add(absl::StrCat("DELETE ", id, " -> ", cancelled.status));
	std::this_thread::sleep_for(std::max(millis{0}, std::chrono::duration_cast<millis>(began_at + losing_time - boottime_now())));
	set_late("");
	const auto calm_since = boottime_now();
	if (has_trouble())
		record.add("the store answers all writes again");
	if (cancelled.status != 410 && cancelled.status / 100 != 2)
		return case_result::not_run;
	std::this_thread::sleep_for(watch_time);
	bool broken = false;
	for (const auto& run : system.started_runs())
	{
		if (run.task.substr(0, id.size()) != id)
			continue;
		const auto after = std::chrono::duration_cast<millis>(run.started_at - acknowledged_at);
		const bool late = after > cancel_bound && run.started_at - calm_since >= contact_time;
		broken = broken || late;
		record.add(absl::StrCat("run ", run.run, " of ", run.task, " started ", after.count(),
								" ms after the cancelling was acknowledged, ",
								std::chrono::duration_cast<millis>(run.started_at - calm_since).count(),
								" ms after the disruption: ", run.end_state, late ? " - UNASKED" : ""));
	}
	const auto lost = system.with_gate([](row_store_gate& gate) { return gate.made_late; });
	const auto all = system.with_gate([](row_store_gate& gate) { return gate.total; }) - transactions_before;
	record.add(absl::StrCat("GET ", id, " -> ", system.state(0, id), "; writes without an answer ", lost, " of ", all));
	record.add(broken ? "UNASKED is broken" : "UNASKED held");
	return broken ? case_result::rule_broken : case_result::rule_held;
}

int main(int argc, char** argv)
{
	return run_case(argc, argv, play);
}
