// SPDX-License-Identifier: MIT
/// \file
/// \brief Tests of the rows of an owner whose statistics exceed one row.
#include "job_term_fixture.hpp"

using namespace trailjunction;
using namespace trailjunction::testkit;
using namespace trailjunction::job_term_fixture;

namespace
{
	constexpr std::size_t many_queues = 450;

	std::string long_name(std::size_t number)
	{
		return absl::StrFormat("queue-%04d-", number) + std::string(190, 'q');
	}

	/// Submits one job to each of many queues; no worker serves any of them.
	void submit_to_many_queues(scene& fixture)
	{
		for (std::size_t i = 0; i < many_queues; ++i)
		{
			auto queue = some_queue();
			queue.queue = queue_id{long_name(i)};
			queue.service = service_id{"absent"};
			const job_id id{absl::StrFormat("%016x", 0x1000 + i)};
			fixture.store.put(submission_partition(id), submissions_table, id.str(),
							  encode_submission(queue, one_task()));
		}
	}
}

TEST_CASE("another member reads the counts of waiting jobs of many queues", "[jobs]")
{
	scene fixture;
	submit_to_many_queues(fixture);
	job_entry_settings settings;
	settings.member = member_id{"entry-2"};
	std::optional<queue_depths> latest;
	job_owner standby{fixture.io,
					  settings,
					  fixture.store,
					  fixture.evacuations,
					  fixture.metrics,
					  [&](queue_depths depths)
					  {
						  latest = std::move(depths);
					  }};
	fixture.begin_term();
	boost::asio::co_spawn(fixture.io, standby.run(), boost::asio::detached);
	REQUIRE(fixture.run_until([&] { return latest && latest->waiting.size() == many_queues; }));
	for (std::size_t i = 0; i < many_queues; ++i)
		REQUIRE(latest->waiting[queue_id{long_name(i)}] == 1);
}

TEST_CASE("counts of waiting jobs that exceed the rows of the owner are left out altogether", "[jobs]")
{
	stored::ownership row;
	row.epoch = 3;
	row.loaded = true;
	row.room.made_ms = 7;
	for (std::size_t i = 0; i < many_queues; ++i)
	{
		stored::queue_depth depth;
		depth.name = long_name(i);
		depth.waiting = static_cast<std::int64_t>(i);
		row.depths.push_back(depth);
	}
	CHECK(encode_ownership(row, 1'000'000, 1).size() == 1);
	const auto complete = encode_ownership(row, 65'536, 4);
	REQUIRE(complete.size() == 4); // the owner's, two with depths, one with the forecast
	auto read = decode_ownership(complete.front()).value();
	CHECK(read.loaded);
	for (std::size_t i = 1; i < complete.size(); ++i)
	{
		CHECK(complete[i].size() <= 65'536);
		REQUIRE(decode_further_ownership(read, complete[i]).ok());
	}
	CHECK(read.depths == row.depths);
	CHECK(read.room.made_ms == 7);
	CHECK(!decode_further_ownership(read, "no row").ok());
	const auto without_depths = encode_ownership(row, 65'536, 2);
	REQUIRE(without_depths.size() == 2);
	CHECK(!decode_ownership(without_depths.front()).value().loaded);
	CHECK(decode_ownership(without_depths.front()).value().epoch == 3);
	CHECK(encode_ownership(row, 65'536, 1).size() == 1);
}

// Guards against the loss of the lease because the names of many queues exceed the store's row limit.
TEST_CASE("tasks start although the counts of waiting jobs of many queues exceed a row", "[jobs]")
{
	scene fixture;
	submit_to_many_queues(fixture);
	fixture.begin_term();
	fixture.submit(first_job, one_task());
	REQUIRE(fixture.run_until([&] { return fixture.agent.received_starts.size() == 1; }));
	CHECK(fixture.store.rejections.empty());
	CHECK(!fixture.term_over);
}
