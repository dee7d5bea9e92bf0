// SPDX-License-Identifier: MIT
/// \file
/// \brief Many agents in one process, for measuring entries.
#pragma once

#include <trailjunction/testkit/cluster.hpp>
#include <trailjunction/wire.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace trailjunction::bench
{
	/// \brief Speaks as an agent does, with nothing behind it: each run that it is given is finished at once.
	class fake_agent
	{
	public:
		/// \param runs Runs that it reports beside those that it is given.
		fake_agent(boost::asio::io_context& io, std::string name, int runs);

		/// \brief What the platform's list has to say about it.
		[[nodiscard]] testkit::standin_worker declared() const;

	private:
		boost::asio::awaitable<void> accept(boost::asio::ip::tcp::acceptor& from, bool control);
		boost::asio::awaitable<void> beat(std::shared_ptr<link> to);
		void take(const std::shared_ptr<link>& from, wire::envelope&& message);
		[[nodiscard]] wire::envelope make_beat() const;

		boost::asio::io_context& io_;
		std::string name_;
		int runs_;
		boost::asio::ip::tcp::acceptor control_;
		boost::asio::ip::tcp::acceptor requests_;
		std::vector<std::shared_ptr<link>> links_;
		std::map<std::string, wire::run_report> ended_; ///< By task, until it is acknowledged.
	};
}
