// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief What an agent asks of the worker beside it, whoever carries it.
#pragma once

#include <trailjunction/core/ids.hpp>
#include <trailjunction/core/units.hpp>
#include <trailjunction/jobs/job_ids.hpp>
#include <trailjunction/jobs/run_listing.hpp>
#include <trailjunction/net/endpoint.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace trailjunction
{
	/// \brief What a worker says of itself in a heartbeat.
	struct worker_heartbeat
	{
		worker_life life;
		service_id service;
		endpoint address; ///< Where it takes orders.
		resources capacity;
		std::vector<std::string> labels; ///< Its kind and its rack.
		bool draining{};
		millis remaining{};      ///< Of a draining worker: until it is gone, at the least; 0 where it does not say.
		std::int64_t clock_ms{}; ///< Its own steady clock.
		std::int64_t sequence{}; ///< Rises with each heartbeat of a life.
	};

	/// \brief All that a worker lists.
	struct worker_listing
	{
		std::vector<listed_run> running;
		std::vector<listed_end> ended;
	};

	/// \brief How an order to a worker ended.
	enum class order_end
	{
		done,        ///< Carried out, or the worker was in that state already.
		no_room,     ///< Not done: it does not fit.
		late,        ///< Not done: its deadline had passed on the worker's clock.
		superseded,  ///< Not done: the run, or a later one, was stopped or has ended there.
		fenced,      ///< Not done: the worker has seen a higher fencing token.
		unhealthy,   ///< Not done: the worker refuses everything now.
		other_life,  ///< Not done: another incarnation answered.
		invalid,     ///< Not done: the worker takes the order for malformed.
		unknown,     ///< No answer: it may have been done, or may be done later.
		not_sent,    ///< Not done: the worker could not be reached.
		no_listener, ///< Not done: nothing listens where the worker was.
	};

	/// \brief What came of a call to a worker.
	struct order_result
	{
		order_end how{order_end::unknown};
		std::int64_t clock_ms{}; ///< The worker's clock; 0 where it did not say.
	};

	/// \brief What came of asking for the listing.
	struct listing_result : order_result
	{
		worker_listing listing; ///< Only where how is done.
	};

	/// \brief Which incarnation an order is for, and with which authority.
	struct order_authority
	{
		worker_life life;
		std::int64_t fencing_token{}; ///< The worker ignores orders with a lower one than it has seen.
	};

	/// \brief A run to start.
	struct run_start
	{
		task_run what;
		std::string payload;
		std::string checkpoint;
		std::int64_t deadline_ms{}; ///< On the worker's clock: later it refuses the order; also extends its lease.
	};

	/// \brief Asks for the listing.
	struct listing_order
	{
		std::int64_t deadline_ms{}; ///< To which the lease of all runs is extended; 0: it stays as it is.
		std::int64_t ends_kept{};   ///< Ends up to this number may be forgotten.
		millis wait{};              ///< How long the worker may hold the answer back until a run ends.
	};

	/// \brief The worker beside an agent; lives on one io_context.
	class worker_port
	{
	public:
		worker_port() = default;
		virtual ~worker_port() = default;
		worker_port(const worker_port&) = delete;
		worker_port& operator=(const worker_port&) = delete;

		[[nodiscard]] virtual boost::asio::awaitable<order_result> start(order_authority authority, run_start order,
																		 instant deadline) = 0;
		[[nodiscard]] virtual boost::asio::awaitable<order_result> stop(order_authority authority, task_run what,
																		instant deadline) = 0;
		[[nodiscard]] virtual boost::asio::awaitable<listing_result> list(order_authority authority,
																		  listing_order order, instant deadline) = 0;
		/// \brief Sets the share of its processor time that a run may use.
		[[nodiscard]] virtual boost::asio::awaitable<order_result> pace(order_authority authority, task_run what,
																		int percent, instant deadline) = 0;
	};
}
