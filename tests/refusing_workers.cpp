// SPDX-License-Identifier: MIT
/// \file
/// \brief Placement while many workers refuse the starts that their owner orders.
#include "job_term_fixture.hpp"

#include <absl/strings/str_cat.h>

#include <memory>
#include <vector>

using namespace trailjunction;
using namespace trailjunction::job_term_fixture;

namespace
{
	constexpr const char* preferred_rack = "r1";

	/// An owner, agents whose workers refuse every start for one reason, and one agent whose worker takes it.
	struct refusing_fleet : owner_fixture
	{
		refusing_fleet(std::size_t refusing_count, start_refusal refusal) : reason{refusal}
		{
			settings.member = member_id{"entry-1"};
			for (std::size_t i = 0; i < refusing_count; ++i)
				refusing_agents.push_back(add_agent(absl::StrCat("agent-", i), preferred_rack));
			accepting_agent = add_agent("agent-with-room", "r2");
			handled_starts.resize(refusing_count);
		}

		std::unique_ptr<agent_standin> add_agent(const std::string& name, const std::string& rack)
		{
			auto out = std::make_unique<agent_standin>(io);
			out->full_report = report_of(absl::StrCat("worker-of-", name));
			out->full_report.labels = {"a", rack};
			stored::agent row;
			row.address = to_string(out->link_address());
			store.put(agent_partition, agents_table, name, encode_agent(row));
			return out;
		}

		void submit_long_running_task()
		{
			auto spec = one_task();
			spec.groups[0].long_running = true;
			spec.groups[0].preferred_rack = preferred_rack;
			store.put(submission_partition(job_id{first_job}), submissions_table, first_job,
					  encode_submission(some_queue(), spec));
		}

		/// The regular reports, which keep the links and the leases.
		void send_regular_reports()
		{
			constexpr auto report_interval = millis{400};
			const auto now = boottime_now();
			if (now - reported_at < report_interval)
				return;
			reported_at = now;
			for (const auto& agent : refusing_agents)
				agent->send_report(next_report(*agent));
			accepting_agent->send_report(next_report(*accepting_agent));
		}

		static wire::job_report next_report(const agent_standin& agent)
		{
			auto out = agent.full_report;
			out.full = false;
			out.stamp_ms = to_millis(boottime_now());
			return out;
		}

		void refuse_starts()
		{
			for (std::size_t i = 0; i < refusing_agents.size(); ++i)
			{
				auto& agent = *refusing_agents[i];
				for (; handled_starts[i] < agent.received_starts.size(); ++handled_starts[i])
				{
					auto report = next_report(agent);
					const auto run_id = from_wire(agent.received_starts[handled_starts[i]].what);
					report.refused.push_back(to_wire(refused_run{run_id, reason}));
					agent.send_report(std::move(report));
				}
			}
		}

		template <typename Until>
		bool run_until(Until until)
		{
			const auto end = boottime_now() + test_timeout;
			while (!until() && boottime_now() < end)
			{
				io.run_one_for(millis{2});
				send_regular_reports();
				refuse_starts();
			}
			return until();
		}

		[[nodiscard]] bool has_confirmed_all() const
		{
			return !accepting_agent->received_confirms.empty() &&
				   std::none_of(refusing_agents.begin(), refusing_agents.end(),
								[](const auto& agent) { return agent->received_confirms.empty(); });
		}

		start_refusal reason;
		std::vector<std::unique_ptr<agent_standin>> refusing_agents;
		std::unique_ptr<agent_standin> accepting_agent;
		std::vector<std::size_t> handled_starts; ///< By refusing agent.
		instant reported_at{};
	};
}

TEST_CASE("a task reaches a worker with room although many preferred workers keep refusing it", "[jobs]")
{
	// Guards against a cycle: the first worker that refused is tried again before all others have been tried.
	refusing_fleet test{40, GENERATE(start_refusal::no_room, start_refusal::unhealthy, start_refusal::never_started)};
	test.begin_term();
	REQUIRE(test.run_until([&] { return test.has_confirmed_all(); }));
	test.submit_long_running_task();
	CHECK(test.run_until([&] { return !test.accepting_agent->received_starts.empty(); }));
}
