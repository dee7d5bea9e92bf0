// SPDX-License-Identifier: MIT
/// \file
/// \brief The part of job_term that keeps new work away from data centres that are being emptied.
/// \details Nothing may start there from settings_.evacuate_within after the operators' request on. An order goes out
/// only while what is known of the requests is at most half of that old, by the clock of this process, which goes on
/// while the process stands still: an owner that was frozen or cut off between the transaction and the order sends
/// none. What is left of the time is for the way of the order and for the agent, which passes it on at once or never.
#include "job_term.hpp"

#include <trailjunction/core/event.hpp>

namespace trailjunction
{
	namespace asio = boost::asio;

	namespace
	{
		constexpr int ages_in_bound = 2; ///< See the top of this file.
	}

	millis job_term::evacuation_age() const noexcept
	{
		return settings_.evacuate_within / ages_in_bound;
	}

	start_permission job_term::permission_at(const agent_peer& peer, instant now) const noexcept
	{
		return may_start_in(evacuations_.known(), peer.data_centre(), evacuation_age(), now);
	}

	void job_term::order_kept_start(const task_run& what, instant now)
	{
		const auto* task = find_task(table_, what.task);
		const auto* peer = task == nullptr ? nullptr : peer_of(task->worker);
		const auto permission = peer == nullptr ? start_permission::allowed : permission_at(*peer, now);
		if (permission == start_permission::not_known && is_placed_on(task->worker, what))
			return; // stays among the starts of the next transaction, when more may be known
		undurable_starts_.erase(what);
		if (permission != start_permission::evacuated || !is_placed_on(task->worker, what))
		{
			order_start(what, order_kind::first);
			return;
		}
		log_event(
			event::run_taken_back,
			{{"task", to_string(what.task)}, {"run", what.run}, {"why", "evacuated"}, {"worker", task->worker.str()}});
		release_run(table_, what, now);
		wake();
	}

	std::size_t job_term::runs_to_be_left() const
	{
		std::size_t out = 0;
		if (evacuations_.known().standing.empty())
			return out;
		for (const auto& [name, peer] : peers_)
		{
			const auto placed = table_.placed.find(peer->worker.life);
			if (placed != table_.placed.end() && evacuations_.known().standing.contains(peer->data_centre()))
				out += placed->second.size();
		}
		return out;
	}

	asio::awaitable<void> job_term::follow_evacuations()
	{
		const auto self = shared_from_this();
		std::function<bool()> is_over = [self]
		{
			return self->over_;
		};
		co_await evacuations_.follow(std::move(is_over)); // a name of its own: GCC 12 frees such arguments twice
	}
}
