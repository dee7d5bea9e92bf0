// SPDX-License-Identifier: MIT
#include "owner_links.hpp"

#include <trailjunction/core/event.hpp>
#include <trailjunction/net/coroutines.hpp>
#include <trailjunction/net/listener.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

namespace trailjunction
{
	namespace asio = boost::asio;

	namespace
	{
		/// Interval between two reports without changes: several fit into each lease, so a lost report does no harm.
		constexpr auto report_interval = millis{500};
		constexpr auto accept_retry_delay = millis{50};

		/// An owner confirms each report, so a link that is silent for three intervals is broken.
		constexpr link_limits limits{.idle_timeout = 3 * report_interval};
		/// Largest frame before a claim; a claim is far smaller.
		constexpr std::size_t max_unclaimed_frame_bytes = std::size_t{64} * 1024;
		/// Links without a claim. A member claims as soon as it has connected.
		constexpr std::size_t max_unclaimed_links = 64;
	}

	owner_links::owner_links(asio::io_context& io, run_manager& runs) : io_{io}, manager_{runs}, acceptor_{io} {}

	absl::Status owner_links::listen(const endpoint& address)
	{
		if (auto status = open_listener(acceptor_, address); !status.ok())
			return status;
		asio::co_spawn(io_, accept_loop(), asio::detached);
		asio::co_spawn(io_, report_loop(), asio::detached);
		return absl::OkStatus();
	}

	asio::awaitable<void> owner_links::accept_loop()
	{
		while (true)
		{
			auto [error, socket] = co_await acceptor_.async_accept(as_result);
			if (error == asio::error::operation_aborted)
				co_return;
			if (error)
				co_await pause_for(io_, accept_retry_delay);
			else
				start_link(std::move(socket));
		}
	}

	void owner_links::start_link(asio::ip::tcp::socket socket)
	{
		const auto connection = std::make_shared<link>(std::move(socket), limits);
		connection->set_max_frame_bytes(max_unclaimed_frame_bytes);
		add_unclaimed(connection);
		// The link keeps these handlers, and through them itself, alive until it has closed, then it releases them.
		connection->start([this, connection, number = ++accepted_links_](wire::envelope&& message)
						  { on_message(connection, number, std::move(message)); },
						  [this, connection](const std::string& reason)
						  {
							  if (owner_ != connection)
								  return;
							  owner_.reset();
							  log_event(event::link_closed, {{"reason", reason}, {"epoch", highest_epoch_.value}});
						  });
	}

	void owner_links::add_unclaimed(const std::shared_ptr<link>& connection)
	{
		std::erase_if(unclaimed_,
					  [](const std::weak_ptr<link>& other)
					  {
						  const auto open = other.lock();
						  return !open || !open->is_open();
					  });
		unclaimed_.push_back(connection);
		while (unclaimed_.size() > max_unclaimed_links)
		{
			if (const auto oldest = unclaimed_.front().lock())
				oldest->close("too many links without a claim");
			unclaimed_.pop_front();
		}
	}

	void owner_links::on_message(const std::shared_ptr<link>& from, std::uint64_t number, wire::envelope&& message)
	{
		if (message.__isset.claim)
			on_claim(from, number, message.claim);
		if (from != owner_)
			return; // messages of a superseded owner are ignored
		if (message.__isset.confirm)
			manager_.confirm(message.confirm);
		if (message.__isset.job_begin)
			manager_.start(std::move(message.job_begin));
		if (message.__isset.job_halt)
			manager_.stop(message.job_halt);
	}

	void owner_links::on_claim(const std::shared_ptr<link>& from, std::uint64_t number, const wire::job_claim& claim)
	{
		const epoch claimed{static_cast<std::uint64_t>(claim.epoch)};
		// An owner reconnects only after it has abandoned the previous link; messages of both links may be unread here.
		const bool is_abandoned = claimed == highest_epoch_ && number < owner_link_number_;
		if (claimed < highest_epoch_ || is_abandoned)
		{
			log_event(event::grant_refused,
					  {{"member", claim.member}, {"epoch", claim.epoch}, {"seen", highest_epoch_.value}});
			from->close("superseded");
			return;
		}
		std::erase_if(unclaimed_, [&](const std::weak_ptr<link>& other) { return other.lock() == from; });
		from->set_max_frame_bytes(limits.max_frame_bytes);
		const auto previous = owner_;
		owner_ = from;
		owner_link_number_ = number;
		highest_epoch_ = claimed;
		if (previous && previous != from)
			previous->close("replaced by another claim");
		manager_.set_lease(millis{claim.run_lease_ms});
		log_event(event::link_opened, {{"member", claim.member}, {"epoch", claim.epoch}});
		send_report(true);
	}

	void owner_links::report_soon()
	{
		if (report_posted_)
			return;
		report_posted_ = true;
		asio::post(io_,
				   [this]
				   {
					   report_posted_ = false;
					   send_report(false);
				   });
	}

	asio::awaitable<void> owner_links::report_loop()
	{
		while (true)
		{
			co_await pause_for(io_, report_interval);
			send_report(false);
		}
	}

	void owner_links::send_report(bool full)
	{
		if (!owner_)
			return;
		if (owner_->send(to_envelope(manager_.report(full))) == 0)
			owner_->close("report could not be sent");
	}
}
