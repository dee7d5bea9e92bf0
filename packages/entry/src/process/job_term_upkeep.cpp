// SPDX-License-Identifier: MIT
/// \file
/// \brief The part of job_term that moves tasks away from workers whose instances are about to go down for upkeep.
#include "job_term.hpp"

#include "../upkeep/upkeep_controller.hpp"

#include <algorithm>
#include <limits>

namespace trailjunction
{
	namespace asio = boost::asio;

	namespace
	{
		constexpr double millicores_per_core = 1'000.0;
		/// Maximum time from the request for a list of instances until its result is applied.
		constexpr auto max_list_age = millis{2'000};

		/// Adds the loss of one incarnation to that of others with the same id.
		void add_loss(absl::flat_hash_map<worker_incarnation, worker_loss>& losses, const worker_incarnation& worker,
					  const worker_loss& loss)
		{
			const auto [found, is_new] = losses.emplace(worker, loss);
			if (is_new)
				return;
			auto& sum = found->second;
			sum.runs += loss.runs;
			sum.unsaved_core_seconds += loss.unsaved_core_seconds;
			sum.limited_serving_tasks += loss.limited_serving_tasks;
			sum.absences_left = std::min(sum.absences_left, loss.absences_left);
			sum.has_suspects = sum.has_suspects || loss.has_suspects;
		}
	}

	void job_term::create_upkeep(const upkeep_adapter& adapter)
	{
		upkeep_callbacks callbacks;
		callbacks.is_term_over = [this]
		{
			return over_;
		};
		callbacks.may_act = [this]
		{
			return may_act(boottime_now()) && !releasing_;
		};
		callbacks.to_store_ms = [this](instant now)
		{
			return store_now_ms(now);
		};
		callbacks.from_store_ms = [this](std::int64_t store_ms)
		{
			return owned_.renewal_sent + millis{store_ms - owned_.store_ms};
		};
		callbacks.worker_losses = [this]
		{
			return losses_by_worker(boottime_now());
		};
		callbacks.tasks_waiting = [this]
		{
			return waiting_count_ > 0;
		};
		callbacks.on_worker_gone = [this](const worker_incarnation& worker)
		{
			handle_upkeep_began(worker, boottime_now());
		};
		callbacks.wake_term = [this]
		{
			wake();
		};
		upkeep_ = std::make_unique<upkeep_controller>(io_, *settings_.upkeep, adapter, store_, settings_.store_limits,
													  metrics_, upkeep_authority{settings_.member, owned_.row.epoch},
													  std::move(callbacks));
	}

	asio::awaitable<void> job_term::follow_upkeep()
	{
		const auto self = shared_from_this();
		if (upkeep_)
			co_await upkeep_->run_loop();
	}

	worker_loss job_term::loss_of(const worker_incarnation& worker, const absl::flat_hash_set<task_key>& keys,
								  instant now) const
	{
		worker_loss out;
		out.runs = keys.size();
		out.absences_left = std::numeric_limits<std::uint32_t>::max();
		out.has_suspects = suspects_.contains(worker);
		for (const auto& key : keys)
		{
			const auto& job = *find_job(table_, key.job);
			const auto& group = job.spec.groups[key.group];
			const auto& task = *find_task(table_, key);
			if (!group.long_running && !group.checkpointing && task.phase_since != instant{})
			{
				const std::chrono::duration<double> worked = now - task.phase_since;
				out.unsaved_core_seconds +=
					worked.count() * static_cast<double>(group.claim.cpu_milli) / millicores_per_core;
			}
			if (!group.long_running || group.max_unavailable == 0)
				continue;
			const auto away = absent_tasks(job, key.occurrence, key.group);
			out.absences_left =
				std::min(out.absences_left, group.max_unavailable - std::min(away, group.max_unavailable));
			// A task that is being stopped already counts as absent. A task that does not serve yet may do so when the
			// order arrives.
			if (!table_.moves.contains(task_run{key, task.run}))
				++out.limited_serving_tasks;
		}
		return out;
	}

	absl::flat_hash_map<worker_incarnation, worker_loss> job_term::losses_by_worker(instant now) const
	{
		absl::flat_hash_map<worker_incarnation, worker_loss> out;
		for (const auto& [worker, keys] : table_.placed)
			if (!keys.empty())
				add_loss(out, without_start_time(worker), loss_of(worker, keys, now));
		return out;
	}

	std::vector<worker_incarnation> job_term::incarnations_with_runs(const worker_incarnation& name) const
	{
		std::vector<worker_incarnation> out;
		for (const auto& [worker, keys] : table_.placed)
			if (may_refer_to(name, worker))
				out.push_back(worker);
		return out;
	}

	void job_term::handle_upkeep_began(const worker_incarnation& name, instant now)
	{
		for (const auto& worker : incarnations_with_runs(name))
		{
			const auto* peer = peer_of(worker);
			if (peer != nullptr && now - peer->worker.first_report < max_list_age)
				continue; // it may have started after the upkeep
			handle_lost_worker({worker, std::nullopt}, false, "upkeep", now);
		}
		wake();
	}

	void job_term::move_tasks_for_upkeep(instant now)
	{
		if (!upkeep_)
			return;
		for (const auto& name : upkeep_->draining_workers())
			for (const auto& worker : incarnations_with_runs(name))
				for (const auto& run_id : runs_on(table_, worker))
					(void)begin_move(table_, run_id.task, move_reason::upkeep, now); // others stay for now
	}
}
