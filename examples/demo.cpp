// SPDX-License-Identifier: MIT
/// \file
/// \brief Demo of the main functions with two entries and three agents in two data centres, including process failures.
#include <trailjunction/testkit/cluster.hpp>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <string>

using namespace trailjunction;
using namespace trailjunction::testkit;

namespace
{
	/// Prints the result of each step and records whether all steps passed.
	class step_report
	{
	public:
		void step(const std::string& what, bool passed, const std::string& outcome)
		{
			std::cout << (passed ? "  ok    " : "  FAILED ") << what << ": " << outcome << "\n";
			all_passed_ = all_passed_ && passed;
		}
		[[nodiscard]] bool all_passed() const noexcept
		{
			return all_passed_;
		}

	private:
		bool all_passed_{true};
	};

	std::string message_of(const command_response& answer)
	{
		for (const auto* name : {"message", "error"})
			if (const auto* text = answer.body.if_contains(name); text != nullptr && text->is_string())
				return std::string{text->get_string()};
		return answer.text;
	}

	void show_requests(step_report& report, cluster& system)
	{
		int done = 0;
		constexpr int checks = 40;
		for (int i = 0; i < checks; ++i)
		{
			const auto job = "check-" + std::to_string(i);
			const auto result = system.request(i % 2, {"GET", "/tally/check?ms=2", {{"X-Job", job}}, ""});
			if (result.delivery == delivery_status::answered && result.response.body.rfind(job + " ", 0) == 0)
				++done;
		}
		report.step("short requests through both entries", done == checks,
					std::to_string(done) + " of " + std::to_string(checks) +
						" got the complete response to their own request");
	}

	void show_command(step_report& report, cluster& system, const std::string& what, const std::string& command)
	{
		const auto answer = system.command(0, command);
		report.step(what, answer.status == 200, message_of(answer));
	}

	void show_tasks(step_report& report, cluster& system)
	{
		show_command(report, system, "create the service tally-api with 2 replicas",
					 "submit service tally-api replicas 2 account sirr cpu 500 memory 256 command forever");
		show_command(report, system, "submit a merge, which must not run twice",
					 "submit task merge-1 account sirr kind merge command \"work 400\" repeatable no");
		show_command(report, system, "submit a watcher, which runs without end",
					 "submit task watcher-1 account sirr kind watcher command forever");
		const bool merged =
			cluster::wait_until([&] { return system.task_field("merge-1", "phase") == "finished"; }, millis{10'000});
		report.step("the merge finishes", merged, "merge-1 is " + system.task_field("merge-1", "phase"));
		const bool watching =
			cluster::wait_until([&] { return !system.task_field("watcher-1", "checkpoint").empty(); }, millis{10'000});
		report.step("the watcher runs and has a checkpoint", watching,
					"on " + system.task_field("watcher-1", "worker") + ", checkpoint " +
						system.task_field("watcher-1", "checkpoint"));
		const auto why = system.command(1, "why task watcher-1");
		report.step("ask the other entry for the reason of the placement", why.status == 200, message_of(why));
	}

	void show_drain(step_report& report, cluster& system)
	{
		const auto from = system.task_field("watcher-1", "worker");
		show_command(report, system, "drain the watcher's worker", "drain worker " + from);
		const bool moved = cluster::wait_until(
			[&]
			{
				const auto to = system.task_field("watcher-1", "worker");
				return !to.empty() && to != from && system.task_field("watcher-1", "run") == "2";
			},
			millis{15'000});
		report.step("the watcher is checkpointed, moved and resumed exactly once", moved,
					"run " + system.task_field("watcher-1", "run") + " on " + system.task_field("watcher-1", "worker"));
		show_command(report, system, "undrain the worker", "undrain worker " + from);
	}

	void show_configuration(step_report& report, cluster& system)
	{
		const auto changed = system.command(0, "set /requests/slots 6");
		report.step("change the configuration", changed.status == 200, message_of(changed));
		const auto version = std::to_string(changed.body.at("version").to_number<std::int64_t>());
		const bool everywhere = cluster::wait_until(
			[&]
			{
				const auto answer = system.command(1, "show workers where config >= " + version);
				return answer.status == 200 && answer.body.at("table").at("rows").as_array().size() ==
												   static_cast<std::size_t>(system.worker_count());
			},
			millis{5'000});
		report.step("the configuration is in force on every agent", everywhere,
					"version " + version + " on all workers within 5 s");
		const auto racing = system.command(1, "set /requests/slots 7 if version 1");
		report.step("a change based on an outdated version is refused", racing.status == 409, message_of(racing));
	}

	void show_agent_crash(step_report& report, cluster& system)
	{
		const auto on = system.task_field("watcher-1", "worker");
		system.worker(on).agent.kill();
		const bool resumed = cluster::wait_until(
			[&]
			{
				const auto to = system.task_field("watcher-1", "worker");
				return to != on && !to.empty() && system.task_field("watcher-1", "run") == "3" &&
					   system.task_field("watcher-1", "phase") == "running";
			},
			millis{20'000});
		report.step("kill -9 the watcher's agent", resumed,
					"the old run was fenced until its lease ended and resumed once as run " +
						system.task_field("watcher-1", "run") + " on " + system.task_field("watcher-1", "worker"));
		int answered = 0;
		constexpr int checks = 20;
		for (int i = 0; i < checks; ++i)
			if (system.request(i % 2, {"GET", "/tally/check", {}, ""}).response.status == 200)
				++answered;
		report.step("requests continue on the remaining workers", answered == checks,
					std::to_string(answered) + " of " + std::to_string(checks) + " answered");
	}

	void show_entry_crash(step_report& report, cluster& system)
	{
		system.entry(0).process.kill();
		const auto began = boottime_now();
		const bool accepted = cluster::wait_until(
			[&] {
				return system.command(1, "submit task urgent-1 account sirr urgency urgent command \"work 100\"")
						   .status == 200;
			},
			millis{10'000});
		const bool finished =
			accepted &&
			cluster::wait_until([&] { return system.task_field("urgent-1", "phase") == "finished"; }, millis{10'000});
		const auto took = std::chrono::duration_cast<millis>(boottime_now() - began).count();
		report.step("kill -9 an entry; the other entry takes over its shards", finished,
					"an urgent task finished " + std::to_string(took) + " ms after the kill");
	}
}

int main()
{
	std::cout
		<< "trailjunction: 2 entries, 3 agents in 2 data centres, with stand-ins for the platform and the upstreams\n";
	cluster_options options;
	options.programs = TRAILJUNCTION_PROGRAMS;
	cluster system{options};
	step_report report;
	report.step("start all processes", system.wait_ready(), "all processes are ready");
	if (!report.all_passed())
	{
		std::cout << system.logs();
		return 1;
	}
	show_requests(report, system);
	show_tasks(report, system);
	show_drain(report, system);
	show_configuration(report, system);
	show_agent_crash(report, system);
	show_entry_crash(report, system);
	const auto violations = system.violations();
	report.step("no task ran in two places at once and no worker exceeded its capacity", violations.empty(),
				violations.empty() ? "the platform recorded no violation" : violations.front());
	std::cout << (report.all_passed() ? "all steps passed\n" : "at least one step failed\n");
	if (!report.all_passed())
		std::cout << system.logs();
	return report.all_passed() ? 0 : 1;
}
