// SPDX-License-Identifier: MIT
/// \file
/// \brief Chooses the next step of upkeep waves.
#include <trailjunction/jobs/upkeep_wave.hpp>

#include <algorithm>
#include <limits>
#include <tuple>

namespace trailjunction
{
	namespace
	{
		/// Draining uses the time that is available for it divided by this; the rest is a reserve for instances that
		/// are busy and for lost calls.
		constexpr int drain_time_divisor = 2;
		/// While tasks wait for capacity, a wave begins nothing if its remaining time is more than this multiple of the
		/// time that it needs.
		constexpr int max_reserve_factor = 3;

		millis time_left(const wave_progress& progress, instant now) noexcept
		{
			return std::chrono::duration_cast<millis>(progress.requested_at + progress.wave.time_limit - now);
		}

		/// Number of rounds, with as many instances down at a time as allowed, until all had their upkeep.
		std::int64_t rounds_left(const wave_progress& progress) noexcept
		{
			const auto left = static_cast<std::int64_t>(instances_left(progress));
			const auto at_once = static_cast<std::int64_t>(std::max(1U, progress.wave.max_at_once));
			return (left + at_once - 1) / at_once;
		}

		/// Inputs of the decisions about one wave.
		struct decision_inputs
		{
			std::span<const wave_progress> waves;
			const wave_progress& wave;
			const upkeep_context& context;
			const upkeep_policy& policy;
			instant now;
		};

		worker_loss loss_of(const upkeep_context& context, const worker_incarnation& worker)
		{
			const auto found = context.losses.find(worker);
			if (found != context.losses.end())
				return found->second;
			return {0, 0.0, 0, std::numeric_limits<std::uint32_t>::max(), false};
		}

		/// Whether another wave is working on the instance: an instance may be part of several waves, but only one of
		/// them handles it at a time.
		bool is_in_other_wave(const decision_inputs& inputs, const instance_id& instance)
		{
			for (const auto& other : inputs.waves)
			{
				if (&other == &inputs.wave)
					continue;
				for (const auto& entry : other.instances)
					if (entry.instance == instance &&
						(entry.stage == upkeep_stage::draining || entry.stage == upkeep_stage::ordered ||
						 entry.stage == upkeep_stage::down))
						return true;
			}
			return false;
		}

		const listed_instance* find_listed(const decision_inputs& inputs, const instance_upkeep& entry)
		{
			const auto found = inputs.context.list.instances.find(entry.instance);
			return found == inputs.context.list.instances.end() ? nullptr : &found->second;
		}

		bool has_recent_list(const decision_inputs& inputs)
		{
			return inputs.context.list.requested_at != instant{} &&
				   inputs.now - inputs.context.list.requested_at <= inputs.policy.max_list_age;
		}

		bool may_be_ordered(const decision_inputs& inputs, const instance_upkeep& entry)
		{
			const auto* listing = find_listed(inputs, entry);
			if (inputs.now < entry.not_before || listing == nullptr || listing->state != instance_state::up ||
				listing->worker != entry.worker)
				return false;
			const auto loss = loss_of(inputs.context, entry.worker);
			if (loss.limited_serving_tasks > 0)
				return false; // callers would miss more tasks than their groups allow
			return loss.runs == 0 ||
				   inputs.now - entry.stage_since >= drain_time(inputs.wave, inputs.policy, inputs.now);
		}

		bool may_be_drained(const decision_inputs& inputs, const instance_upkeep& entry)
		{
			const auto* listing = find_listed(inputs, entry);
			return entry.stage == upkeep_stage::waiting && !entry.dropped && inputs.now >= entry.not_before &&
				   listing != nullptr && listing->state == instance_state::up && !listing->worker.empty() &&
				   !is_in_other_wave(inputs, entry.instance);
		}

		bool may_begin(const decision_inputs& inputs)
		{
			if (inputs.wave.withdrawn || inputs.wave.completed || !has_recent_list(inputs))
				return false;
			const auto needed = rounds_left(inputs.wave) * upkeep_cycle_time(inputs.policy);
			return !inputs.context.tasks_waiting || time_left(inputs.wave, inputs.now) <= max_reserve_factor * needed;
		}

		std::optional<std::size_t> find_to_repeat(const decision_inputs& inputs)
		{
			if (inputs.wave.withdrawn)
				return std::nullopt;
			for (std::size_t i = 0; i < inputs.wave.instances.size(); ++i)
				if (const auto& entry = inputs.wave.instances[i];
					entry.stage == upkeep_stage::ordered && !entry.dropped && inputs.now >= entry.not_before)
					return i;
			return std::nullopt;
		}

		std::optional<std::size_t> find_to_order(const decision_inputs& inputs)
		{
			if (inputs.wave.withdrawn || !has_recent_list(inputs) ||
				count_possibly_down(inputs.wave) >= inputs.wave.wave.max_at_once)
				return std::nullopt;
			for (std::size_t i = 0; i < inputs.wave.instances.size(); ++i)
				if (const auto& entry = inputs.wave.instances[i];
					entry.stage == upkeep_stage::draining && may_be_ordered(inputs, entry))
					return i;
			return std::nullopt;
		}

		/// The instance whose worker can be drained with the smallest loss.
		std::optional<std::size_t> find_to_drain(const decision_inputs& inputs)
		{
			const auto& members = inputs.wave.instances;
			const auto draining_count =
				std::count_if(members.begin(), members.end(),
							  [](const instance_upkeep& entry) { return entry.stage == upkeep_stage::draining; });
			if (!may_begin(inputs) || static_cast<std::uint32_t>(draining_count) + count_possibly_down(inputs.wave) >=
										  inputs.wave.wave.max_at_once)
				return std::nullopt;
			const auto rank = [&](std::size_t index)
			{
				const auto loss = loss_of(inputs.context, find_listed(inputs, members[index])->worker);
				return std::tuple{loss.has_suspects, loss.limited_serving_tasks > 0 && loss.absences_left == 0,
								  loss.unsaved_core_seconds,
								  std::numeric_limits<std::uint32_t>::max() - loss.absences_left, index};
			};
			std::optional<std::size_t> best;
			for (std::size_t i = 0; i < members.size(); ++i)
				if (may_be_drained(inputs, members[i]) && (!best || rank(i) < rank(*best)))
					best = i;
			return best;
		}
	}

	bool is_overdue(const wave_progress& progress, instant now) noexcept
	{
		return !progress.completed && !progress.withdrawn && time_left(progress, now).count() < 0;
	}

	millis drain_time(const wave_progress& progress, const upkeep_policy& policy, instant now) noexcept
	{
		const auto rounds = std::max<std::int64_t>(1, rounds_left(progress));
		const auto spare = time_left(progress, now) / rounds - upkeep_cycle_time(policy);
		return std::clamp(spare / drain_time_divisor, millis{0}, policy.max_drain_time);
	}

	std::optional<upkeep_step> next_step(std::span<const wave_progress> waves, const upkeep_context& context,
										 const upkeep_policy& policy, instant now)
	{
		using action = upkeep_step::action;
		for (std::size_t i = 0; i < waves.size(); ++i)
			if (const auto index = find_to_repeat({waves, waves[i], context, policy, now}))
				return upkeep_step{action::repeat, i, *index};
		for (std::size_t i = 0; i < waves.size(); ++i)
			if (const auto index = find_to_order({waves, waves[i], context, policy, now}))
				return upkeep_step{action::order, i, *index};
		for (std::size_t i = 0; i < waves.size(); ++i)
			if (const auto index = find_to_drain({waves, waves[i], context, policy, now}))
				return upkeep_step{action::drain, i, *index};
		return std::nullopt;
	}

	void apply_step(std::span<wave_progress> waves, const upkeep_step& step, const upkeep_context& context, instant now)
	{
		auto& entry = waves[step.wave].instances[step.instance];
		switch (step.kind)
		{
		case upkeep_step::action::drain:
			entry.worker = context.list.instances.at(entry.instance).worker;
			entry.stage = upkeep_stage::draining;
			entry.stage_since = now;
			return;
		case upkeep_step::action::order:
			entry.stage = upkeep_stage::ordered;
			entry.stage_since = now;
			return;
		case upkeep_step::action::repeat:
			return;
		}
	}
}
