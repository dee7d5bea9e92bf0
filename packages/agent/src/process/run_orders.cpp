// SPDX-License-Identifier: MIT
/// \file
/// \brief Part of run_manager that carries out an owner's orders.
#include "run_manager.hpp"

#include <trailjunction/core/event.hpp>
#include <trailjunction/net/coroutines.hpp>
#include <trailjunction/wire/job_messages.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace trailjunction
{
	namespace asio = boost::asio;

	namespace
	{
		/// Time after which the worker refuses a start, so that a delayed order cannot take effect later.
		constexpr auto max_start_delay = millis{1'500};
		/// Time on the worker's clock after the deadline of a start from which on it counts as settled although the
		/// worker has answered no stop: an earlier process of this agent may have sent the start, too.
		constexpr auto max_deadline_error = max_start_delay;
		/// Minimum time left for a start; with less the worker would refuse it as late.
		constexpr auto min_start_time_left = millis{100};
		/// Maximum age of the heartbeat whose capacity a start may rely on: by the users' requirements, a reduced
		/// capacity applies from three seconds and one heartbeat after the reduction.
		constexpr auto max_capacity_age = millis{3'000};
		constexpr double pressure_milli = 1'000.0;

		// Sources of a refusal, for the log.
		/// The order was not sent: no room, no lease, worker draining, or agent stopping.
		constexpr std::string_view by_agent = "agent";
		constexpr std::string_view by_worker = "worker";
		constexpr std::string_view by_stop = "stop";
		constexpr std::string_view by_deadline = "deadline";
		constexpr std::string_view by_refusal_history = "refused_before";
	}

	void run_manager::start(wire::job_start order)
	{
		const auto id = from_wire(order.what);
		if (!refers_to_current(worker_of(order)))
		{
			// The next report tells the owner of the new incarnation.
			log_event(event::order_dropped, {{"task", to_string(id.task)},
											 {"run", id.run},
											 {"worker", worker_of(order).str()},
											 {"current", worker_ ? worker_->incarnation.str() : ""}});
			return;
		}
		if (const auto reason = refusal_of(refusal_history_, id))
		{
			handle_refused_run(id, *reason, order.repeated);
			return;
		}
		run_attributes attributes{millis{order.latency_target_ms}, order.filler, order.movable, order.image, {}};
		for (const auto& pressure : order.pressures)
			attributes.pressures[pressure.image] = pressure.milli / pressure_milli;
		attributes.claim = {order.claim.cpu_milli, order.claim.memory_mib, order.claim.accelerators};
		const auto claim = attributes.claim;
		attributes_[id] = std::move(attributes);
		if (runs_.contains(id))
		{
			record_start(id);
			return;
		}
		if (has_ended(id) || order.known_running || pending_starts_.contains(id))
			return;
		if ((worker_->draining || closing_) && !order.repeated)
		{
			refuse(id, start_refusal::leaving, {order.repeated, by_agent});
			return;
		}
		const bool has_room = has_room_for(id, claim, boottime_now());
		pending_starts_.insert(id);
		record_order(ages_, id, boottime_now());
		asio::co_spawn(io_, carry_out_start(std::move(order), has_room), asio::detached);
	}

	void run_manager::handle_refused_run(const task_run& id, start_refusal reason, bool repeated)
	{
		// Orders and refusals may cross. The owner takes a refused run for not started and orders the next run of its
		// task, so a later order must not start the refused run.
		if (runs_.contains(id))
			begin_stop(id, "refused"); // the end of the run is reported instead
		else if (!has_ended(id))
			refuse(id, reason, {repeated, by_refusal_history});
	}

	bool run_manager::may_be_running(const task_run& id) const noexcept
	{
		return runs_.contains(id) || pending_starts_.contains(id) ||
			   (confirmed_unlisted_.contains(id) && !has_ended(id));
	}

	bool run_manager::has_room_for(const task_run& id, const resources& claim, instant now) const
	{
		if (claim == resources{})
			return true; // owners of an earlier version send no claim
		if (now - heartbeat_at_ > max_capacity_age)
			return false;
		resources claimed;
		for (const auto& [other, attributes] : attributes_)
			if (other != id && may_be_running(other))
				claimed += attributes.claim;
		return claim.fits_in(worker_->capacity - claimed);
	}

	asio::awaitable<void> run_manager::carry_out_start(wire::job_start order, bool has_room)
	{
		const auto id = from_wire(order.what);
		const auto incarnation_id = worker_->incarnation;
		const auto port = port_;
		const bool repeated = order.repeated;
		const auto worker_clock_ms = worker_now_ms(boottime_now());
		run_start start_call{id, std::move(order.payload), std::move(order.checkpoint),
							 std::min(worker_clock_ms + max_start_delay.count(), lease_deadline_ms_)};
		const start_attempt attempt{start_call.deadline_ms, repeated};
		const bool is_leased =
			worker_clock_ms_ > 0 && attempt.deadline_ms >= worker_clock_ms + min_start_time_left.count();
		order_result result{order_outcome::late, 0};
		refusal_source source{repeated, by_agent};
		if (!has_room)
			result.outcome = order_outcome::no_room;
		else if (is_leased && !worker_->draining && !closing_)
		{
			++open_orders_;
			source.decided_by = by_worker;
			result = co_await port->start(authority(), std::move(start_call), boottime_now() + worker_call_timeout);
			--open_orders_;
			if (!is_current(incarnation_id))
				co_return;
			record_result(result, boottime_now());
		}
		// An earlier order may have been carried out and its run may have ended, so the refusal of a repeated order
		// proves nothing.
		if (repeated && result.outcome != order_outcome::done)
			result.outcome = order_outcome::unknown;
		switch (result.outcome)
		{
		case order_outcome::done:
			record_start(id);
			break;
		case order_outcome::unknown:
			co_await resolve_start(id, incarnation_id, attempt);
			break;
		case order_outcome::no_room:
			refuse(id, start_refusal::no_room, source);
			break;
		case order_outcome::superseded:
			// An earlier order of the same run may have been carried out and its run may have ended; then the end is
			// reported.
			{
				const bool listed = co_await wait_for_listing(incarnation_id);
				if (listed && !runs_.contains(id) && !has_ended(id))
					refuse(id, start_refusal::superseded, source);
				break;
			}
		case order_outcome::unhealthy:
		case order_outcome::not_sent:
		case order_outcome::no_listener:
			refuse(id, start_refusal::unhealthy, source);
			break;
		case order_outcome::invalid:
			refuse(id, start_refusal::invalid, source);
			break;
		case order_outcome::late:
		case order_outcome::fenced:
		case order_outcome::other_incarnation:
			refuse(id, start_refusal::never_started, source);
			break;
		}
		if (is_current(incarnation_id))
			pending_starts_.erase(id);
	}

	asio::awaitable<bool> run_manager::wait_for_listing(const worker_incarnation& incarnation_id)
	{
		// The listing in flight may have been made before this call; the one after it was made later.
		const auto awaited_count = listing_count_ + 2;
		while (is_current(incarnation_id) && listing_count_ < awaited_count)
			co_await pause_for(io_, worker_retry_delay);
		co_return is_current(incarnation_id);
	}

	bool run_manager::is_undecided(const task_run& id, const worker_incarnation& incarnation_id) const noexcept
	{
		return is_current(incarnation_id) && !runs_.contains(id) && !has_ended(id);
	}

	asio::awaitable<void> run_manager::wait_until_settled(task_run id, worker_incarnation incarnation_id,
														  std::int64_t start_deadline_ms)
	{
		while (is_undecided(id, incarnation_id) && listing_clock_ms_ <= start_deadline_ms)
			co_await pause_for(io_, worker_retry_delay);
	}

	asio::awaitable<void> run_manager::resolve_start(task_run id, worker_incarnation incarnation_id,
													 start_attempt attempt)
	{
		++open_orders_;
		log_event(event::start_unanswered, {{"task", to_string(id.task)}, {"run", id.run}});
		bool stopped = false;
		while (is_undecided(id, incarnation_id) && !stopped &&
			   listing_clock_ms_ <= attempt.deadline_ms + max_deadline_error.count())
			stopped = co_await try_stop(id, incarnation_id);
		if (is_undecided(id, incarnation_id))
			(void)co_await wait_for_listing(incarnation_id);
		if (is_undecided(id, incarnation_id) && stopped)
			ages_.erase(id); // it is not on the worker, so it can't crash it
		if (attempt.repeated)
			attempt.deadline_ms = std::max(attempt.deadline_ms, listing_clock_ms_ + max_start_delay.count());
		co_await wait_until_settled(id, incarnation_id, attempt.deadline_ms);
		if (is_undecided(id, incarnation_id))
			refuse(id, start_refusal::never_started, {true, stopped ? by_stop : by_deadline});
		else if (is_current(incarnation_id) && runs_.contains(id))
			record_start(id);
		--open_orders_;
	}

	asio::awaitable<bool> run_manager::try_stop(task_run id, worker_incarnation incarnation_id)
	{
		const auto port = port_;
		const auto result = co_await port->stop(authority(), id, boottime_now() + worker_call_timeout);
		if (!is_current(incarnation_id))
			co_return false;
		record_result(result, boottime_now());
		if (result.outcome == order_outcome::done || result.outcome == order_outcome::superseded)
			co_return true;
		co_await pause_for(io_, worker_retry_delay);
		co_return false;
	}

	void run_manager::stop(const wire::job_stop& order)
	{
		const auto id = from_wire(order.what);
		if (refers_to_current(worker_of(order)) && !has_ended(id))
			begin_stop(id, "owner");
	}

	void run_manager::begin_stop(const task_run& id, std::string_view requested_by)
	{
		if (!pending_stops_.insert(id).second)
			return;
		log_event(event::stop_begun, {{"task", to_string(id.task)}, {"run", id.run}, {"why", requested_by}});
		asio::co_spawn(io_, carry_out_stop(id, worker_->incarnation), asio::detached);
	}

	asio::awaitable<void> run_manager::carry_out_stop(task_run id, worker_incarnation incarnation_id)
	{
		++open_orders_;
		bool stopped = false;
		while (is_current(incarnation_id) && !stopped)
			stopped = co_await try_stop(id, incarnation_id);
		const bool listed = co_await wait_for_listing(incarnation_id);
		// carry_out_start() reports the outcome of a start that is under way.
		if (listed && !pending_starts_.contains(id))
		{
			co_await wait_until_settled(id, incarnation_id, listing_clock_ms_ + max_start_delay.count());
			if (is_undecided(id, incarnation_id))
				refuse(id, start_refusal::never_started, {true, by_stop});
		}
		if (is_current(incarnation_id))
			pending_stops_.erase(id);
		--open_orders_;
	}

	void run_manager::refuse(const task_run& id, start_refusal reason, const refusal_source& source)
	{
		log_event(event::start_refused, {{"task", to_string(id.task)},
										 {"run", id.run},
										 {"why", to_string(reason)},
										 {"by", source.decided_by},
										 {"repeated", source.repeated ? 1 : 0},
										 {"lease_left_ms", lease_deadline_ms_ - worker_now_ms(boottime_now())}});
		record_refusal(refusal_history_, {id, reason});
		unreported_refusals_.push_back({id, reason});
		attributes_.erase(id);
		ages_.erase(id); // it was not on the worker, so it can't have crashed it
		request_report_();
	}

	void run_manager::record_start(const task_run& id)
	{
		// Sent with the next periodic report, since nothing waits for it: without separate reports of starts, an owner
		// of 240 agents received 1,350 reports a second instead of 2,500.
		unreported_starts_.push_back(id);
		record_confirmed(ages_, id, boottime_now());
		disappeared_.ids.erase(id); // a repeated order has started it again
		if (!runs_.contains(id))
			confirmed_unlisted_.insert_or_assign(id, listing_count_);
	}
}
