// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief An in-process agent that speaks the link protocol to an owner of jobs.
/// \details For tests of the owner alone. A worker and its HTTP interface are simulated by worker_standin.
#pragma once

#include <trailjunction/net/endpoint.hpp>
#include <trailjunction/wire/link.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <vector>

namespace trailjunction::testkit
{
	/// \brief Accepts links, answers each claim with a full report, and records the orders it receives.
	class agent_standin
	{
	public:
		explicit agent_standin(boost::asio::io_context& io);

		[[nodiscard]] const endpoint& link_address() const noexcept
		{
			return link_address_;
		}
		/// \brief Closes the current link; the owner reconnects.
		void close_link();
		/// \brief Sends a report over the current link, if there is one.
		void send_report(wire::job_report report);

		wire::job_report full_report;                 ///< The response to a claim.
		std::vector<wire::job_start> received_starts; ///< In order of arrival, over all links.
		std::vector<wire::job_stop> received_stops;
		std::vector<wire::job_confirm> received_confirms;
		int claim_count{}; ///< Number of claims received.

	private:
		void accept();
		void on_message(wire::envelope&& message);

		boost::asio::io_context& io_;
		boost::asio::ip::tcp::acceptor acceptor_;
		endpoint link_address_;
		std::shared_ptr<link> link_;
	};
}
