// SPDX-License-Identifier: MIT
/// \file
/// \brief Lists in JSON that are parsed entry by entry.
#include <trailjunction/core/json_list.hpp>

#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

#include <string>

using namespace trailjunction;

namespace
{
	std::string joined(const json_list& list)
	{
		std::string out;
		for (const auto& entry : list.entries)
			out += boost::json::serialize(entry) + ";";
		return out;
	}
}

TEST_CASE("a list is parsed entry by entry", "[json]")
{
	CHECK(joined(*parse_json_list("[]")).empty());
	CHECK(joined(*parse_json_list(" [ ] ")).empty());
	CHECK(joined(*parse_json_list(R"([1, "a,]\"b" ,{"c":[2,{}]},[],true , null,-1.5])")) ==
		  R"(1;"a,]\"b";{"c":[2,{}]};[];true;null;-1.5E0;)");
	const auto list = parse_json_list(R"([1,tru,{"a" 2},[2 3],01,"\q",{"b":3}])");
	REQUIRE(list.ok());
	CHECK(joined(*list) == R"(1;{"b":3};)");
	CHECK(list->unreadable == 5);
	CHECK_FALSE(list->error.ok());
}

TEST_CASE("a text that is not a list as a whole is an error", "[json]")
{
	for (const auto* text : {"", "{}", "[", "[1", "[1,", "[1,]", "[,1]", "[1] 2", "[\"", "[\"\\", "[[1]", "[1}", "7"})
		CHECK_FALSE(parse_json_list(text).ok());
}

TEST_CASE("the text of a member is found beside members that can't be parsed", "[json]")
{
	const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
	const auto text = R"({"odd":)" + deep + R"(,"n":1e99999999999 , "list" : [1, 2], "last":"}"})";
	CHECK(*json_member_text(text, "list") == "[1, 2]");
	CHECK(*json_member_text(text, "last") == "\"}\"");
	CHECK(json_member_text(text, "absent")->empty());
	CHECK(json_member_text("{}", "a")->empty());
	for (const auto* broken :
		 {"", "[]", "{", R"({"a")", R"({"a":)", R"({"a":1)", R"({"a":1,})", R"({a:1})", R"({"a":1} 2)"})
		CHECK_FALSE(json_member_text(broken, "a").ok());
}
