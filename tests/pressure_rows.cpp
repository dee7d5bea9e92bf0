// SPDX-License-Identifier: MIT
/// \file
/// \brief Tests of how the owner stores the learnt pressures of fillers.
#include "job_term_fixture.hpp"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

using namespace trailjunction;
using namespace trailjunction::testkit;
using namespace trailjunction::job_term_fixture;

namespace
{
	/// The row of earlier versions, which names both images of each pair.
	std::string encode_named_pressures(const stored::pressures& row)
	{
		const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
		apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer> protocol{buffer};
		row.write(&protocol);
		return buffer->getBufferAsString();
	}

	stored::pressures pairs_of_long_names(int pairs, std::size_t name_bytes)
	{
		stored::pressures row;
		for (int i = 0; i < pairs; ++i)
		{
			stored::pair_pressure pair;
			pair.serving = std::string(name_bytes, 's') + std::to_string(i);
			pair.filler = std::string(name_bytes, 'f') + std::to_string(i);
			pair.mean = 0.02;
			pair.variance = 0.001;
			row.pairs.push_back(pair);
		}
		return row;
	}

	/// Starts a term that loads the pressures, and expects that a task starts and its pressures are stored.
	void check_that_tasks_start_with(const stored::pressures& row)
	{
		scene fixture;
		fixture.store.put(job_partition, pressures_table, "pairs", encode_named_pressures(row));
		fixture.begin_term();
		fixture.submit(first_job, one_task());
		REQUIRE(fixture.run_until([&] { return fixture.agent.received_starts.size() == 1; }));
		CHECK(fixture.store.rejections.empty());
	}
}

// Guards against the end of all scheduling because the learnt pressures exceed the store's row limit.
TEST_CASE("tasks start although the names of measured images exceed a row together", "[jobs]")
{
	check_that_tasks_start_with(pairs_of_long_names(320, 107));
}

TEST_CASE("learnt pressures are stored by digests, the latest of them as far as a row holds them", "[jobs]")
{
	constexpr int pairs = 5'000;
	constexpr std::size_t max_bytes = 65'536;
	const auto start = boottime_now();
	pressure_model model;
	for (int i = 0; i < pairs; ++i)
		model.pairs[make_image_pair(std::string(33'000, 's') + std::to_string(i), "f")] = {0.001 * i, 0.001,
																						   start + millis{i}};
	const auto row = encode_pressures(model, max_bytes);
	CHECK(row.size() <= max_bytes);
	CHECK(row.size() > max_bytes - 100); // a row that is nearly full
	const auto read = decode_pressures(row, start);
	REQUIRE(read.ok());
	CHECK(read->pairs.size() > 1'000);
	for (int i = pairs - static_cast<int>(read->pairs.size()); i < pairs; ++i)
		REQUIRE(read->pairs.at(make_image_pair(std::string(33'000, 's') + std::to_string(i), "f")).mean == 0.001 * i);
	CHECK(!decode_pressures(encode_named_pressures(pairs_of_long_names(1, 10)), start).ok());
	CHECK(encode_pressures(model, 0).size() < 10);
}

TEST_CASE("the least recently measured pairs of images are dropped from the model", "[jobs]")
{
	const auto start = boottime_now();
	pressure_policy policy;
	policy.max_pairs = 3;
	pressure_model model;
	for (int i = 0; i < 10; ++i)
	{
		model.pairs[make_image_pair("s", std::to_string(i))] = {0.1, 0.001, start + millis{i}};
		drop_oldest_pairs(model, policy);
		CHECK(model.pairs.size() == static_cast<std::size_t>(std::min(i + 1, 3)));
	}
	CHECK(model.pairs.contains(make_image_pair("s", "7")));
	CHECK(!model.pairs.contains(make_image_pair("s", "6")));
}

TEST_CASE("a successor knows the pressures of pairs of long image names, also from the row of an earlier version",
		  "[jobs]")
{
	scene fixture;
	fixture.store.put(job_partition, pressures_table, named_pressures_key,
					  encode_named_pressures(pairs_of_long_names(320, 107)));
	fixture.begin_term();
	const auto stored = [&]
	{
		return fixture.store.value(job_partition, pressures_table, pressures_key);
	};
	REQUIRE(fixture.run_until([&] { return !stored().empty(); }));
	const auto read = decode_pressures(stored(), boottime_now());
	REQUIRE(read.ok());
	CHECK(read->pairs.size() == 320);
	CHECK(read->pairs.contains(make_image_pair(std::string(107, 's') + "319", std::string(107, 'f') + "319")));
	CHECK(fixture.store.value(job_partition, pressures_table, named_pressures_key).empty());
	CHECK(fixture.store.rejections.empty());
}

TEST_CASE("tasks start although the names of one pair of images exceed a row", "[jobs]")
{
	check_that_tasks_start_with(pairs_of_long_names(1, 33'000));
}
