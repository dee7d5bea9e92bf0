// SPDX-License-Identifier: MIT
/// \file
/// \brief Standbys and the lease that an owner states in its row.
#include "job_term_fixture.hpp"

using namespace trailjunction;
using namespace trailjunction::job_term_fixture;

TEST_CASE("a row that states a senseless lease is not taken over at once", "[jobs]")
{
	const auto lease_ms = GENERATE(std::int64_t{0}, std::int64_t{-5});
	boost::asio::io_context io{1};
	memory_store store{io};
	job_entry_settings settings;
	settings.member = member_id{"entry-2"};
	const auto evacuations = platform::make_evacuation_rows();
	process_metrics metrics;
	job_owner standby{io, settings, store, evacuations, metrics, [](queue_depths) {
					  }};
	stored::ownership row;
	row.epoch = 3;
	row.member = "entry-1";
	row.__set_lease_ms(lease_ms);
	store.put(job_partition, owner_table, owner_key, encode_ownership(row));
	boost::asio::co_spawn(io, standby.run(), boost::asio::detached);
	const auto until = boottime_now() + ownership_times_of(settings).lease / 2;
	while (boottime_now() < until)
		io.run_one_for(millis{10});
	CHECK(store.requested_commits.empty());
}
