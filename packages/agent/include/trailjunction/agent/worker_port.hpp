// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Interface through which a job agent calls its worker, independent of the transport.
/// \details The agent that serves requests uses worker_interface instead.
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
	/// \brief A worker's heartbeat.
	struct worker_heartbeat
	{
		worker_incarnation incarnation;
		service_id service;
		endpoint address; ///< Address at which the worker accepts orders.
		resources capacity;
		std::vector<std::string> labels; ///< Kind and rack of the worker.
		bool draining{};
		millis remaining{};      ///< Of a draining worker: minimum time until it stops; 0 if unknown.
		std::int64_t clock_ms{}; ///< Steady clock of the worker.
		std::int64_t sequence{}; ///< Increases with each heartbeat of an incarnation.
	};

	/// \brief A worker's running and ended runs.
	struct worker_listing
	{
		std::vector<listed_run> running;
		std::vector<listed_end> ended;
	};

	/// \brief Outcome of an order to a worker.
	enum class order_outcome
	{
		done,       ///< Carried out, or the worker was already in the requested state.
		no_room,    ///< Not carried out: the run does not fit into the worker's free capacity.
		late,       ///< Not carried out: its deadline had passed on the worker's clock.
		superseded, ///< Not carried out: this run or a later one of the task was stopped or has ended on the worker.
		fenced,     ///< Not carried out: the worker has seen a higher fencing token.
		unhealthy,  ///< Not carried out: the worker refuses all orders at present.
		other_incarnation, ///< Another incarnation answered. An order was not carried out.
		invalid,           ///< Not carried out: the worker rejected the order as malformed.
		unknown,           ///< No answer: the order may have been carried out, or may be carried out later.
		not_sent,          ///< Not carried out: the worker was unreachable.
		no_listener,       ///< Not carried out: no process listens at the worker's address.
	};

	/// \brief Result of a call to a worker.
	struct order_result
	{
		order_outcome outcome{order_outcome::unknown};
		std::int64_t clock_ms{}; ///< The worker's clock; 0 if the answer did not contain it.
	};

	/// \brief Result of a listing call.
	struct listing_result : order_result
	{
		worker_listing listing; ///< Valid only if outcome is done.
	};

	/// \brief Target incarnation and fencing token of an order.
	struct order_authority
	{
		worker_incarnation incarnation;
		/// The worker refuses orders with a token below the highest seen.
		std::int64_t fencing_token{};
	};

	/// \brief A run to start.
	struct run_start
	{
		task_run id;
		std::string payload;
		std::string checkpoint;
		std::int64_t deadline_ms{}; ///< On the worker's clock; later the order is refused. Also extends the lease.
	};

	/// \brief Parameters of a listing call.
	struct listing_order
	{
		std::int64_t deadline_ms{}; ///< Lease end of all runs, on the worker's clock; 0 leaves it unchanged.
		std::int64_t ends_kept{};   ///< The worker may forget ends up to this number.
		millis max_wait{};          ///< Maximum time for which the worker may delay the answer until a run ends.
		/// The call is sent only over a connection on which the worker has answered a listing before.
		bool open_connection_only{};
	};

	/// \brief Calls to the worker of an agent; all on one io_context.
	class worker_port
	{
	public:
		worker_port() = default;
		virtual ~worker_port() = default;
		worker_port(const worker_port&) = delete;
		worker_port& operator=(const worker_port&) = delete;

		[[nodiscard]] virtual boost::asio::awaitable<order_result> start(order_authority authority, run_start order,
																		 instant deadline) = 0;
		[[nodiscard]] virtual boost::asio::awaitable<order_result> stop(order_authority authority, task_run run,
																		instant deadline) = 0;
		[[nodiscard]] virtual boost::asio::awaitable<listing_result> list(order_authority authority,
																		  listing_order order, instant deadline) = 0;
		/// \brief Sets the share of its processor time that a run may use.
		/// \param percent From 0 to 100.
		[[nodiscard]] virtual boost::asio::awaitable<order_result> pace(order_authority authority, task_run run,
																		int percent, instant deadline) = 0;
	};
}
