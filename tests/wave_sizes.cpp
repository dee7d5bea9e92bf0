// SPDX-License-Identifier: MIT
/// \file
/// \brief Tests of the size of the rows with the progress of waves.
#include "job_fixtures.hpp"

using namespace trailjunction;

namespace
{
	constexpr std::size_t row_bytes = 65'536;

	upkeep_wave wave_of(std::size_t instances)
	{
		upkeep_wave out;
		out.id = wave_id{"7"};
		out.time_limit = std::chrono::seconds{600};
		out.max_at_once = 4;
		for (std::size_t i = 0; i < instances; ++i)
			out.instances.emplace_back("hall-north-instance-" + std::to_string(i));
		return out;
	}
}

// Guards against waves whose request fits into a row of the store while their progress does not.
TEST_CASE("the maximum size of the progress of a wave covers the ids of all workers", "[upkeep]")
{
	auto progress = begin_wave(wave_of(500), 0, instant{});
	const auto bound = max_encoded_size(progress);
	CHECK(bound <= row_bytes);
	for (auto& entry : progress.instances)
	{
		entry.worker = worker_incarnation{std::string(40, 'w')};
		entry.stage = upkeep_stage::draining;
	}
	CHECK(encode_wave_progress(progress).size() <= bound);
	CHECK(max_encoded_size(begin_wave(wave_of(1'500), 0, instant{})) > row_bytes);
}
