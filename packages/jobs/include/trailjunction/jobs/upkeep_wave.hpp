// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Waves of upkeep: operators ask that each of some instances gets its upkeep in time, a few at once.
/// \details An instance whose upkeep was ordered counts as down until its new worker is seen: orders may be lost, be
/// carried out seconds after they were sent, or be carried out without an answer. The service carries out one upkeep of
/// an instance and wave only, so an order whose outcome is not known is repeated until it is.
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
	using instance_id = strong_id<struct instance_tag>; ///< One instance; outlives the workers on it.

	/// \brief Instances of one wave: their progress has to fit one row of 64 KiB.
	inline constexpr std::size_t most_wave_instances = 500;

	/// \brief What an operator asks for.
	struct upkeep_wave
	{
		wave_id id;
		std::vector<instance_id> instances;
		millis within{};               ///< From the request to the last upkeep's begin.
		std::uint32_t most_at_once{1}; ///< Instances of the wave that may be down for their upkeep at a time.

		[[nodiscard]] friend bool operator==(const upkeep_wave&, const upkeep_wave&) = default;
	};

	/// \brief Where one instance of a wave stands; kept in a row, so that a successor goes on there.
	enum class upkeep_stage : std::uint8_t
	{
		waiting = 0,  ///< Nothing was done about it.
		emptying = 1, ///< Its worker gets nothing new, and what callers would miss goes elsewhere.
		ordered = 2,  ///< The order may have been carried out.
		down = 3,     ///< The order was carried out; its new worker was not seen yet.
		done = 4,     ///< A new worker runs there.
		gone = 5,     ///< The instance is there no more.
	};

	[[nodiscard]] std::string_view to_string(upkeep_stage stage) noexcept;

	/// \brief One instance of a wave.
	struct instance_upkeep
	{
		instance_id instance;
		upkeep_stage stage{upkeep_stage::waiting};
		worker_life worker;                   ///< Beside it, when its emptying began.
		bool dropped{};                       ///< No operator asks for it any more; kept until its order is settled.
		instant since{};                      ///< Of the present stage; of this process only, as all below.
		instant doubt_until{};                ///< An earlier order may still be carried out.
		instant not_before{};                 ///< No order until then.
		std::uint32_t refusals{};             ///< In a row.
		bool seen_in_upkeep{};                ///< By the latest list, whoever ordered it.
		bool worker_gone{};                   ///< A list after the order shows that #worker is there no more.
		bool worker_told{};                   ///< take_gone_workers() has named it.
		std::optional<instant> missing_since; ///< Lists leave it out since then.
	};

	/// \brief How a wave stands.
	struct wave_progress
	{
		upkeep_wave wave;
		std::vector<instance_upkeep> instances;
		std::int64_t asked_ms{}; ///< When an owner learnt of it first, by the store's clock.
		instant asked{};         ///< The same by the clock of this process.
		bool withdrawn{};        ///< Nothing more is begun; kept until all orders are settled.
		bool completed{};        ///< Until an instance is there again that was gone.
	};

	/// \brief What an instance does, as the service that runs instances says.
	enum class instance_state : std::uint8_t
	{
		up,
		in_upkeep,
		absent, ///< Off, or on its way to another pool.
	};

	/// \brief One instance of the list.
	struct listed_instance
	{
		instance_state state{instance_state::absent};
		worker_life worker; ///< The one on it; empty where there is none.
	};

	/// \brief All instances, as of some moment after they were asked for.
	struct instance_list
	{
		absl::flat_hash_map<instance_id, listed_instance> instances;
		instant asked{};
	};

	/// \brief How the service answered an order.
	enum class upkeep_answer : std::uint8_t
	{
		carried_out, ///< Now, or it had been before.
		fenced,      ///< Proved: refused, since an owner with a higher epoch has given orders.
		busy,        ///< Proved: refused, the instance is not up or may not go down.
		not_of_wave, ///< Proved: refused, the service knows no such instance in the wave.
		no_instance, ///< Proved: there is no such instance.
		too_many,    ///< Proved: not looked at, there were too many calls.
		not_sent,    ///< Proved: it never left.
		unknown,     ///< It may have been carried out, or may be later.
	};

	[[nodiscard]] std::string_view to_string(upkeep_answer answer) noexcept;

	/// \brief What is lost with a worker that goes down now.
	struct worker_stake
	{
		std::size_t runs{};            ///< All of them.
		double unsaved{};              ///< Core-seconds that no checkpoint holds.
		std::size_t kept_by_callers{}; ///< Lasting tasks that serve, of groups that state how many may be away.
		std::uint32_t absences_left{}; ///< Fewest over the groups of those; without any: more than any number.
		bool suspected{};              ///< Something there is suspected of crashing workers.
	};

	/// \brief What is known beside the waves themselves.
	struct upkeep_situation
	{
		const absl::flat_hash_map<worker_life, worker_stake>& stakes; ///< Workers that run nothing may be left out.
		const instance_list& list;
		bool work_waits{}; ///< Tasks wait for room on workers.
	};

	/// \brief Times of upkeep.
	struct upkeep_policy
	{
		millis lasts{2'000}; ///< An instance is down for so long.
		/// An order may be carried out so long after it was sent: connections of the platform hold bytes back for as
		/// long as a link is cut, and drop them afterwards.
		millis late_orders{12'000};
		millis repeat_after{1'000}; ///< Between two orders of one instance.
		/// After an order that was refused, so that others come first; twice as long after each further one, since
		/// each time the worker is emptied for it.
		millis busy_pause{2'000};
		/// Emptying a worker takes no longer: most quick tasks and most moves end within it.
		millis longest_emptying{20'000};
		millis list_age{3'000}; ///< A list that is older gives no reason to order anything.
		/// An instance that lists leave out for so long is there no more.
		millis gone_after{12'000};
		/// After its upkeep has begun, an instance that is off for so long has failed, and is down for that.
		millis failed_after{60'000};
	};

	/// \brief Checks a request. \returns Why it cannot be served.
	[[nodiscard]] absl::Status check_wave(const upkeep_wave& wave);

	/// \brief A wave of which nothing was done; an instance that is named twice counts once.
	[[nodiscard]] wave_progress begin_wave(upkeep_wave wave, std::int64_t asked_ms, instant asked);

	/// \brief Takes in a request that has changed, or stands again. What was begun and is not named any more is kept
	/// until it is settled.
	void change_wave(wave_progress& progress, upkeep_wave wave);

	/// \brief Takes in that nobody asks for the wave any more: nothing more is begun.
	void withdraw_wave(wave_progress& progress, instant now);

	/// \brief Whether a withdrawn wave may be forgotten.
	[[nodiscard]] bool is_settled(const wave_progress& progress) noexcept;

	/// \brief Takes in a list. A completed wave goes on where an instance is there again that was gone.
	/// \returns Whether anything changed that has to be kept.
	bool note_list(wave_progress& progress, const instance_list& list, const upkeep_policy& policy, instant now);

	/// \brief Workers that a list after their upkeep's order shows to be there no more; each is told once.
	/// \details Not by the answer alone: it is the same where the upkeep had been carried out long before, and what
	/// runs there then goes on.
	[[nodiscard]] std::vector<worker_life> take_gone_workers(wave_progress& progress);

	/// \brief Takes in an answer. \returns Whether anything changed that has to be kept.
	/// \param sent When the order left.
	bool note_answer(wave_progress& progress, const instance_id& instance, upkeep_answer answer, instant sent,
					 const upkeep_policy& policy, instant now);

	/// \brief Whether each instance of the wave that is still there has had its upkeep.
	[[nodiscard]] bool is_completed(const wave_progress& progress) noexcept;

	/// \brief Whether the wave goes on without an instance that lists leave out.
	[[nodiscard]] bool has_gone(const wave_progress& progress) noexcept;

	/// \brief Instances that may be down for their upkeep, by what may have been ordered and by the latest list.
	[[nodiscard]] std::uint32_t may_be_down(const wave_progress& progress) noexcept;

	/// \brief Instances whose upkeep has not begun for certain.
	[[nodiscard]] std::size_t instances_left(const wave_progress& progress) noexcept;

	/// \brief Whether the wave is not completed within its time.
	[[nodiscard]] bool is_overdue(const wave_progress& progress, instant now) noexcept;

	/// \brief Of one upkeep, from its order until the next one may follow.
	[[nodiscard]] millis turn_time(const upkeep_policy& policy) noexcept;

	/// \brief How long the worker of one instance may be emptied, so that the wave ends within its time.
	[[nodiscard]] millis emptying_time(const wave_progress& progress, const upkeep_policy& policy,
									   instant now) noexcept;

	/// \brief What to do next about an instance.
	struct upkeep_step
	{
		enum class action : std::uint8_t
		{
			empty,  ///< Begin to empty its worker.
			order,  ///< Order its upkeep, once that is kept.
			repeat, ///< Order again what may not have been carried out.
		};
		action what{action::empty};
		std::size_t wave{};     ///< Index of the wave.
		std::size_t instance{}; ///< Index within wave_progress::instances.
	};

	/// \brief The next step of all waves; nothing: there is none now.
	[[nodiscard]] std::optional<upkeep_step> next_step(std::span<const wave_progress> waves,
													   const upkeep_situation& situation, const upkeep_policy& policy,
													   instant now);

	/// \brief Takes in that a step is taken. It is to be kept before an order leaves.
	void take_step(std::span<wave_progress> waves, const upkeep_step& step, const upkeep_situation& situation,
				   instant now);

	/// \brief The row of a wave's progress.
	[[nodiscard]] std::string encode_wave_progress(const wave_progress& progress);

	/// \brief Reads encode_wave_progress()'s row; data_loss where it is none.
	/// \details All that may have been ordered counts as ordered just now, by somebody else.
	[[nodiscard]] absl::StatusOr<wave_progress> decode_wave_progress(const wave_id& id, std::string_view row,
																	 const upkeep_policy& policy, instant now);
}
