// SPDX-License-Identifier: MIT
/// \file
/// \brief Orders that wait in the sockets of a paused agent.
#include "job_storm.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <functional>
#include <thread>

using namespace trailjunction;
using namespace trailjunction::testkit;

namespace
{
	/// Long enough for an owner that orders at once; one that first waits for the agent's full report orders nothing.
	constexpr auto time_to_order = millis{2'000};
	constexpr auto longest_wait = millis{20'000};
	constexpr auto one_way = millis{100};

	job_cluster_options options_here()
	{
		job_cluster_options out;
		out.programs = storm_programs();
		out.workers = 1;
		out.proxies = true;
		return out;
	}

	bool has_link(job_cluster& system)
	{
		return system.with_proxy(cable::agent_links, 0,
								 [](fault_proxy& proxy) { return proxy.working_connections() == 1; });
	}

	std::size_t links_closed(const job_cluster& system)
	{
		return system.lines_with("link_closed").size();
	}

	/// The agent is paused, a task is ordered over its link, and \p next has an owner dial anew before the agent goes
	/// on. \returns What broke.
	std::string order_before_a_redial(job_cluster& system, const std::function<void()>& next)
	{
		system.with_proxy(cable::agent_links, 0, [](fault_proxy& proxy) { proxy.faults().delay = one_way; });
		// What is under way of the first job arrives.
		std::this_thread::sleep_for(4 * one_way);
		system.agent(0).signal(SIGSTOP);
		storm_job job;
		job.id = "00000000000000a1";
		job.tasks = 1;
		job.work = millis{3'000};
		REQUIRE(system.submit(0, job.id, job.tasks, job.work) == 200);
		const auto task = job.id + "/0/0/0";
		(void)job_cluster::wait_until([&] { return !system.lines_with(task).empty(); }, time_to_order);
		next();
		std::this_thread::sleep_for(2 * one_way);
		// The refusal comes behind the full report, and nothing is refused after it. What is stopped stays for a while.
		constexpr call_slowness behind_report{millis{50}, {}};
		constexpr int until_told = 1'000;
		system.with_worker(0,
						   [&](worker_standin& worker)
						   {
							   worker.faults.starts = behind_report;
							   worker.faults.no_room = until_told;
							   worker.stop_time = millis{900};
						   });
		system.agent(0).signal(SIGCONT);
		const auto is_refused = [&]
		{
			const auto lines = system.lines_with(task);
			return std::any_of(lines.begin(), lines.end(),
							   [](const std::string& line) { return line.find("start_refused") != std::string::npos; });
		};
		CHECK(job_cluster::wait_until(is_refused, longest_wait));
		system.with_worker(0, [](worker_standin& worker) { worker.faults.no_room = 0; });
		auto found = find_unfinished(system, {job});
		if (!found)
			found = find_double_run(system.all_begun());
		return found ? describe(system, *found, {}) : std::string{};
	}
}

TEST_CASE("an order that its worker refused once is not carried out when it comes again", "[process]")
{
	// A paused agent keeps a kernel that accepts its owner's next connection and buffers what comes on it. The owner
	// ordered a run on a connection on which the agent had not said a word. Going on, the agent sent its full report,
	// which did not list that run, so the owner ordered it once more; and it carried out the first order, which the
	// worker refused. For the refusal the owner took the run back and began the task's next run, while the agent
	// carried out the second order: two runs of one task at once.
	job_cluster system{options_here()};
	REQUIRE(system.wait_ready());
	// The second order is on its way while the first one is refused.
	system.with_proxy(cable::agent_links, 0, [=](fault_proxy& proxy) { proxy.faults().delay = one_way; });
	system.agent(0).signal(SIGSTOP);
	system.with_proxy(cable::agent_links, 0, [](fault_proxy& proxy) { proxy.cut_all(); });
	constexpr auto dialled_again = millis{600};
	std::this_thread::sleep_for(dialled_again);
	storm_job job;
	job.id = "00000000000000a1";
	job.tasks = 1;
	job.work = millis{3'000};
	REQUIRE(system.submit(0, job.id, job.tasks, job.work) == 200);
	(void)job_cluster::wait_until([&] { return !system.lines_with(job.id + "/0/0/0").empty(); }, time_to_order);
	std::this_thread::sleep_for(2 * one_way);
	system.with_worker(0, [](worker_standin& worker) { worker.faults.no_room = 1; });
	system.agent(0).signal(SIGCONT);
	auto found = find_unfinished(system, {job});
	if (!found)
		found = find_double_run(system.all_begun());
	INFO((found ? describe(system, *found, {}) : std::string{}));
	CHECK(!found);
}

TEST_CASE("an order that waited in the link before the present one is not carried out after its refusal", "[process]")
{
	// An agent was paused just before its owner ordered a task. The owner heard nothing more, closed the link and
	// dialled again; the kernel kept the order for the agent and took the next connection. Going on, the agent read the
	// order out of the closed link, which its worker refused, and the claim out of the open one, which it answered with
	// its full report. The full report did not list the run, so the owner ordered it once more; then it read the
	// refusal and began the task's next run, while the agent carried out the order that came again: two runs of one
	// task at once.
	job_cluster system{options_here()};
	REQUIRE(system.wait_ready());
	const auto found =
		order_before_a_redial(system,
							  [&, before = links_closed(system)] {
								  REQUIRE(job_cluster::wait_until(
									  [&] { return links_closed(system) > before && has_link(system); }, longest_wait));
							  });
	INFO(found);
	CHECK(found.empty());
}

TEST_CASE("an order of an owner that has left is not carried out after its refusal", "[process]")
{
	// As above, but the owner was ended while the agent was paused. The next owner knew the run from the store and
	// ordered it again for the full report, so the first order came from the one and the second from the other.
	job_cluster system{options_here()};
	REQUIRE(system.wait_ready());
	const auto found = order_before_a_redial(
		system,
		[&]
		{
			const int first = system.owner();
			REQUIRE(first >= 0);
			system.entry(first).signal(SIGTERM);
			REQUIRE(job_cluster::wait_until(
				[&] { return system.owner() >= 0 && system.owner() != first && has_link(system); }, longest_wait));
			system.restart_entry(first);
		});
	INFO(found);
	CHECK(found.empty());
}
