// SPDX-License-Identifier: MIT
/// \file
/// \brief Tests of the size limits of the store.
#include "tests.hpp"

#include <trailjunction/store/row_limits.hpp>

using namespace trailjunction;

namespace
{
	row_transaction one_row(std::size_t key_bytes, std::size_t value_bytes)
	{
		row_transaction out;
		out.partition = "part";
		out.put.push_back({{"table", std::string(key_bytes, 'k')}, std::string(value_bytes, 'v')});
		return out;
	}
}

TEST_CASE("a transaction at the limits of the store is valid, and one beyond any of them names it", "[store]")
{
	const row_limits limits;
	CHECK(check_limits(one_row(limits.key_bytes, limits.value_bytes), limits).ok());
	CHECK(check_limits(one_row(1, limits.value_bytes + 1), limits).message() ==
		  "row table/k has 65537 bytes, at most 65536 are allowed");
	CHECK(check_limits(one_row(limits.key_bytes + 1, 1), limits).message() ==
		  "a key of table table has 201 bytes, at most 200 are allowed");
	auto many = one_row(1, 1);
	many.remove.resize(limits.entries - 1);
	CHECK(check_limits(many, limits).ok());
	many.conditions.resize(1);
	CHECK(check_limits(many, limits).message() == "the transaction has 101 entries, at most 100 are allowed");
	auto large = one_row(1, limits.value_bytes);
	while (large.put.size() < 12)
		large.put.push_back(large.put.front());
	CHECK(absl::IsInvalidArgument(check_limits(large, limits)));
}

TEST_CASE("the size of a transaction covers its encoding as JSON and base64", "[store]")
{
	auto transaction = one_row(1, 300);
	// {"table":"table","part":"part","key":"k","value":"..."} with 400 characters of base64.
	CHECK(encoded_size(transaction) >= 400 + 50);
	transaction.put.front().name.key = "\x01";
	CHECK(encoded_size(transaction) >= 400 + 55); // six characters for the key
}
