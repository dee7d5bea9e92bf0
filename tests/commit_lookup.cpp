// SPDX-License-Identifier: MIT
/// \file
/// \brief Transactions whose answer is late or lost: looked up by a read, and rarely sent again.
#include "job_term_fixture.hpp"

#include <trailjunction/store/commit_lookup.hpp>

#include <absl/container/flat_hash_set.h>

using namespace trailjunction;
using namespace trailjunction::job_term_fixture;

namespace
{
	/// Entries that submit jobs to one store; each job goes through another entry.
	struct submitting_fleet
	{
		void submit(std::size_t number, millis time)
		{
			gateways.push_back(std::make_unique<job_gateway>(io, store, metrics));
			boost::asio::co_spawn(
				io,
				[this, &gateway = *gateways.back(), number, time]() -> boost::asio::awaitable<void>
				{
					auto queue = some_queue();
					auto spec = one_task();
					const auto id = absl::StrFormat("%016x", number);
					const auto result =
						co_await gateway.submit(std::move(queue), job_id{id}, std::move(spec), boottime_now() + time);
					outcomes.push_back(result.outcome);
				},
				boost::asio::detached);
		}

		job_call_outcome submit_one()
		{
			submit(1, millis{3'000});
			REQUIRE(run_until_answered(1));
			return outcomes.front();
		}

		void run_for(millis time)
		{
			const auto end = boottime_now() + time;
			io.restart();
			while (boottime_now() < end)
				io.run_one_for(millis{5});
		}

		bool run_until_answered(std::size_t jobs)
		{
			const auto end = boottime_now() + test_timeout;
			io.restart();
			while (outcomes.size() < jobs && boottime_now() < end)
				io.run_one_for(millis{5});
			return outcomes.size() == jobs;
		}

		boost::asio::io_context io{1};
		memory_store store{io};
		process_metrics metrics;
		std::vector<std::unique_ptr<job_gateway>> gateways;
		std::vector<job_call_outcome> outcomes;
	};

	/// Numbers of the owner row's writes among the transactions from \p first on.
	std::vector<std::int64_t> owner_sequences(const memory_store& store, std::size_t first)
	{
		std::vector<std::int64_t> out;
		for (auto i = first; i < store.requested_commits.size(); ++i)
			for (const auto& row : store.requested_commits[i].put)
				if (row.name.table == owner_table)
					if (const auto owner = decode_ownership(row.value); owner.ok())
						out.push_back(owner->sequence);
		return out;
	}
}

TEST_CASE("the answer to a transaction is awaited for a multiple of the usual time", "[store]")
{
	const lookup_policy policy;
	commit_latency latency;
	CHECK(answer_wait(latency, policy) == policy.first_wait);
	record_latency(latency, millis{30});
	CHECK(answer_wait(latency, policy) == millis{120});
	record_latency(latency, millis{4});
	CHECK(answer_wait(latency, policy) < millis{120});
	for (int i = 0; i < 100; ++i)
		record_latency(latency, millis{1});
	CHECK(answer_wait(latency, policy) == policy.min_wait);
	for (int i = 0; i < 100; ++i)
		record_latency(latency, millis{400});
	CHECK(answer_wait(latency, policy) == policy.max_wait);
}

TEST_CASE("a transaction is sent again soon if the store answers lookups quickly, and late if it is slow", "[store]")
{
	const lookup_policy policy;
	CHECK_FALSE(should_resend(millis{100}, millis{4}, policy));
	CHECK(should_resend(policy.min_resend, millis{4}, policy));
	CHECK_FALSE(should_resend(millis{1'400}, millis{240}, policy));
	CHECK(should_resend(millis{1'920}, millis{240}, policy));
}

TEST_CASE("a submission whose answer is lost is found by a read and not sent again", "[jobs]")
{
	submitting_fleet fleet;
	fleet.store.faults.lost_responses = 1;
	CHECK(fleet.submit_one() == job_call_outcome::done);
	CHECK(fleet.store.requested_commits.size() == 1);
}

TEST_CASE("a submission that never reached the store is sent again", "[jobs]")
{
	submitting_fleet fleet;
	fleet.store.faults.lost_responses = 1;
	fleet.store.faults.discard_lost_commits = true;
	CHECK(fleet.submit_one() == job_call_outcome::done);
	CHECK(fleet.store.requested_commits.size() == 2);
}

TEST_CASE("a store that is 60 times slower takes the submissions of a whole fleet, each once", "[jobs]")
{
	// Submissions that were sent again while they were queued filled the partitions, and others were refused.
	submitting_fleet fleet;
	fleet.store.faults.transaction_duration = millis{200};
	fleet.store.faults.answer_delay = millis{240};
	fleet.store.faults.late_commits = true;
	fleet.store.faults.read_duration = millis{240};
	constexpr std::size_t jobs = 80;
	for (std::size_t i = 0; i < jobs; ++i)
	{
		fleet.submit(i, millis{3'000});
		fleet.run_for(millis{50}); // 20 jobs a second
	}
	REQUIRE(fleet.run_until_answered(jobs));
	CHECK(std::count(fleet.outcomes.begin(), fleet.outcomes.end(), job_call_outcome::done) == jobs);
	CHECK(fleet.store.requested_commits.size() == jobs);
}

TEST_CASE("an owner finds transactions whose answers are lost by a read and sends each once", "[jobs]")
{
	// An owner that waited for each lost answer ordered few starts, and lost its row.
	scene fixture;
	fixture.begin_term();
	REQUIRE(fixture.run_until([&] { return !fixture.agent.received_confirms.empty(); }));
	const auto first = fixture.store.requested_commits.size();
	fixture.store.faults.lost_responses = 20;
	fixture.submit(first_job, one_task());
	REQUIRE(fixture.run_until([&] { return fixture.store.faults.lost_responses == 0; }));
	CHECK(fixture.run_until([&] { return !fixture.agent.received_starts.empty(); }));
	const auto sequences = owner_sequences(fixture.store, first);
	CHECK(sequences.size() >= 20);
	CHECK(absl::flat_hash_set<std::int64_t>(sequences.begin(), sequences.end()).size() == sequences.size());
	CHECK_FALSE(fixture.term_over);
}
