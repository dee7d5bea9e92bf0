// SPDX-License-Identifier: MIT
/// \file
/// \brief The part of job_term that prevents starts in data centres that operators evacuate.
/// \details Nothing may start there later than settings_.evacuate_within after the operators' request. An order is sent
/// only while the knowledge of the requests is at most half as old as that. The age is measured by the process's
/// monotonic clock, which advances while the process is suspended, so an owner that was suspended or cut off between
/// the transaction and the order sends none. The other half covers the transmission of the order and the agent, which
/// forwards it at once or never.
#include "job_term.hpp"

#include <trailjunction/core/event.hpp>

namespace trailjunction
{
	namespace asio = boost::asio;

	namespace
	{
		/// evacuate_within divided by the maximum age of the knowledge of requests; see the top of this file.
		constexpr int bound_to_age_ratio = 2;
	}

	millis job_term::max_evacuation_age() const noexcept
	{
		return settings_.evacuate_within / bound_to_age_ratio;
	}

	start_permission job_term::start_permission_at(const agent_peer& peer, instant now) const noexcept
	{
		return may_start_in(evacuations_.current(), peer.data_centre(), max_evacuation_age(), now);
	}

	void job_term::order_committed_start(const task_run& run_id, const absl::flat_hash_set<task_key>& held, instant now)
	{
		if (!may_order(now))
			return; // stays pending until a later transaction
		const auto* task = find_task(table_, run_id.task);
		const auto* peer = task == nullptr ? nullptr : peer_of(task->worker);
		const auto permission = peer == nullptr ? start_permission::allowed : start_permission_at(*peer, now);
		if (permission == start_permission::unknown && is_placed_on(task->worker, run_id))
			return; // stays pending until a later transaction, when newer requests may be known
		pending_starts_.erase(run_id);
		const bool is_held = held.contains(run_id.task);
		if ((permission != start_permission::evacuated && !is_held) || !is_placed_on(task->worker, run_id))
		{
			order_start(run_id, order_kind::first);
			return;
		}
		log_event(event::run_taken_back, {{"task", to_string(run_id.task)},
										  {"run", run_id.run},
										  {"why", is_held ? "runs_elsewhere" : "evacuated"},
										  {"worker", task->worker.str()}});
		release_run(table_, run_id, now);
		wake();
	}

	std::size_t job_term::runs_to_evacuate() const
	{
		std::size_t out = 0;
		if (evacuations_.current().active.empty())
			return out;
		for (const auto& [name, peer] : peers_)
		{
			const auto placed = table_.placed.find(peer->worker.current_incarnation);
			if (placed != table_.placed.end() && evacuations_.current().active.contains(peer->data_centre()))
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
		// is_over is a named variable, because GCC 12 destroys a temporary argument of a co_await expression twice.
		co_await evacuations_.follow(std::move(is_over));
	}
}
