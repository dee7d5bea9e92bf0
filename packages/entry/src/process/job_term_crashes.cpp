// SPDX-License-Identifier: MIT
/// \file
/// \brief The part of job_term that follows workers which are no more, and finds out which tasks crash them.
/// \details A worker has crashed where its agent tells of another incarnation, or keeps hearing nothing of it until
/// the lease is over. Where the agent is not heard either, it may as well be cut off, and nothing is held against
/// what ran there; nor where the worker had said that it leaves. See crash_suspicion.hpp for what follows.
#include "job_term.hpp"

#include "../upkeep/upkeep_duty.hpp"

#include <trailjunction/core/event.hpp>

#include <absl/strings/str_join.h>

namespace trailjunction
{
	namespace
	{
		constexpr crash_policy crashing{};

		/// A worker that is alive answers its agent every 0.4 s, and the agent reports every 0.5 s: one of which no
		/// answer is known for longer is silent.
		constexpr auto silent_after = millis{1'200};
		/// A report older than this says nothing of its worker's present state: the agent itself may be cut off.
		constexpr auto report_is_fresh = millis{1'000};

		std::string names_of(const crash_record& record)
		{
			return absl::StrJoin(record.workers, " ",
								 [](std::string* out, const worker_life& worker) { out->append(worker.str()); });
		}
	}

	std::vector<worker_life> job_term::silent_since(instant heard, const worker_life& except, instant now) const
	{
		std::vector<worker_life> out;
		for (const auto& [name, peer] : peers_)
		{
			const auto& worker = peer->worker;
			if (worker.life.empty() || worker.life == except || worker.draining || !worker.heard)
				continue;
			const bool tells = peer->has_reported() && now - worker.reported <= report_is_fresh;
			if (tells && now - *worker.heard >= silent_after && is_same_instant(*worker.heard, heard, crashing))
				out.push_back(worker.life);
		}
		return out;
	}

	void job_term::note_crash(lost_worker& worker, instant now)
	{
		if (!worker.heard)
			return;
		worker.silent_beside = silent_since(*worker.heard, worker.life, now);
		for (const auto& key : note_crash_of(table_, worker, crashing))
			log_event(event::task_cleared, {{"task", to_string(key)}, {"why", "its worker crashed with others"}});
	}

	void job_term::lose_worker(lost_worker worker, bool crashed, std::string_view why, instant now)
	{
		// One that went down for its instance's upkeep, or may have, has not crashed.
		crashed = crashed && (!upkeep_ || !upkeep_->may_have_gone_down(worker.life));
		if (crashed)
			note_crash(worker, now);
		auto lost = runs_lost_with(table_, worker, crashed, crashing);
		if (lost.empty())
			return;
		log_event(event::worker_lapsed, {{"worker", worker.life.str()},
										 {"why", why},
										 {"crashed", crashed ? 1 : 0},
										 {"runs", lost.size()},
										 {"silent_beside", worker.silent_beside.size()}});
		for (auto& run : lost)
		{
			if (undurable_starts_.contains(run.what))
				run.age.reset(); // it was never ordered
			take_back_lost(run, worker.life, now);
		}
	}

	void job_term::take_back_lost(const lost_run& lost, const worker_life& worker, instant now)
	{
		const auto effect = lose_run(table_, lost, worker, crashing, now);
		if (effect == end_effect::ignored)
			return;
		ended_log_.note(lost.what, worker, to_string(run_outcome::lapsed));
		if (!lost.age)
			return;
		const auto& key = lost.what.task;
		const auto& crashes = find_task(table_, key)->crashes;
		suspects_[worker].insert(key);
		log_event(event::task_suspected, {{"task", to_string(key)},
										  {"run", lost.what.run},
										  {"worker", worker.str()},
										  {"age_ms", lost.age->count()},
										  {"survived_ms", lost.known.survived.count()},
										  {"crashes", crashes.workers.size()},
										  {"shared", crashes.shared.size()},
										  {"counted", is_held_against(table_, key, worker) ? 1 : 0},
										  {"share_percent", to_percent(lost.blame)},
										  {"blame_percent", to_percent(crashes.blame)},
										  {"next_start", to_string(suspicion_of(crashes))}});
		metrics_.counter("tasks_suspected", "Times that a task was suspected of having crashed its worker.")
			.Increment();
		if (effect != end_effect::job_over)
			return;
		log_event(event::task_given_up, {{"task", to_string(key)}, {"workers", names_of(crashes)}});
		metrics_.counter("tasks_given_up", "Tasks that are not started again since they crash their workers.")
			.Increment();
	}

	void job_term::lose_earlier_lives(agent_peer& peer, const worker_facts& before, const lost_worker& told,
									  instant now)
	{
		// Agents tell of an incarnation only once it has answered them, and there is one worker beside an agent. So
		// those that were there before have ended, and all that ran in them. An agent of the same name at another
		// address is on another instance; the worker on the one before may be at work until its lease is over.
		std::vector<worker_life> gone;
		for (const auto& [life, seat] : agent_beside_)
			if (seat.agent == peer.name() && life != peer.worker.life && seat.address == to_string(peer.where()))
				gone.push_back(life);
		for (const auto& life : gone)
		{
			agent_beside_.erase(life);
			const bool known = life == before.life;
			const bool crashed = !known || !before.draining;
			if (crashed && table_.placed.contains(life))
				peer.worker.crashed = now;
			lost_worker lost{life, known ? before.heard : std::nullopt, {}, {}};
			if (told.life == life)
				lost = told;
			lose_worker(std::move(lost), crashed, "restarted", now);
		}
	}

	void job_term::lose_if_ended(const agent_peer& peer, const wire::job_report& report, instant now)
	{
		if (!report.__isset.lost || report.lost.worker != report.worker)
			return;
		lose_worker({peer.worker.life, peer.worker.heard, {}, {}}, false, "ended", now);
		wake();
	}

	void job_term::lose_lapsed(instant now)
	{
		std::vector<worker_life> lapsed;
		for (const auto& [life, keys] : table_.placed)
		{
			const auto confirmed = confirmed_.find(life);
			if (now >= lease_over(confirmed == confirmed_.end() ? began_ : confirmed->second, run_lease_))
				lapsed.push_back(life);
		}
		for (const auto& life : lapsed)
		{
			const auto* peer = peer_of(life);
			const bool crashed = peer != nullptr && !peer->worker.responsive && !peer->worker.draining;
			lose_worker({life, crashed ? peer->worker.heard : std::nullopt, {}, {}}, crashed, "lease over", now);
		}
	}

	void job_term::note_suspects(const job_state& job)
	{
		for (std::size_t i = 0; i < job.tasks.size(); ++i)
			for (const auto& worker : job.tasks[i].crashes.workers)
				suspects_[worker].insert(key_of(job, i));
	}

	void job_term::drop_cleared_suspects()
	{
		for (auto& [worker, keys] : suspects_)
			absl::erase_if(keys,
						   [this, &life = worker](const task_key& key) { return !is_held_against(table_, key, life); });
		absl::erase_if(suspects_, [](const auto& entry) { return entry.second.empty(); });
	}

	void job_term::clear_suspects(const agent_peer& peer)
	{
		const auto& worker = peer.worker;
		if (!worker.responsive || !worker.heard)
			return;
		const auto cleared = [](const task_key& key, std::string_view why)
		{
			log_event(event::task_cleared, {{"task", to_string(key)}, {"why", why}});
		};
		if (const auto blamed = suspects_.extract(worker.life); !blamed.empty())
			for (const auto& key : blamed.mapped())
				if (forgive_crash(table_, key, worker.life))
					cleared(key, "its worker is there");
		const auto placed = table_.placed.find(worker.life);
		if (placed == table_.placed.end())
			return;
		for (const auto& key : placed->second)
			if (clear_crashes(table_, {key, find_task(table_, key)->run}, crashing, *worker.heard))
				cleared(key, "it goes on");
			else if (lift_blame(table_, {key, find_task(table_, key)->run}, crashing, *worker.heard))
				log_event(event::blame_lifted, {{"task", to_string(key)}, {"worker", worker.life.str()}});
	}
}
