// SPDX-License-Identifier: MIT
/// \file
/// \brief Which request bodies are evicted when those of all connections exceed the server's budget.
#include "../packages/net/src/impl/body_budget.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace trailjunction::impl;

namespace
{
	/// A budget of 100 bytes that records in which order bodies are evicted.
	struct budget_fixture
	{
		body_budget::handle add(const std::string& name)
		{
			return budget.add([this, name] { evicted += name; });
		}

		body_budget budget{100};
		std::string evicted;
	};
}

TEST_CASE("the incomplete body that has been arriving for longest is evicted first", "[net]")
{
	budget_fixture test;
	const auto slow = test.add("a");
	const auto later = test.add("b");
	test.budget.update(slow, 60);
	test.budget.update(later, 40);
	CHECK(test.evicted.empty());
	test.budget.update(later, 41);
	CHECK(test.evicted == "a");
	CHECK(slow->is_evicted);
	test.budget.update(later, 100);
	CHECK(test.evicted == "a");
}

TEST_CASE("a complete body is not evicted, and leaves no room for others until its request is answered", "[net]")
{
	budget_fixture test;
	const auto complete = test.add("a");
	complete->is_complete = true;
	test.budget.update(complete, 100);
	const auto refused = test.add("b");
	test.budget.update(refused, 1);
	CHECK(test.evicted == "b");
	test.budget.release(complete);
	const auto next = test.add("c");
	test.budget.update(next, 100);
	CHECK(test.evicted == "b");
}

TEST_CASE("an evicted body holds nothing, and is evicted once", "[net]")
{
	budget_fixture test;
	const auto body = test.add("a");
	test.budget.update(body, 101);
	test.budget.update(body, 102);
	CHECK(test.evicted == "a");
	test.budget.release(body);
	const auto next = test.add("b");
	test.budget.update(next, 100);
	CHECK(test.evicted == "a");
}
