// SPDX-License-Identifier: MIT
/// \file
/// \brief Passes the heartbeats of a worker stand-in on to its agent and states the worker's kind and rack in them.
#pragma once

#include <trailjunction/net/http_client.hpp>
#include <trailjunction/net/http_server.hpp>

#include <boost/asio/io_context.hpp>

#include <string>

namespace review
{
	/// \brief The worker stand-in has fixed labels; this sets those of one worker.
	class heartbeat_relay
	{
	public:
		heartbeat_relay(boost::asio::io_context& io, trailjunction::endpoint agent, std::string kind, std::string rack);

		[[nodiscard]] trailjunction::endpoint listen();

	private:
		boost::asio::awaitable<trailjunction::http_response> answer(trailjunction::http_request request);

		trailjunction::http_client client_;
		std::string kind_;
		std::string rack_;
		trailjunction::http_server server_;
	};
}
