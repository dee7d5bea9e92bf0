// SPDX-License-Identifier: MIT
/// \file
/// \brief Orders that wait in the sockets of a paused agent.
#include "job_storm.hpp"

#include <catch2/catch.hpp>

#include <csignal>
#include <thread>

using namespace trailjunction;
using namespace trailjunction::testkit;

TEST_CASE("an order that its worker refused once is not carried out when it comes again", "[process]")
{
	// A paused agent keeps a kernel that accepts its owner's next connection and buffers what comes on it. The owner
	// ordered a run on a connection on which the agent had not said a word. Going on, the agent sent its full report,
	// which did not list that run, so the owner ordered it once more; and it carried out the first order, which the
	// worker refused. For the refusal the owner took the run back and began the task's next run, while the agent
	// carried out the second order: two runs of one task at once.
	job_cluster_options options;
	options.programs = TRAILJUNCTION_PROGRAMS;
	options.workers = 1;
	options.proxies = true;
	job_cluster system{options};
	REQUIRE(system.wait_ready());
	// The second order is on its way while the first one is refused.
	constexpr auto one_way = millis{100};
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
	REQUIRE(job_cluster::wait_until([&] { return !system.lines_with(job.id + "/0/0/0").empty(); }, millis{20'000}));
	std::this_thread::sleep_for(2 * one_way);
	system.with_worker(0, [](worker_standin& worker) { worker.faults.no_room = 1; });
	system.agent(0).signal(SIGCONT);
	auto found = find_unfinished(system, {job});
	if (!found)
		found = find_double_run(system.all_begun());
	INFO((found ? describe(system, *found, {}) : std::string{}));
	CHECK(!found);
}
