// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Which tasks are suspected of crashing the workers that start them.
/// \details A worker runs many tasks when it crashes, and nobody tells whose fault it was. So each task that may have
/// had to do with it is suspected, and its next runs are the test: a suspected task starts apart from others that are
/// suspected, one under which a second worker has crashed starts alone, and one under which a third or fourth has
/// crashed is given up. Any run that goes on for long enough, or ends, clears its task.
#pragma once

#include "job_ids.hpp"

#include <trailjunction/core/units.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace trailjunction
{
	/// \brief When a crash counts against a task, and when it is forgotten.
	struct crash_policy
	{
		/// A task under which so many workers have crashed in a row is given up. Users bear it from two on, and two
		/// more starts after three. Where 11 workers crash 12 times a minute by chance, and one of them 30 times
		/// besides, 3 of 3,616 harmless jobs were given up with a bound of three alone and none with both (played
		/// fleets, 12 minutes).
		std::size_t most_crashes{4};
		/// The same where each crash came promptly after the start, which is rarely so by chance.
		std::size_t most_prompt_crashes{3};
		/// A start and its crash are seen this much apart at the most where the one follows on the other: a worker
		/// answers its agent every 0.4 s.
		millis prompt{500};
		/// A run that goes on for this long, and for clear_factor times as long as any that its worker crashed under,
		/// clears its task.
		millis clear_after{1'000};
		int clear_factor{2};
		/// A run that was there for longer had nothing to do with the crash: tasks that last see a worker crash by
		/// itself from time to time, and are not to be given up for it. No run needs longer to clear its task.
		millis longest_age{10'000};
		/// A worker answers its agent every 0.4 s while it is alive, and the agent reports every 0.5 s. A run that was
		/// ordered this much later than the worker's last answer was ordered from a worker that had crashed by then.
		millis alive_unheard{1'000};
	};

	/// \brief What is held against a task.
	struct crash_record
	{
		std::vector<worker_life> workers; ///< That crashed under its latest runs, one after the other.
		millis longest_age{};             ///< How long, at most, a run of it had been there when its worker crashed.
	};

	/// \brief How a task may be started.
	enum class suspicion : std::uint8_t
	{
		none,
		suspected, ///< One worker has crashed under it: apart from other suspected ones.
		likely,    ///< More have: alone, so that whatever it does is certainly its own.
	};

	[[nodiscard]] suspicion suspicion_of(const crash_record& record) noexcept;

	/// \brief A worker's incarnation that is no more.
	struct lost_worker
	{
		worker_life life;
		std::optional<instant> heard; ///< When it last answered its agent, as far as is known.
	};

	/// \brief How long a run had been on a worker when that crashed; 0 where its order's time is not known.
	/// \returns Nothing where the run cannot have to do with the crash.
	[[nodiscard]] std::optional<millis> age_at_crash(instant ordered, const lost_worker& worker,
													 const crash_policy& policy) noexcept;

	/// \brief Counts a crash against a task; one worker counts once.
	void note_crash(crash_record& record, const worker_life& worker, millis age);

	/// \brief Whether a run that has been there for \p running clears its task.
	[[nodiscard]] bool clears(const crash_record& record, millis running, const crash_policy& policy) noexcept;

	/// \brief Whether the task is not to be started again.
	[[nodiscard]] bool is_given_up(const crash_record& record, const crash_policy& policy) noexcept;
}
