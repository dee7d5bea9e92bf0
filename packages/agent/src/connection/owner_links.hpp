// SPDX-License-Identifier: MIT
/// \file
/// \brief Links of an agent to the members that own, or claim to own, jobs.
#pragma once

#include "../process/run_keeper.hpp"

#include <trailjunction/core/ids.hpp>
#include <trailjunction/wire/link.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>

namespace trailjunction
{
	/// \brief Takes links, obeys the claim with the highest epoch, and reports to it.
	class owner_links
	{
	public:
		owner_links(boost::asio::io_context& io, run_keeper& runs);

		[[nodiscard]] absl::Status listen(const endpoint& where);

		/// \brief Reports as soon as the present turn of the loop is over.
		void report_soon();

	private:
		boost::asio::awaitable<void> accept_forever();
		boost::asio::awaitable<void> report_forever();
		void take(boost::asio::ip::tcp::socket socket);
		/// \param number Of the link, counted in the order in which they were accepted.
		void on_message(const std::shared_ptr<link>& from, std::uint64_t number, wire::envelope&& message);
		void on_claim(const std::shared_ptr<link>& from, std::uint64_t number, const wire::job_claim& claim);
		void send_report(bool full);

		boost::asio::io_context& io_;
		run_keeper& runs_;
		boost::asio::ip::tcp::acceptor acceptor_;
		std::shared_ptr<link> owner_;
		std::uint64_t accepted_{};     ///< Links so far.
		std::uint64_t owner_number_{}; ///< Of the link over which the highest epoch was claimed last.
		epoch highest_;
		bool report_posted_{};
	};
}
