// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Which tasks are suspected of crashing the workers that start them.
/// \details A worker runs many tasks when it crashes, and nobody tells whose fault it was. So each crash is kept twice.
///
/// Its *blame* is shared: all suspects and the worker itself carry 1 together, a run that had just been started nearly
/// all and one that had been there for seconds almost nothing. By the blame of all its crashes a task starts like any
/// other, apart from others that are suspected, or alone; alone too before one more crash would be its last.
///
/// Its *count* is not shared and asks for no blame: a task under which a third or fourth worker in a row has crashed is
/// given up where its last run had started alone, and after a fifth in any case. So however blame is shared, no task is
/// started more often. Any run that goes on for long enough, or ends, clears its task of both.
///
/// Two crashes of workers that go down together with others are not counted. One is under a run that had been there for
/// less long than an earlier one had worked: a task that crashes its workers does so after about the same time, so it
/// would have crashed the earlier worker sooner. The other one is under a run that had worked for a while, as others of
/// its group did for longer, of a task against which three count already, where the other workers ran no task of which
/// that is so: they crashed by another cause, and so did this one.
#pragma once

#include "job_ids.hpp"

#include <trailjunction/core/units.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace trailjunction
{
	/// \brief When a crash counts against a task, and when it is forgotten.
	struct crash_policy
	{
		/// A task under which so many workers have crashed in a row, after about the same time each, is given up.
		std::size_t most_crashes{4};
		/// The same where each crash came promptly after the start, which is rarely so by chance.
		std::size_t most_prompt_crashes{3};
		/// However its runs were started, a task under which so many workers have crashed in a row is given up: users
		/// bear two starts more after three workers have crashed.
		std::size_t most_crashes_beside_others{5};
		/// Other workers that went down in the same instant, from which on a crash is shared with them: two tasks that
		/// crash their workers may do so at the same time by chance, three hardly.
		std::size_t shared_with{2};
		/// From so many counted crashes on, one more does not count that is shared with workers which ran nothing with
		/// as many: tasks that crash their workers in the same instants would have as many.
		std::size_t tested_from{3};
		/// A run that has worked for this long did not crash its worker by being started.
		millis worked_after{200};
		/// Last answers of workers this far apart at the most belong to one instant: a worker answers every 0.4 s, and
		/// its agent reports every 0.5 s.
		millis same_instant{1'000};
		/// Workers come back, or are given up as lost, within their lease. A crash that is learnt of later than that is
		/// not compared with this one.
		millis kept_for{10'000};
		/// Workers differ in speed: one run of a task crashes its worker after this many times another's age at most.
		double age_factor{1.5};
		/// The age of a run at a crash is known to this at best.
		millis age_margin{1'000};
		/// A start and its crash are seen this much apart at the most where the one follows on the other: a worker
		/// answers its agent every 0.4 s.
		millis prompt{500};
		/// A run that goes on for this long, and for clear_factor times as long as any that its worker crashed under,
		/// clears its task.
		millis clear_after{1'000};
		int clear_factor{2};
		/// A run that goes on for so much longer than any that its worker crashed under clears its task too: one that
		/// had been there for 8 s when its worker crashed by chance is not to wait for 16 s, while others crash.
		millis clear_margin{1'000};
		/// The weight of "the worker crashed by itself" beside one run that was just started.
		double by_itself_weight{1.0};
		/// The weight of a run of which nobody knows when it began, since another process ordered it and no worker has
		/// confirmed it since. Most runs are far older than prompt; the count holds those that are not.
		double unknown_age_weight{0.1};
		/// A task that carries all the blame of a crash weighs so much more in the next one.
		double repeat_gain{10.0};
		/// The weight of a task of whose group another one has ended or gone on for clear_after: it is the same work.
		double survived_factor{0.2};
		/// From so much blame on a task starts apart: one of at most nine that were just started.
		double suspected_from{0.1};
		/// From so much blame on it starts alone: more than one crash gives to a run that was there by itself.
		double likely_from{0.6};
		/// A run that goes on for this long takes the blame off its task: blame comes from starts within half of it.
		millis blameless_after{2'000};
		/// A task that lasts waits for a place alone for so long, then it starts where the least is lost: users miss it
		/// after 3 s, and an order takes up to one on a slow store.
		millis patience{1'500};
		/// The same for a task that ends by itself: what its next crash shows is worth more than the wait.
		millis patience_ending{5'000};
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
		std::vector<worker_life> shared;  ///< Those of them that went down together with others.
		millis longest_age{};             ///< How long, at most, a run of it had been there when its worker crashed.
		double blame{};                   ///< Its shares of these crashes together.
		/// For how long at least a run of it had worked when its worker crashed, counted or not.
		millis survived{};
		/// For how long at most one of its runs had been there when its worker crashed; nothing where that is not known
		/// of any.
		std::optional<millis> soonest;
	};

	/// \brief What is known of the time between the start of a run and its worker's crash.
	struct crash_age
	{
		millis survived{};             ///< At least: its worker had confirmed it by then.
		std::optional<millis> soonest; ///< At most: since it was ordered; nothing where that is not known.
	};

	/// \brief Whether a run of the task has worked for so long that a crash of another one after \p age, at most, is
	/// not its doing.
	[[nodiscard]] bool has_outlived(const crash_record& record, millis age, const crash_policy& policy) noexcept;

	/// \brief Whether one cause in the task explains all its crashes: a task that crashes its workers does so after
	/// about the same time each.
	[[nodiscard]] bool fits_one_cause(const crash_record& record, const crash_policy& policy) noexcept;

	/// \brief Takes note of when a worker crashed under a run, whether that counts against its task or not.
	void note_crash_age(crash_record& record, const crash_age& age) noexcept;

	/// \brief How a task may be started.
	enum class suspicion : std::uint8_t
	{
		none,
		suspected, ///< Apart from other suspected ones.
		likely,    ///< Alone, so that whatever it does is certainly its own.
	};

	/// \brief Blame in hundredths, for the log.
	[[nodiscard]] constexpr int to_percent(double blame) noexcept
	{
		return static_cast<int>(100.0 * blame + 0.5);
	}

	/// \brief `like any`, `apart` or `alone`.
	[[nodiscard]] std::string_view to_string(suspicion how) noexcept;

	/// \brief How a task with that record may be started: by its blame, and alone where it would be given up for one
	/// more crash, so that this is its own. By blame alone 9 of 1,170 harmless jobs were given up beside ten
	/// harmful tasks on 11 workers, and 2 of 3,616 under crashes by chance (played fleets).
	[[nodiscard]] suspicion suspicion_of(const crash_record& record, const crash_policy& policy = {}) noexcept;

	/// \brief What a run that had been there for \p age when its worker crashed weighs in the question whose fault it
	/// was; 1 for one that was just started.
	/// \details Falls by the square of the age beyond crash_policy::prompt: a run of 2 s weighs a sixteenth, one of 9 s
	/// a three-hundredth. The harm that was seen came within 10 ms of a start.
	[[nodiscard]] double weight_at(millis age, const crash_policy& policy) noexcept;

	/// \brief A worker's incarnation that is no more.
	struct lost_worker
	{
		worker_life life;
		std::optional<instant> heard; ///< When it last answered its agent, as far as is known.
		/// Other workers that are silent since the same instant and not known to have crashed yet.
		std::vector<worker_life> silent_beside;
		/// What its agent told of the runs that it had: also to an owner that is new, and without the time for which an
		/// order waited for the store.
		absl::flat_hash_map<task_run, crash_age> told;
	};

	/// \brief How long a run had been on a worker when that crashed; 0 where its order's time is not known.
	/// \returns Nothing where the run cannot have to do with the crash.
	[[nodiscard]] std::optional<millis> age_at_crash(instant ordered, const lost_worker& worker,
													 const crash_policy& policy) noexcept;

	/// \brief Counts a crash against a task; one worker counts once.
	/// \param blame The task's share of it.
	void note_crash(crash_record& record, const worker_life& worker, millis age, double blame);

	/// \brief Takes a crash back, and the mean blame of those that are counted.
	/// \returns Whether it was counted.
	bool take_back_crash(crash_record& record, const worker_life& worker);

	/// \brief Counts a crash no more that happened, but had another cause.
	/// \returns Whether it was counted.
	bool discount_crash(crash_record& record, const worker_life& worker);

	/// \brief Marks a counted crash as shared with other workers.
	void mark_shared(crash_record& record, const worker_life& worker);

	/// \brief Whether a run that has been there for \p running clears its task.
	[[nodiscard]] bool clears(const crash_record& record, millis running, const crash_policy& policy) noexcept;

	/// \brief Whether the task is not to be started again.
	/// \param alone Whether the latest run was started alone, so that the crash was its own. A run that had to start
	/// beside others since it had waited for long may have been there by chance: it is tried once or twice more.
	[[nodiscard]] bool is_given_up(const crash_record& record, bool alone, const crash_policy& policy) noexcept;
}
