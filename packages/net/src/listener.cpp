// SPDX-License-Identifier: MIT
#include <trailjunction/net/listener.hpp>

#include <absl/strings/str_cat.h>

namespace trailjunction
{
	absl::Status open_listener(boost::asio::ip::tcp::acceptor& acceptor, const endpoint& address)
	{
		boost::system::error_code error;
		acceptor.open(address.protocol(), error);
		if (!error)
			acceptor.set_option(boost::asio::socket_base::reuse_address{true}, error);
		if (!error)
			acceptor.bind(address, error);
		if (!error)
			acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
		if (error)
			return absl::UnavailableError(absl::StrCat("cannot listen on ", to_string(address), ": ", error.message()));
		return absl::OkStatus();
	}
}
