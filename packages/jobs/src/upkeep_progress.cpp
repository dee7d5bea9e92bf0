// SPDX-License-Identifier: MIT
/// \file
/// \brief Updates the progress of upkeep waves from answers and lists of instances.
#include <trailjunction/jobs/upkeep_wave.hpp>

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace trailjunction
{
	namespace
	{
		/// Time of one upkeep besides the time for which the instance is down: the order, the list that shows the new
		/// worker, and writing the rows.
		constexpr auto upkeep_overhead = millis{2'000};
		constexpr std::uint32_t max_backoff_doublings = 5; ///< Limits the pause after refusals to 64 s.

		bool has_begun(const instance_upkeep& entry) noexcept
		{
			return entry.stage == upkeep_stage::down || entry.stage == upkeep_stage::done;
		}

		bool may_be_down(const instance_upkeep& entry) noexcept
		{
			return entry.stage == upkeep_stage::ordered || entry.stage == upkeep_stage::down ||
				   (entry.listed_in_upkeep && entry.stage != upkeep_stage::removed);
		}

		void enter_stage(instance_upkeep& entry, upkeep_stage stage, instant now)
		{
			entry.stage = stage;
			entry.stage_since = now;
		}

		void reset_to_waiting(instance_upkeep& entry, instant now)
		{
			enter_stage(entry, upkeep_stage::waiting, now);
			entry.worker = {};
			entry.worker_gone = false;
			entry.worker_reported = false;
		}

		bool apply_missing(instance_upkeep& entry, const instance_list& list, const upkeep_policy& policy, instant now)
		{
			if (!entry.missing_since)
				entry.missing_since = list.requested_at;
			if (entry.stage == upkeep_stage::draining)
			{
				reset_to_waiting(entry, now);
				return true;
			}
			const bool gone_for_long =
				list.requested_at - *entry.missing_since >= policy.gone_after && now >= entry.uncertain_until;
			if (!gone_for_long || entry.stage == upkeep_stage::removed || entry.stage == upkeep_stage::done)
				return false;
			enter_stage(entry, upkeep_stage::removed, now);
			return true;
		}

		/// Whether a list that was requested after the order was carried out shows that the upkeep is over.
		bool is_upkeep_over(const instance_upkeep& entry, const listed_instance& listing, instant requested_at,
							const upkeep_policy& policy) noexcept
		{
			if (entry.stage != upkeep_stage::down || requested_at <= entry.stage_since)
				return false;
			if (listing.state == instance_state::up && listing.worker == entry.worker)
				// The upkeep had been carried out before.
				return requested_at - entry.stage_since >= upkeep_cycle_time(policy);
			if (listing.state == instance_state::up)
				return !listing.worker.empty();
			return listing.state == instance_state::absent && requested_at - entry.stage_since >= policy.failed_after;
		}

		bool apply_listed(instance_upkeep& entry, const listed_instance& listing, const instance_list& list,
						  const upkeep_policy& policy, instant now)
		{
			entry.missing_since.reset();
			entry.listed_in_upkeep = listing.state == instance_state::in_upkeep;
			const bool worker_is_up =
				listing.state == instance_state::up && listing.worker == entry.worker && !entry.worker.empty();
			if (entry.stage == upkeep_stage::removed) // the instance exists after all
			{
				reset_to_waiting(entry, now);
				return true;
			}
			if (entry.stage == upkeep_stage::down && list.requested_at > entry.stage_since && !worker_is_up)
				entry.worker_gone = true;
			if (is_upkeep_over(entry, listing, list.requested_at, policy))
			{
				enter_stage(entry, upkeep_stage::done, now);
				return true;
			}
			if (entry.stage == upkeep_stage::draining && !worker_is_up)
			{
				reset_to_waiting(entry, now);
				return true;
			}
			// The list does not show whose upkeep this is: the order is repeated until the service answers it.
			if (entry.stage == upkeep_stage::ordered && entry.listed_in_upkeep && list.requested_at > entry.stage_since)
				entry.worker_gone = true;
			return false;
		}

		/// An order that is no longer wanted is not repeated. Once it can no longer be carried out late, the list
		/// decides.
		bool settle_unwanted(instance_upkeep& entry, const instance_list& list, instant now)
		{
			if (entry.stage != upkeep_stage::ordered || entry.listed_in_upkeep ||
				list.requested_at <= entry.uncertain_until)
				return false;
			reset_to_waiting(entry, now);
			return true;
		}

		instance_upkeep* find_instance(wave_progress& progress, const instance_id& instance)
		{
			const auto found = std::find_if(progress.instances.begin(), progress.instances.end(),
											[&](const instance_upkeep& entry) { return entry.instance == instance; });
			return found == progress.instances.end() ? nullptr : &*found;
		}

		void drop_settled(wave_progress& progress)
		{
			std::erase_if(progress.instances,
						  [](const instance_upkeep& entry) { return entry.dropped && !may_be_down(entry); });
		}
	}

	std::string_view to_string(upkeep_stage stage) noexcept
	{
		switch (stage)
		{
		case upkeep_stage::waiting:
			return "waiting";
		case upkeep_stage::draining:
			return "emptying";
		case upkeep_stage::ordered:
			return "ordered";
		case upkeep_stage::down:
			return "down";
		case upkeep_stage::done:
			return "done";
		case upkeep_stage::removed:
			return "gone";
		}
		return "unnamed";
	}

	std::string_view to_string(upkeep_answer answer) noexcept
	{
		switch (answer)
		{
		case upkeep_answer::carried_out:
			return "carried_out";
		case upkeep_answer::fenced:
			return "fenced";
		case upkeep_answer::busy:
			return "busy";
		case upkeep_answer::not_of_wave:
			return "not_of_wave";
		case upkeep_answer::no_instance:
			return "no_instance";
		case upkeep_answer::too_many:
			return "too_many";
		case upkeep_answer::not_sent:
			return "not_sent";
		case upkeep_answer::unknown:
			return "unknown";
		}
		return "unnamed";
	}

	absl::Status check_wave(const upkeep_wave& wave)
	{
		if (wave.id.empty())
			return absl::InvalidArgumentError("the wave has no name");
		if (wave.instances.empty())
			return absl::InvalidArgumentError("the wave has no instances");
		if (wave.instances.size() > max_wave_instances)
			return absl::InvalidArgumentError(
				absl::StrCat(wave.instances.size(), " instances, at most ", max_wave_instances, " are allowed"));
		if (std::any_of(wave.instances.begin(), wave.instances.end(),
						[](const instance_id& entry) { return entry.empty(); }))
			return absl::InvalidArgumentError("an instance has no name");
		if (wave.max_at_once == 0)
			return absl::InvalidArgumentError("the number of instances down at a time is 0");
		if (wave.time_limit.count() <= 0)
			return absl::InvalidArgumentError("the time limit is not positive");
		return absl::OkStatus();
	}

	wave_progress begin_wave(upkeep_wave wave, std::int64_t requested_ms, instant requested_at)
	{
		wave_progress out;
		out.requested_ms = requested_ms;
		out.requested_at = requested_at;
		change_wave(out, std::move(wave));
		return out;
	}

	void change_wave(wave_progress& progress, upkeep_wave wave)
	{
		const absl::flat_hash_set<instance_id> wanted{wave.instances.begin(), wave.instances.end()};
		absl::flat_hash_set<instance_id> known;
		for (auto& entry : progress.instances)
		{
			known.insert(entry.instance);
			entry.dropped = !wanted.contains(entry.instance);
		}
		drop_settled(progress);
		for (const auto& instance : wave.instances)
		{
			if (!known.insert(instance).second)
				continue;
			instance_upkeep entry;
			entry.instance = instance;
			progress.instances.push_back(std::move(entry));
		}
		progress.wave = std::move(wave);
		progress.withdrawn = false;
		progress.completed = false;
	}

	void withdraw_wave(wave_progress& progress, instant now)
	{
		progress.withdrawn = true;
		for (auto& entry : progress.instances)
			if (entry.stage == upkeep_stage::draining)
				reset_to_waiting(entry, now);
	}

	bool is_settled(const wave_progress& progress) noexcept
	{
		return std::none_of(progress.instances.begin(), progress.instances.end(),
							[](const instance_upkeep& entry) { return may_be_down(entry); });
	}

	bool apply_list(wave_progress& progress, const instance_list& list, const upkeep_policy& policy, instant now)
	{
		bool changed = false;
		for (auto& entry : progress.instances)
		{
			const auto found = list.instances.find(entry.instance);
			if (found == list.instances.end() && !list.complete)
				continue; // it may be one of those that can't be read
			if (found == list.instances.end())
				entry.listed_in_upkeep = false;
			// No short-circuit evaluation: the list is applied to each instance.
			const bool moved = found == list.instances.end() ? apply_missing(entry, list, policy, now)
															 : apply_listed(entry, found->second, list, policy, now);
			const bool unwanted = progress.withdrawn || entry.dropped;
			const bool settled = unwanted && settle_unwanted(entry, list, now);
			changed = changed || moved || settled;
		}
		progress.completed = progress.completed && is_completed(progress);
		const auto before = progress.instances.size();
		drop_settled(progress);
		return changed || progress.instances.size() != before;
	}

	std::vector<worker_incarnation> take_gone_workers(wave_progress& progress)
	{
		std::vector<worker_incarnation> out;
		for (auto& entry : progress.instances)
			if (entry.worker_gone && !std::exchange(entry.worker_reported, true))
				out.push_back(entry.worker);
		return out;
	}

	bool apply_answer(wave_progress& progress, const instance_id& instance, upkeep_answer answer, instant sent,
					  const upkeep_policy& policy, instant now)
	{
		auto* entry = find_instance(progress, instance);
		if (entry == nullptr || entry->stage != upkeep_stage::ordered)
			return false;
		entry->not_before = now + policy.retry_interval;
		switch (answer)
		{
		case upkeep_answer::carried_out:
			enter_stage(*entry, upkeep_stage::down, now);
			return true;
		case upkeep_answer::unknown:
			entry->uncertain_until = std::max(entry->uncertain_until, sent + policy.max_order_delay);
			return false;
		case upkeep_answer::fenced:
		case upkeep_answer::too_many:
		case upkeep_answer::not_sent:
			return false; // stays ordered, and is repeated
		case upkeep_answer::busy:
		case upkeep_answer::not_of_wave:
		case upkeep_answer::no_instance:
			break;
		}
		entry->not_before = now + policy.refusal_backoff * (1U << std::min(entry->refusals, max_backoff_doublings));
		if (now < entry->uncertain_until)
			return false; // an earlier order may have been carried out, or may still be
		++entry->refusals;
		reset_to_waiting(*entry, now);
		drop_settled(progress);
		return true;
	}

	bool is_completed(const wave_progress& progress) noexcept
	{
		if (progress.withdrawn || progress.instances.empty())
			return false;
		return std::all_of(progress.instances.begin(), progress.instances.end(),
						   [](const instance_upkeep& entry)
						   { return entry.stage == upkeep_stage::done || entry.stage == upkeep_stage::removed; });
	}

	bool has_removed_instances(const wave_progress& progress) noexcept
	{
		return std::any_of(progress.instances.begin(), progress.instances.end(),
						   [](const instance_upkeep& entry) { return entry.stage == upkeep_stage::removed; });
	}

	std::uint32_t count_possibly_down(const wave_progress& progress) noexcept
	{
		return static_cast<std::uint32_t>(std::count_if(progress.instances.begin(), progress.instances.end(),
														[](const instance_upkeep& entry)
														{ return may_be_down(entry); }));
	}

	std::size_t instances_left(const wave_progress& progress) noexcept
	{
		return static_cast<std::size_t>(
			std::count_if(progress.instances.begin(), progress.instances.end(),
						  [](const instance_upkeep& entry)
						  { return !entry.dropped && entry.stage != upkeep_stage::removed && !has_begun(entry); }));
	}

	millis upkeep_cycle_time(const upkeep_policy& policy) noexcept
	{
		return policy.duration + upkeep_overhead;
	}
}
