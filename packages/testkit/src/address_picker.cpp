// SPDX-License-Identifier: MIT
#include <trailjunction/testkit/address_picker.hpp>

#include <boost/asio/io_context.hpp>

#include <unistd.h>

namespace trailjunction::testkit
{
	namespace asio = boost::asio;

	address_picker::address_picker() : next_suffix_{static_cast<unsigned>(::getpid()) << 8U} {}

	endpoint address_picker::allocate()
	{
		++next_suffix_;
		const auto bytes = asio::ip::address_v4::bytes_type{
			127, static_cast<unsigned char>(64 + (next_suffix_ >> 16U) % 64),
			static_cast<unsigned char>(next_suffix_ >> 8U), static_cast<unsigned char>(1 + next_suffix_ % 254)};
		asio::io_context io;
		asio::ip::tcp::acceptor probe{io, endpoint{asio::ip::address_v4{bytes}, 0}};
		return probe.local_endpoint();
	}
}
