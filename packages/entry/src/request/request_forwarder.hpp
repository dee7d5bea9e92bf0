// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Accepts requests from callers and forwards them to workers, with retries and hedging.
#pragma once

#include "../connection/agent_connection.hpp"
#include "../process/duty_messages.hpp"
#include "caller_request.hpp"
#include "idempotency_claims.hpp"

#include <trailjunction/core/ring.hpp>
#include <trailjunction/decide/request/balance.hpp>
#include <trailjunction/decide/request/concurrency_limit.hpp>
#include <trailjunction/decide/request/retry_budget.hpp>
#include <trailjunction/entry/settings.hpp>
#include <trailjunction/net/http_server.hpp>
#include <trailjunction/net/process_metrics.hpp>
#include <trailjunction/net/span_exporter.hpp>

#include <absl/container/flat_hash_map.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace trailjunction
{
	/// \brief Forwards requests from callers to workers, retries and hedges them, and answers each exactly once.
	/// \details Runs on its own thread. Only directories() and in_flight() may be called from other threads.
	class request_forwarder
	{
	public:
		request_forwarder(boost::asio::io_context& io, const entry_settings& settings, incarnation own_incarnation,
						  process_metrics& metrics, span_exporter& spans);

		[[nodiscard]] absl::Status listen();

		/// \brief Sets the ring that receives a note for each completed request; call before listen().
		void set_completed_requests(ring<completed_request>& notes)
		{
			notes_ = &notes;
		}
		/// \brief The ring through which the control thread publishes the current set of workers.
		[[nodiscard]] ring<directory>& directories() noexcept
		{
			return directories_;
		}
		/// \brief Begins a graceful shutdown: accepts no new connections, and completes the requests in flight.
		void stop();

		/// \brief The number of requests that are not answered yet; may be called from any thread.
		[[nodiscard]] std::int64_t in_flight() const noexcept
		{
			return in_flight_.load(std::memory_order_relaxed);
		}

	private:
		/// The workers that serve one service, and the latency statistics over all of them.
		struct service_group
		{
			std::vector<target_view> targets;
			concurrency_limit limit;
			double mean_latency_us{};   ///< Exponential moving average over all workers.
			double mean_deviation_us{}; ///< Exponential moving average of the absolute deviation from the mean.
		};
		/// The position of a worker in service_group::targets.
		struct target_location
		{
			service_id service;
			std::size_t index{};
		};
		/// The request and the index of the try that a reply belongs to.
		struct open_try
		{
			std::weak_ptr<request_tries> request;
			std::size_t index{};
		};
		/// The state of one request while it is forwarded.
		struct forward_state
		{
			caller_request request;
			std::shared_ptr<request_tries> tries;
			std::vector<worker_id> excluded; ///< Workers that were already tried.
			instant hedge_at{};
			bool hedged{};
		};

		boost::asio::awaitable<http_response> serve(http_request message);
		boost::asio::awaitable<request_result> claim_and_forward(caller_request& request);
		boost::asio::awaitable<request_result> forward(caller_request request);
		[[nodiscard]] bool start_try(forward_state& state);
		[[nodiscard]] bool start_extra_try(forward_state& state);
		[[nodiscard]] request_result make_result(forward_state& state, bool deadline_passed);
		void abandon_open_tries(forward_state& state);
		void handle_message(const std::shared_ptr<link>& from, wire::envelope&& message);
		void handle_reply(const std::shared_ptr<link>& from, wire::reply&& reply);
		void end_try(request_tries& request, std::size_t index, wire::reply&& reply);
		void fail_tries(const std::shared_ptr<link>& closed_link);
		void update_statistics(const request_try& ended);
		bool record_try_result(const target_location& location, const attempt_result& observation);
		[[nodiscard]] const target_location* find_target(const worker_id& worker) const;
		void apply_directory(directory&& update);
		void connect(const request_target& listed);
		void disconnect(agent_connection& connection);
		void set_connected(const worker_id& worker, bool connected);
		[[nodiscard]] millis hedge_delay(const service_group& group) const;

		boost::asio::io_context& io_;
		const entry_settings& settings_;
		incarnation own_incarnation_;
		span_exporter& spans_;
		http_server server_;
		idempotency_claims idempotency_claims_;
		absl::flat_hash_map<service_id, service_group> services_;
		absl::flat_hash_map<worker_id, target_location> target_locations_;
		absl::flat_hash_map<worker_id, std::shared_ptr<agent_connection>> connections_;
		absl::flat_hash_map<std::int64_t, open_try> open_tries_;
		std::int64_t next_try_id_;
		request_config config_;
		balance_policy policy_;
		retry_budget retry_budget_;
		random_engine random_;
		std::atomic<std::int64_t> in_flight_{};
		ring<directory> directories_;
		ring<completed_request>* notes_{};
		prometheus::Counter& done_;
		prometheus::Counter& not_run_;
		prometheus::Counter& unknown_;
		prometheus::Counter& extra_tries_;
		prometheus::Counter& late_answers_;
		prometheus::Counter& ejections_;
		prometheus::Histogram& latency_;
	};
}
