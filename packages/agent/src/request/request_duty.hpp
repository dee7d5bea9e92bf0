// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Request duty of the agent: callers' requests, slots, upstream.
#pragma once

#include "../process/duty_messages.hpp"

#include <trailjunction/agent/settings.hpp>
#include <trailjunction/core/ring.hpp>
#include <trailjunction/decide/request/slots.hpp>
#include <trailjunction/net/http_client.hpp>
#include <trailjunction/net/process_metrics.hpp>
#include <trailjunction/net/span_exporter.hpp>
#include <trailjunction/wire/link.hpp>

#include <absl/container/flat_hash_map.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <vector>

namespace trailjunction
{
	/// \brief Accepts request links, admits requests to the upstream's slots and answers them.
	/// \details Runs on its own thread; all members except rules() and pending_count() are called on that thread.
	class request_duty
	{
	public:
		request_duty(boost::asio::io_context& io, const agent_settings& settings, incarnation own_incarnation,
					 process_metrics& metrics, span_exporter& spans);

		/// \brief Binds the listener and starts to accept links.
		[[nodiscard]] absl::Status listen();

		/// \brief Sets the ring to which summaries are sent; call before listen().
		void report_to(ring<request_summary>& summaries)
		{
			summaries_ = &summaries;
		}

		/// \brief Ring through which the control duty sets the admission limits.
		[[nodiscard]] ring<request_rules>& rules() noexcept
		{
			return rules_;
		}

		/// \brief Number of running and queued requests; thread-safe.
		[[nodiscard]] std::int64_t pending_count() const noexcept
		{
			return pending_count_.load(std::memory_order_relaxed);
		}

	private:
		/// A queued or running request.
		struct pending_request
		{
			std::shared_ptr<link> from;
			wire::request message;
			instant arrived{};
			span trace;
		};

		boost::asio::awaitable<void> accept_links();
		void handle_message(const std::shared_ptr<link>& from, wire::envelope&& message);
		void handle_request(const std::shared_ptr<link>& from, wire::request&& message);
		void cancel_request(const std::shared_ptr<link>& from, std::int64_t id);
		boost::asio::awaitable<void> run(std::uint64_t key);
		void dispatch_queued();
		void refuse(std::uint64_t key, const std::string& reason, millis retry_after);
		void answer(pending_request& request, wire::reply&& reply);
		void apply_rules(const request_rules& rules);
		boost::asio::awaitable<void> watch_queue();
		boost::asio::awaitable<void> summary_loop();

		boost::asio::io_context& io_;
		const agent_settings& settings_;
		incarnation incarnation_;
		boost::asio::ip::tcp::acceptor acceptor_;
		http_client upstream_;
		span_exporter& spans_;
		slot_table slots_;
		absl::flat_hash_map<std::uint64_t, pending_request> pending_;
		std::uint64_t next_key_{1};
		std::atomic<std::int64_t> pending_count_{};
		std::vector<std::int64_t> latencies_us_;
		ring<request_rules> rules_;
		ring<request_summary>* summaries_{};
		prometheus::Counter& done_;
		prometheus::Counter& not_run_;
		prometheus::Counter& unknown_;
	};
}
