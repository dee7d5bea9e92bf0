// SPDX-License-Identifier: MIT
/// \file
/// \brief What a process of a test may not have from the test itself.
#include "tests.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/local/connect_pair.hpp>
#include <boost/asio/local/stream_protocol.hpp>

#include <array>
#include <optional>

using namespace trailjunction;
using namespace trailjunction::testkit;

namespace
{
	constexpr auto longest_wait = std::chrono::seconds{5}; // until a test that cannot go on gives up
}

// An agent was killed and started again while the proxy before it had not closed the connections of its first life yet.
// The second life inherited the descriptors of the proxy, so its close reached nobody: the entry's link stayed open and
// silent, and the run was fenced although its agent was back.
TEST_CASE("a connection that a test closes is closed, whatever processes it has started meanwhile", "[testkit]")
{
	namespace local = boost::asio::local;
	boost::asio::io_context io{1};
	local::stream_protocol::socket near{io};
	local::stream_protocol::socket far{io};
	local::connect_pair(near, far);
	child_process child{{"/bin/sleep", "60"}, "/dev/null"};
	near.close();

	std::array<char, 1> byte{};
	std::optional<boost::system::error_code> end;
	far.async_read_some(boost::asio::buffer(byte),
						[&end](const boost::system::error_code& error, std::size_t) { end = error; });
	io.run_for(longest_wait);
	CHECK(child.running());
	REQUIRE(end);
	CHECK(*end == boost::asio::error::eof);
}
