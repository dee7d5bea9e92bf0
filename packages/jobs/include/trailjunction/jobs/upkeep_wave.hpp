// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Upkeep waves: operators request the upkeep of a set of instances within a time limit, a few at a time.
/// \details An instance whose upkeep was ordered counts as down until its new worker is seen: an order may be lost, be
/// carried out seconds after it was sent, or be carried out without an answer. The service carries out only one upkeep
/// per instance and wave, so that an order with an unknown outcome can be repeated until it is known.
#pragma once

#include "job_ids.hpp"

#include <trailjunction/core/ids.hpp>
#include <trailjunction/core/units.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace trailjunction
{
	using wave_id = strong_id<struct wave_tag>;         ///< One wave; chosen by the operator.
	using instance_id = strong_id<struct instance_tag>; ///< One instance; persists when its worker is replaced.

	/// \brief The most instances of one wave; its progress has to fit into one row of 64 KiB.
	inline constexpr std::size_t max_wave_instances = 500;

	/// \brief The operator's request.
	struct upkeep_wave
	{
		wave_id id;
		std::vector<instance_id> instances;
		millis time_limit{};          ///< From the request until the last upkeep begins.
		std::uint32_t max_at_once{1}; ///< Instances of the wave that may be down for their upkeep at a time.

		[[nodiscard]] friend bool operator==(const upkeep_wave&, const upkeep_wave&) = default;
	};

	/// \brief The progress of one instance of a wave; stored, so that the next owner continues from it.
	enum class upkeep_stage : std::uint8_t
	{
		waiting = 0,  ///< Nothing was begun.
		draining = 1, ///< Its worker gets no new work, and tasks that callers need are moved elsewhere.
		ordered = 2,  ///< The order may have been carried out.
		down = 3,     ///< The order was carried out; its new worker was not seen yet.
		done = 4,     ///< A new worker runs there.
		removed = 5,  ///< The instance no longer exists.
	};

	[[nodiscard]] std::string_view to_string(upkeep_stage stage) noexcept;

	/// \brief One instance of a wave.
	struct instance_upkeep
	{
		instance_id instance;
		upkeep_stage stage{upkeep_stage::waiting};
		worker_incarnation worker;            ///< Its worker when draining began.
		bool dropped{};                       ///< No longer requested; kept until the outcome of its order is known.
		instant stage_since{};                ///< Start of the present stage. Not stored, like all members below.
		instant uncertain_until{};            ///< Until then an earlier order may still be carried out.
		instant not_before{};                 ///< Earliest time of the next order.
		std::uint32_t refusals{};             ///< Consecutive refusals.
		bool listed_in_upkeep{};              ///< The latest list shows it in upkeep, whoever ordered that.
		bool worker_gone{};                   ///< A list after the order shows that #worker is gone.
		bool worker_reported{};               ///< take_gone_workers() has returned it.
		std::optional<instant> missing_since; ///< Time of the first list in a row that omits it.
	};

	/// \brief The progress of a wave.
	struct wave_progress
	{
		upkeep_wave wave;
		std::vector<instance_upkeep> instances;
		std::int64_t requested_ms{}; ///< When an owner first saw the request, by the store's clock.
		instant requested_at{};      ///< The same time by the clock of this process.
		bool withdrawn{};            ///< Nothing more is begun; kept until the outcome of all orders is known.
		bool completed{};            ///< Reset if an instance that was gone returns.
	};

	/// \brief State of an instance as reported by the service that runs instances.
	enum class instance_state : std::uint8_t
	{
		up,
		in_upkeep,
		absent, ///< Off, or on its way to another pool.
	};

	/// \brief One instance in the list.
	struct listed_instance
	{
		instance_state state{instance_state::absent};
		worker_incarnation worker; ///< Its worker; empty if there is none.
	};

	/// \brief All instances, as of some moment after the request for the list.
	struct instance_list
	{
		absl::flat_hash_map<instance_id, listed_instance> instances;
		instant requested_at{};
		bool complete{true}; ///< Whether all entries could be read; if not, an instance that is not named may exist.
	};

	/// \brief The service's answer to an order.
	enum class upkeep_answer : std::uint8_t
	{
		carried_out, ///< Carried out now or before.
		fenced,      ///< Certainly not carried out: an owner with a higher epoch has given orders.
		busy,        ///< Certainly not carried out: the instance is not up or may not go down.
		not_of_wave, ///< Certainly not carried out: the service knows no such instance in the wave.
		no_instance, ///< Certainly not carried out: there is no such instance.
		too_many,    ///< Certainly not carried out: rejected unread because there were too many calls.
		not_sent,    ///< Certainly not carried out: the order was never sent.
		unknown,     ///< It may have been carried out, or may still be.
	};

	[[nodiscard]] std::string_view to_string(upkeep_answer answer) noexcept;

	/// \brief What is lost if a worker goes down now.
	struct worker_loss
	{
		std::size_t runs{};            ///< All runs on the worker.
		double unsaved_core_seconds{}; ///< Core-seconds of work since the last checkpoints.
		/// Long-running tasks that serve callers, of groups with a limit of absent tasks.
		std::size_t limited_serving_tasks{};
		/// Lowest number of further absences that one of their groups allows; the maximum value if there is no such
		/// group.
		std::uint32_t absences_left{};
		bool has_suspects{}; ///< A run there is suspected of crashing workers.
	};

	/// \brief Inputs of the decisions besides the waves themselves.
	struct upkeep_context
	{
		/// By worker; workers without runs may be omitted.
		const absl::flat_hash_map<worker_incarnation, worker_loss>& losses;
		const instance_list& list;
		bool tasks_waiting{}; ///< Tasks wait for capacity on workers.
	};

	/// \brief Time limits of upkeep.
	struct upkeep_policy
	{
		millis duration{2'000}; ///< How long an instance is down.
		/// Longest delay between sending an order and its execution: connections of the platform buffer bytes for as
		/// long as a link is cut, and drop them afterwards.
		millis max_order_delay{12'000};
		millis retry_interval{1'000}; ///< Between two orders for one instance.
		/// Pause after a refused order, so that other instances come first. Doubled after each further refusal, because
		/// each attempt drains the worker.
		millis refusal_backoff{2'000};
		/// Longest time for draining a worker: most short tasks and most moves end within it.
		millis max_drain_time{20'000};
		millis max_list_age{3'000}; ///< An older list does not justify an order.
		/// An instance that lists omit for this long no longer exists.
		millis gone_after{12'000};
		/// An instance that is off for this long after its upkeep began has failed, and no longer counts as down for
		/// upkeep.
		millis failed_after{60'000};
	};

	/// \brief Checks a request. \returns Why it cannot be served.
	[[nodiscard]] absl::Status check_wave(const upkeep_wave& wave);

	/// \brief Creates the progress of a wave of which nothing was begun; an instance that is named twice counts once.
	[[nodiscard]] wave_progress begin_wave(upkeep_wave wave, std::int64_t requested_ms, instant requested_at);

	/// \brief Applies a request that has changed or was renewed. Instances that were begun and are no longer named are
	/// kept until the outcome of their orders is known.
	void change_wave(wave_progress& progress, upkeep_wave wave);

	/// \brief Applies the withdrawal of a wave: nothing more is begun.
	void withdraw_wave(wave_progress& progress, instant now);

	/// \brief Whether a withdrawn wave may be deleted.
	[[nodiscard]] bool is_settled(const wave_progress& progress) noexcept;

	/// \brief Applies a list of instances. A completed wave continues if an instance returns that was gone.
	/// \returns Whether anything changed that has to be stored.
	bool apply_list(wave_progress& progress, const instance_list& list, const upkeep_policy& policy, instant now);

	/// \brief Workers that are gone according to a list after their upkeep's order; each is returned once.
	/// \details The answer alone is not sufficient: it is the same if the upkeep had been carried out long before, and
	/// then the worker there continues.
	[[nodiscard]] std::vector<worker_incarnation> take_gone_workers(wave_progress& progress);

	/// \brief Applies the answer to an order. \returns Whether anything changed that has to be stored.
	/// \param sent When the order was sent.
	bool apply_answer(wave_progress& progress, const instance_id& instance, upkeep_answer answer, instant sent,
					  const upkeep_policy& policy, instant now);

	/// \brief Whether each instance of the wave that still exists has had its upkeep.
	[[nodiscard]] bool is_completed(const wave_progress& progress) noexcept;

	/// \brief Whether the wave continues without an instance that lists omit.
	[[nodiscard]] bool has_removed_instances(const wave_progress& progress) noexcept;

	/// \brief Number of instances that may be down for their upkeep, by possible orders and by the latest list.
	[[nodiscard]] std::uint32_t count_possibly_down(const wave_progress& progress) noexcept;

	/// \brief Number of instances whose upkeep has not certainly begun.
	[[nodiscard]] std::size_t instances_left(const wave_progress& progress) noexcept;

	/// \brief Whether the wave has exceeded its time limit.
	[[nodiscard]] bool is_overdue(const wave_progress& progress, instant now) noexcept;

	/// \brief Time of one upkeep, from its order until the next one may follow.
	[[nodiscard]] millis upkeep_cycle_time(const upkeep_policy& policy) noexcept;

	/// \brief How long the worker of one instance may be drained so that the wave ends within its time limit.
	[[nodiscard]] millis drain_time(const wave_progress& progress, const upkeep_policy& policy, instant now) noexcept;

	/// \brief The next action for an instance.
	struct upkeep_step
	{
		enum class action : std::uint8_t
		{
			drain,  ///< Begin to drain its worker.
			order,  ///< Order its upkeep, once the step is stored.
			repeat, ///< Repeat an order that may not have been carried out.
		};
		action kind{action::drain};
		std::size_t wave{};     ///< Index of the wave.
		std::size_t instance{}; ///< Index within wave_progress::instances.
	};

	/// \brief The next step of all waves; empty if there is none now.
	[[nodiscard]] std::optional<upkeep_step> next_step(std::span<const wave_progress> waves,
													   const upkeep_context& context, const upkeep_policy& policy,
													   instant now);

	/// \brief Applies a step. The result has to be stored before an order is sent.
	void apply_step(std::span<wave_progress> waves, const upkeep_step& step, const upkeep_context& context,
					instant now);

	/// \brief Encodes the row with a wave's progress.
	[[nodiscard]] std::string encode_wave_progress(const wave_progress& progress);

	/// \brief Maximum size of the row with a wave's progress until the wave is completed, for ids of workers of usual
	/// length.
	[[nodiscard]] std::size_t max_encoded_size(const wave_progress& progress);

	/// \brief Decodes encode_wave_progress()'s row; data_loss if it is malformed.
	/// \details Everything that may have been ordered counts as ordered just now by another owner.
	[[nodiscard]] absl::StatusOr<wave_progress> decode_wave_progress(const wave_id& id, std::string_view row,
																	 const upkeep_policy& policy, instant now);
}
