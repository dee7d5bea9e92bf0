// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Decides which tasks are suspected of crashing the workers that run them.
/// \details The pure rules for the crash record of one task. job_crashes.hpp applies them to the table of jobs, and
/// recent_crashes.hpp finds crashes of several workers at the same time. A worker runs many tasks when it crashes, and
/// nothing reports which of them caused the crash. Each crash is therefore recorded in two ways.
///
/// Its *blame* is divided among all suspects and the worker itself and adds up to 1. A run that had just been started
/// gets nearly all of it, a run that had been on the worker for seconds almost none. Depending on the blame of all its
/// crashes a task starts without restriction, on a worker without other suspects, or alone on a worker. It also starts
/// alone if one more crash would make the system give it up.
///
/// Its *count* is not divided and does not depend on blame. A task is given up after a third or fourth worker in a row
/// has crashed under it if its last run had started alone, and after a fifth in any case. The count therefore bounds
/// the starts of a task however blame is divided. A long-running task is held back instead, see held_tasks.hpp. A run
/// that continues for long enough, or ends, clears both; a run that got as old before it was lost clears earlier ones.
///
/// Only crashes that one cause in the task can explain count together. A task that crashes its workers does so after
/// about the same time, so no run of it gets far older than the run of another such crash. Crashes that contradict each
/// other in this way, in whichever order they came, do not add up; see count_consistent().
///
/// Crashes of one worker in several incarnations do not tell whether the task or the worker is at fault. A task under
/// which a worker has crashed repeatedly starts on other workers for a limited time. If fewer than three different
/// workers have crashed under it, not each of them promptly, it is given up after the fifth crash, not the fourth.
///
/// Crashes of several workers at the same time (correlated crashes) are not counted in two cases. First, the run was
/// younger than an earlier run of the task had become: a task that crashes its workers does so after about the same
/// time, so it would have crashed the earlier worker sooner. Second, all of these hold: the run was past its startup,
/// another task of its group has run for longer, several crashes count against its task already, and the other workers
/// ran no task with as many counted crashes. Those workers crashed for another reason, and so did this one.
#pragma once

#include "job_ids.hpp"

#include <trailjunction/core/ids.hpp>
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
		/// A task is given up after this many workers in a row have crashed under it, each at about the same age of the
		/// run.
		std::size_t max_crashes{4};
		/// The same limit if each crash followed promptly on the start, which rarely happens by chance.
		std::size_t max_prompt_crashes{3};
		/// A task is given up after this many workers in a row have crashed under it, even if none of its runs was
		/// started alone. Users accept two more starts after three workers have crashed.
		std::size_t max_colocated_crashes{5};
		/// Crashes of fewer different workers, not all of them prompt, may as well be the fault of the workers, so that
		/// max_colocated_crashes are needed.
		std::size_t min_crashed_workers{3};
		/// A task avoids a worker that has crashed under it at least this often, also in several incarnations. Only a
		/// start on another worker tells whether the task or the worker is at fault.
		std::size_t min_crashes_to_avoid_worker{2};
		/// A task waits for a worker that it need not avoid for this long. Users miss a task after 3 s, and an order
		/// takes up to 1 s on a slow store.
		millis avoid_worker_timeout{1'500};
		/// A crash is correlated if at least this many other workers crashed at the same time. Two tasks that crash
		/// their workers may do so at the same time by chance; with three this is unlikely.
		std::size_t min_correlated_workers{2};
		/// From this many counted crashes on, a correlated crash is not counted if the other workers ran no task with
		/// as many counted crashes. Tasks that crash their workers at the same time would have as many.
		std::size_t min_crashes_to_exempt{3};
		/// A run of at least this age did not crash its worker by being started.
		millis startup_time{200};
		/// Last responses of workers at most this far apart belong to crashes at the same time. A worker responds every
		/// 0.4 s, and its agent reports every 0.5 s.
		millis correlation_window{1'000};
		/// Workers return, or are given up as lost, within their lease. A crash that is reported later than that is not
		/// compared with this one.
		millis retention{10'000};
		/// Workers differ in speed: if one run of a task crashes its worker, another one does so at this multiple of
		/// its age at most.
		double age_factor{1.5};
		/// The uncertainty in the age of a run at a crash.
		millis age_margin{1'000};
		/// Longest observed time between a start and the crash that it causes. A worker responds to its agent every
		/// 0.4 s.
		millis prompt_age{500};
		/// A run that continues for this long, and for clear_factor times the highest age at which a worker crashed
		/// under the task, clears its task.
		millis clear_after{1'000};
		int clear_factor{2};
		/// A run that outlives the highest age of a crash by this time clears its task, too. A task that was 8 s old
		/// when its worker crashed by chance need not wait for 16 s while other workers crash.
		millis clear_margin{1'000};
		/// The weight of a fault of the worker itself, relative to one run that was just started.
		double worker_fault_weight{1.0};
		/// The weight of a run whose start time is unknown because another process ordered it and no worker has
		/// confirmed it since. Most such runs are far older than prompt_age; the count covers those that are not.
		double unknown_age_weight{0.1};
		/// A task that carries all the blame of a crash gets this much more weight in the next one.
		double repeat_gain{10.0};
		/// Factor on the weight of a task if another task of its group has ended or continued for clear_after: they do
		/// the same work.
		double sibling_survived_factor{0.2};
		/// From this blame on, a task starts on a worker without other suspects. At most nine runs that were just
		/// started can reach it in one crash.
		double suspected_threshold{0.1};
		/// From this blame on, a task starts alone. One crash does not assign this much even to the only run on a
		/// worker.
		double likely_threshold{0.6};
		/// A run that continues for this long lifts the blame from its task: blame comes from starts within half of
		/// this time.
		millis lift_blame_after{2'000};
		/// A long-running task waits for a worker of its own for this long, then it starts where the loss would be
		/// smallest. Users notice its absence after 3 s, and an order takes up to 1 s on a slow store.
		millis isolation_timeout_long_running{1'500};
		/// The same for a task that ends by itself: isolating its next crash is worth the longer wait.
		millis isolation_timeout{5'000};
		/// A long-running task is held back for this long after max_prompt_crashes crashes. Users miss it after 3 s and
		/// tolerate 6 s after its last run.
		millis first_hold{4'000};
		/// The time grows by this factor with each further crash. With first_hold, a task that crashes each worker at
		/// once starts five times within a minute: users accept two more starts after three workers have crashed.
		int hold_growth{4};
		/// The longest time for which a task is held back. A task that crashes its workers costs one crash in this
		/// time; a harmless one returns within it once whatever crashed its workers is over.
		millis max_hold{120'000};
		/// A run older than this is not suspected of a crash. Long-running tasks see workers crash for other reasons
		/// from time to time and must not be given up for that. No run needs longer than this to clear its task.
		millis max_suspect_age{10'000};
		/// A live worker responds to its agent every 0.4 s, and the agent reports every 0.5 s. If a run was ordered
		/// later than this after the worker's last response, the worker had already crashed.
		millis max_response_gap{1'000};
		/// A crash does not count if the worker would have gone down with at least this probability without its tasks.
		double min_external_loss{0.9};
	};

	/// \brief Bounds of the time between the start of a run and its worker's crash.
	struct crash_age
	{
		millis lower_bound{};              ///< The worker had confirmed the run this long before.
		std::optional<millis> upper_bound; ///< The run had been ordered this long before; empty if that is not known.
	};

	/// \brief The earliest crashes of a task are forgotten beyond this number, to limit the size of its stored row.
	/// Higher than any limit of crash_policy and than the number at which crash_policy::max_hold is reached.
	inline constexpr std::size_t max_recorded_crashes = 16;

	/// \brief The crashes that count against a task, and what is known of their timing.
	struct crash_record
	{
		std::vector<worker_incarnation> workers;    ///< Workers that crashed under its latest runs, in order.
		std::vector<crash_age> ages;                ///< Of the runs on #workers, in the same order.
		std::vector<worker_incarnation> correlated; ///< Those of #workers whose crash is correlated.
		millis max_age{};                           ///< Highest age of a run when its worker crashed, by upper bounds.
		double blame{};                             ///< Sum of its shares of the blame of these crashes.
		/// Highest lower bound of the age of any of its runs when its worker crashed, whether that crash is counted or
		/// not.
		millis longest_survived{};
		/// Lowest upper bound of the age of any of its runs when its worker crashed; empty if no upper bound is known.
		std::optional<millis> earliest_crash;
	};

	/// \brief Whether an earlier run of the task reached an age so far above \p age that the task did not cause a crash
	/// at that age.
	/// \param age Upper bound of the age of the run at the crash.
	[[nodiscard]] bool has_outlived(const crash_record& record, millis age, const crash_policy& policy) noexcept;

	/// \brief The most counted crashes that a single cause in the task can explain: no run among them got so much older
	/// than another one that it would have crashed its worker before. Ages that are not known contradict nothing.
	[[nodiscard]] std::size_t count_consistent(const crash_record& record, const crash_policy& policy) noexcept;

	/// \brief Whether a worker has crashed under the task so often that the task should start on another one. Counts
	/// all incarnations of the worker.
	[[nodiscard]] bool should_avoid_worker(const crash_record& record, const worker_incarnation& worker,
										   const crash_policy& policy) noexcept;

	/// \brief Whether there is a worker that the task should avoid.
	[[nodiscard]] bool should_avoid_any_worker(const crash_record& record, const crash_policy& policy) noexcept;

	/// \brief Whether a single cause in the task can explain all its crashes: a task that crashes its workers does so
	/// after about the same time each.
	[[nodiscard]] bool fits_one_cause(const crash_record& record, const crash_policy& policy) noexcept;

	/// \brief Records the age of a run at the crash of its worker, whether that crash counts against its task or not.
	void add_crash_age(crash_record& record, const crash_age& age) noexcept;

	/// \brief How a task may be started.
	enum class suspicion : std::uint8_t
	{
		none,
		suspected, ///< On a worker without other suspects.
		likely,    ///< Alone on a worker, so that a crash is certainly its own.
	};

	/// \brief Blame in percent, for the log.
	[[nodiscard]] constexpr int to_percent(double blame) noexcept
	{
		return static_cast<int>(100.0 * blame + 0.5);
	}

	/// \brief Name of the start mode in the log: `like any`, `apart` or `alone`.
	[[nodiscard]] std::string_view to_string(suspicion level) noexcept;

	/// \brief How a task with this record may be started, by its blame; alone if it would be given up for one more
	/// crash, so that this crash is certainly its own. Without that rule, simulated fleets gave up 9 of 1,170
	/// harmless jobs next to ten harmful tasks on 11 workers, and 2 of 3,616 under random crashes.
	[[nodiscard]] suspicion suspicion_of(const crash_record& record, const crash_policy& policy = {}) noexcept;

	/// \brief Weight of a run of age \p age in the question which run caused the crash; 1 if it was just started.
	/// \details Falls with the square of the age beyond crash_policy::prompt_age: a run of 2 s weighs 1/16, a run of
	/// 9 s about 1/300. The crashes by harmful tasks that were observed came within 10 ms of a start.
	[[nodiscard]] double crash_weight(millis age, const crash_policy& policy) noexcept;

	/// \brief An incarnation of a worker that no longer exists.
	struct lost_worker
	{
		worker_incarnation incarnation;
		std::optional<instant> last_response; ///< Its last response to its agent; empty if unknown.
		/// Other workers that stopped responding at the same time and are not known to have crashed yet.
		std::vector<worker_incarnation> silent_workers;
		/// Ages of its runs as reported by its agent. Available to a new owner, too, and without the time for which an
		/// order waited for the store.
		absl::flat_hash_map<task_run, crash_age> reported_ages;
		bool ages_reported{}; ///< The agent has reported this loss; a run without an age there was not on the worker.
		data_centre_id data_centre; ///< Empty if unknown.
	};

	/// \brief Age of a run when its worker crashed; 0 if the time of its order is not known.
	/// \returns Empty if the run cannot have caused the crash.
	[[nodiscard]] std::optional<millis> age_at_crash(instant ordered, const lost_worker& worker,
													 const crash_policy& policy) noexcept;

	/// \brief Counts a crash against a task; each worker counts once.
	/// \param age The age that counts as that of the run; an estimate if \p bounds has no upper bound.
	/// \param bounds Certain bounds of the age.
	/// \param blame The task's share of the blame.
	void add_crash(crash_record& record, const worker_incarnation& worker, millis age, const crash_age& bounds,
				   double blame);

	/// \brief Removes a crash that did not happen, together with the mean blame of the counted crashes.
	/// \returns Whether the crash had been counted.
	bool remove_crash(crash_record& record, const worker_incarnation& worker);

	/// \brief Stops counting a crash that happened but had another cause; keeps the ages that it showed.
	/// \returns Whether the crash had been counted.
	bool discount_crash(crash_record& record, const worker_incarnation& worker);

	/// \brief Marks a counted crash as correlated with crashes of other workers.
	void mark_correlated(crash_record& record, const worker_incarnation& worker);

	/// \brief Whether a run of age \p running clears its task.
	[[nodiscard]] bool is_cleared_by(const crash_record& record, millis running, const crash_policy& policy) noexcept;

	/// \brief Forgets the earlier crashes if a run that was lost with its worker had got so old that it had cleared its
	/// task, whether its worker's last report arrived or not.
	void clear_outlived_crashes(crash_record& record, const crash_age& lost, const crash_policy& policy);

	/// \brief Whether the task must not be started again or, if it is long-running, is held back.
	/// \param alone Whether the latest run was started alone, so that the crash was its own. A run that started beside
	/// others after a long wait may have been on the worker by chance: it is tried once or twice more.
	[[nodiscard]] bool is_given_up(const crash_record& record, bool alone, const crash_policy& policy) noexcept;
}
