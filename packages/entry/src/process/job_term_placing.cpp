// SPDX-License-Identifier: MIT
/// \file
/// \brief The part of job_term that gives waiting tasks to workers.
#include "job_term.hpp"

#include "../upkeep/upkeep_duty.hpp"

#include <chrono>
#include <utility>

namespace trailjunction
{
	namespace
	{
		constexpr placement_policy placing{};

		/// Rooms for each agent before those of gone incarnations are dropped.
		constexpr std::size_t most_rooms_each = 4;

		/// For so long after a crash of a worker suspected tasks are rather started on others.
		constexpr auto crashed_lately = millis{10'000};

		/// A worker with nothing charged, which accepts nothing.
		worker_room room_of(const worker_facts& worker)
		{
			worker_room out;
			out.life = worker.life;
			out.service = worker.service;
			out.labels = worker.labels;
			out.capacity = worker.capacity;
			out.pace = worker.filler_pace;
			return out;
		}

		std::int64_t unix_now_ms()
		{
			return std::chrono::duration_cast<millis>(std::chrono::system_clock::now().time_since_epoch()).count();
		}
	}

	void job_term::refresh_rooms(instant now)
	{
		if (rooms_.size() > most_rooms_each * peers_.size())
		{
			rooms_.clear(); // most are of incarnations that have gone
			room_places_.clear();
		}
		for (auto& room : rooms_)
			room.accepts = false;
		for (const auto& [name, peer] : peers_)
		{
			const auto& worker = peer->worker;
			if (worker.life.empty())
				continue;
			const auto [place, is_new] = room_places_.try_emplace(worker.life, rooms_.size());
			if (is_new)
				rooms_.emplace_back();
			auto& room = rooms_[place->second];
			const bool accepted = room.accepts; // over the link to another agent
			if (is_new || std::exchange(peer->room_outdated, false) || table_.changed.contains(worker.life))
			{
				room = room_of(worker);
				charge_workers({&room, 1}, table_, pressures_, placing);
			}
			room.crashed_lately = worker.crashed && now - *worker.crashed < crashed_lately;
			room.accepts = accepted || (peer->has_reported() && may_start_on(worker.life, now) && worker.responsive &&
										!worker.draining && now >= worker.trust.avoided_until &&
										permission_at(*peer, now) == start_permission::allowed &&
										!(upkeep_ && upkeep_->is_leaving(worker.life)));
		}
		table_.changed.clear();
	}

	void job_term::place_waiting(instant now)
	{
		const busy_scope scope{meter_, owner_duty::placing};
		const decision_time at{now, unix_now_ms()};
		auto waiting = waiting_tasks(table_, at.unix_ms);
		waiting_ = waiting.size();
		if (waiting.empty())
			return;
		refresh_rooms(now);
		for (const auto& one : place_tasks(rooms_, table_, std::move(waiting), pressures_, placing, at))
		{
			const auto& life = rooms_[one.worker].life;
			const auto what = assign(table_, one.task, life, now);
			undurable_starts_.insert(what);
			ordered_log_.note(what, life);
		}
		ordered_log_.write();
	}
}
