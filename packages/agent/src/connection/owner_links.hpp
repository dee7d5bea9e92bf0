// SPDX-License-Identifier: MIT
/// \file
/// \brief Links from an agent to the members that own jobs or claim to own them.
#pragma once

#include "../process/run_manager.hpp"

#include <trailjunction/core/ids.hpp>
#include <trailjunction/wire/link.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <deque>
#include <memory>

namespace trailjunction
{
	/// \brief Accepts links, follows the claim with the highest epoch and reports to its sender.
	class owner_links
	{
	public:
		owner_links(boost::asio::io_context& io, run_manager& runs);

		[[nodiscard]] absl::Status listen(const endpoint& address);

		/// \brief Schedules a report after the current handler of the event loop; pending requests are merged into one.
		void report_soon();

	private:
		boost::asio::awaitable<void> accept_loop();
		boost::asio::awaitable<void> report_loop();
		void start_link(boost::asio::ip::tcp::socket socket);
		/// Registers a link without a claim, and closes the oldest such links if there are too many.
		void add_unclaimed(const std::shared_ptr<link>& connection);
		/// \param number Sequence number of the link, in the order of acceptance.
		void on_message(const std::shared_ptr<link>& from, std::uint64_t number, wire::envelope&& message);
		void on_claim(const std::shared_ptr<link>& from, std::uint64_t number, const wire::job_claim& claim);
		void send_report(bool full);

		boost::asio::io_context& io_;
		run_manager& manager_;
		boost::asio::ip::tcp::acceptor acceptor_;
		std::shared_ptr<link> owner_;
		std::deque<std::weak_ptr<link>> unclaimed_; ///< Links over which nothing was claimed, in order of acceptance.
		std::uint64_t accepted_links_{};            ///< Number of links accepted so far.
		/// Sequence number of the link over which the highest epoch was claimed last.
		std::uint64_t owner_link_number_{};
		epoch highest_epoch_;
		bool report_posted_{};
	};
}
