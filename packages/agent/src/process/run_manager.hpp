// SPDX-License-Identifier: MIT
/// \file
/// \brief Manages the runs of one worker for a job agent: orders to the worker, its listings, its lease.
#pragma once

#include "listing_memory.hpp"
#include "run_ages.hpp"
#include "unlisted_runs.hpp"

#include <trailjunction/agent/job_agent_process.hpp>
#include <trailjunction/jobs/filler_pacing.hpp>
#include <trailjunction/jobs/refusal_memory.hpp>
#include <trailjunction/jobs/run_lease.hpp>

#include <trailjunction/wire/job_messages.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace trailjunction
{
	/// \brief Timeout of a call to the worker on the same instance; far above the slowest answer seen without faults.
	inline constexpr auto worker_call_timeout = millis{400};
	/// \brief Delay before a failed call is retried, so that a worker that fails at once is not called in a busy loop.
	inline constexpr auto worker_retry_delay = millis{100};
	/// \brief Consecutive failed listings after which the worker counts as unresponsive.
	inline constexpr int max_failed_listings = 2;
	/// \brief First step by which a fencing token is raised that a worker refuses; it doubles with each refusal.
	inline constexpr auto first_fencing_token_step = millis{1'000};

	/// \brief Carries out an owner's orders on the worker and reports their outcomes.
	/// \details An agent that restarts learns its state from the first listing, except the attributes of its runs,
	/// which the owner sends again, and the lease that its worker holds: that is assumed to be the longest one.
	class run_manager final : public worker_listener
	{
	public:
		using port_factory = std::function<std::unique_ptr<worker_port>(endpoint)>;

		/// \param longest_lease Upper limit of the lease that an owner sets.
		/// \param request_report Called when a report should be sent soon.
		run_manager(boost::asio::io_context& io, port_factory make_port, millis longest_lease, pacing_policy pacing,
					std::function<void()> request_report);

		void on_heartbeat(worker_heartbeat heartbeat) override;
		void on_worker_leaving(const worker_incarnation& incarnation_id) override;

		/// \brief Sets the lease of the runs, which starts at the stamp of the report that the owner confirms.
		void set_lease(millis lease) noexcept;

		void start(wire::job_start order);
		void stop(const wire::job_stop& order);
		void confirm(const wire::job_confirm& answer);

		/// \brief Makes a report for the owner and clears what it contains from the list of unreported changes.
		/// \param full Whether to report the complete state, for an owner that has none yet. While the worker is
		/// unknown, the full report is deferred to the first report that contains the worker.
		[[nodiscard]] wire::job_report report(bool full);

		/// \brief Refuses further starts and extends no lease any more, since the agent is about to stop.
		void begin_shutdown() noexcept
		{
			closing_ = true;
		}
		/// \brief Whether the agent may exit: nothing runs, or half of the lease has passed.
		/// \details A run whose agent has exited cannot be stopped before its lease ends. Half of a lease leaves time
		/// for a successor to start, and shortens the time in which a run cannot be stopped.
		[[nodiscard]] bool may_exit(instant now) const noexcept;
		/// \brief Number of orders whose outcome is not known yet.
		[[nodiscard]] std::size_t open_orders() const noexcept
		{
			return open_orders_;
		}

	private:
		struct run_attributes
		{
			millis latency_target{};
			bool filler{};
			bool movable{}; ///< Only of a filler; see wire.thrift.
			std::string image;
			pressures_by_image pressures; ///< Only of a filler.
			resources claim;              ///< Resources that the run takes on the worker.
		};
		struct tracked_run
		{
			listed_run listed;
			bool changed_since_report{};
			std::int64_t reported_figure{-1};
			target_overrun overrun; ///< Only of a serving task.
		};

		/// For the log: what proved that a run was not started.
		struct refusal_source
		{
			bool repeated{}; ///< The order was marked as a repetition; an earlier one may have been carried out.
			std::string_view decided_by; ///< One of "worker", "agent", "stop" and "refused_before".
		};

		/// A start of which the outcome is not known.
		struct start_attempt
		{
			std::int64_t deadline_ms{}; ///< Time on the worker's clock after which the worker refuses the start.
			bool repeated{};            ///< An earlier process of this agent may have sent the start, too.
		};

		/// The previous incarnation of the worker.
		struct lost_incarnation
		{
			worker_incarnation incarnation;
			instant last_response{}; ///< Time of its last answer.
			absl::flat_hash_map<task_run, crash_age> runs;
		};

		struct filler_pace
		{
			int target_percent{100};
			int acknowledged_percent{100}; ///< The pace that the worker last acknowledged.
			instant acknowledged_at{};
			slow_since slow;
		};

		boost::asio::awaitable<void> listing_loop();
		/// Switches to another incarnation only after it has answered a call, since a heartbeat of a former one may be
		/// late.
		boost::asio::awaitable<void> probe_incarnation(worker_heartbeat heartbeat);
		boost::asio::awaitable<void> pause_after_listing(const listing_order& order);
		boost::asio::awaitable<void> carry_out_start(wire::job_start order, bool has_room);
		boost::asio::awaitable<void> carry_out_stop(task_run id, worker_incarnation incarnation_id);
		/// Waits until the outcome of a start without an answer is known, and reports it.
		/// \details A stop keeps the current incarnation from carrying out the start late, but not the next one, which
		/// knows of no stop and whose clock starts anew. Its first report would tell, too late if the task runs
		/// elsewhere by then. So the run counts as refused no earlier than the current incarnation has outlived the
		/// deadline of the start.
		boost::asio::awaitable<void> resolve_start(task_run id, worker_incarnation incarnation_id,
												   start_attempt attempt);
		/// Sends one stop; pauses if it fails.
		/// \returns Whether the worker has answered it.
		boost::asio::awaitable<bool> try_stop(task_run id, worker_incarnation incarnation_id);
		/// Waits for a listing that was made after a deadline on the worker's clock, or contains the run.
		boost::asio::awaitable<void> wait_until_settled(task_run id, worker_incarnation incarnation_id,
														std::int64_t start_deadline_ms);
		/// Whether the incarnation is the current one and has listed neither the run nor its end.
		[[nodiscard]] bool is_undecided(const task_run& id, const worker_incarnation& incarnation_id) const noexcept;
		boost::asio::awaitable<void> pace_fillers();
		void move_slow_fillers(instant now);
		boost::asio::awaitable<bool> wait_for_listing(const worker_incarnation& incarnation_id);
		/// \param clock_ms The worker's clock when it made the listing.
		void apply_listing(worker_listing listing, std::int64_t clock_ms);
		/// Removes the runs from confirmed_unlisted_ that need not be kept any longer.
		/// \returns Those that a listing made after the confirmation should contain.
		[[nodiscard]] std::vector<task_run> take_overdue_confirmations(const worker_listing& listing);
		/// Handles runs that the worker had and that have disappeared without an end.
		void note_unlisted_runs(const worker_listing& listing);
		void choose_paces(instant now);
		[[nodiscard]] std::vector<monitored_serving_task> monitor_serving_tasks(instant now);
		[[nodiscard]] std::vector<task_run> fillers_to_pace(instant now) const;
		[[nodiscard]] int mean_pace() const noexcept;
		void record_result(const order_result& result, instant answered_at);
		/// \param heartbeat With the name under which the incarnation is reported to owners.
		/// \param stated_name The name that the worker states.
		void begin_incarnation(const worker_heartbeat& heartbeat, const worker_incarnation& stated_name);
		/// Begins an incarnation that states the name of the current one, under a name of its own.
		void begin_incarnation_of_same_name();
		/// Records that the process of the worker has ended after its notice, so that its lease need not be waited for.
		void record_worker_exit();
		/// Records the runs of the previous incarnation with their ages.
		void record_lost_incarnation();
		/// \param requested_by Who requested the stop, for the log.
		void begin_stop(const task_run& id, std::string_view requested_by);
		void refuse(const task_run& id, start_refusal reason, const refusal_source& source);
		/// Handles a further order to start a run that was refused before.
		void handle_refused_run(const task_run& id, start_refusal reason, bool repeated);
		void log_overlapping_runs();
		void record_start(const task_run& id);
		/// Whether a run fits beside all others, by the capacity in the worker's last heartbeat.
		/// \details Not every worker checks its capacity, and the capacity may shrink while an order is in flight,
		/// while a store is slow or while this process is suspended. The agent learns the worker's capacity first, so
		/// the last check is made here. A run that is being stopped counts until the worker lists its end.
		[[nodiscard]] bool has_room_for(const task_run& id, const resources& claim, instant now) const;
		[[nodiscard]] bool may_be_running(const task_run& id) const noexcept;
		[[nodiscard]] bool is_current(const worker_incarnation& incarnation_id) const noexcept;
		/// Whether a message of an owner, or a notice of the worker, refers to the current incarnation.
		[[nodiscard]] bool refers_to_current(const worker_incarnation& name) const noexcept;
		/// The lease, acknowledgements and wait time of the next listing call.
		[[nodiscard]] listing_order next_listing_order() const noexcept;
		/// When the runs of the current incarnation end unless they are confirmed, as their owner counts.
		[[nodiscard]] instant lease_end_time() const noexcept;
		/// Stops runs that late orders to the former incarnation have started, once no owner counts on them any more.
		void stop_unconfirmed_runs(instant now);
		/// How much longer the worker may hold a lease that no owner has confirmed; 0 if it holds none.
		[[nodiscard]] millis unconfirmed_lease(instant now) const noexcept;
		/// Records that a call with another token may have extended the worker's lease by now.
		void note_leased_by_others(instant now) noexcept;
		/// Raises the fencing token above one that the worker has seen from an earlier process of this agent.
		void raise_fencing_token(instant now) noexcept;
		[[nodiscard]] bool has_ended(const task_run& id) const noexcept;
		/// Whether a heartbeat with the current name is of an earlier incarnation that stated the same name.
		[[nodiscard]] bool is_of_former_namesake(const worker_heartbeat& heartbeat, instant now) const noexcept;
		/// The name under which an incarnation is reported to owners.
		[[nodiscard]] worker_incarnation reported_name(const worker_incarnation& stated_name) const;
		[[nodiscard]] order_authority authority() const;
		[[nodiscard]] std::int64_t worker_now_ms(instant now) const noexcept;
		/// Time at which the worker's clock was read, moved later by the suspension of this instance since then.
		[[nodiscard]] instant adjusted_clock_read_time() const noexcept;
		/// The least value of the current incarnation's clock in the answer to a call; the next incarnation's is lower.
		/// \details Only an answer proves a clock, unless heartbeats suggest that the next incarnation is there: its
		/// clock may have passed that of the former one's latest answer.
		[[nodiscard]] std::int64_t least_worker_clock_ms(instant sent_at) const noexcept;

		boost::asio::io_context& io_;
		port_factory make_port_;
		millis longest_lease_;
		pacing_policy pacing_;
		std::function<void()> request_report_;
		std::shared_ptr<worker_port> port_;
		std::optional<worker_heartbeat> worker_; ///< With the name under which it is reported to owners.
		worker_incarnation stated_name_;         ///< The name that the current incarnation states itself.
		std::uint32_t name_repetitions_{};       ///< Incarnations before the current one that stated the same name.
		listing_memory listing_memory_;
		/// A heartbeat with the current name had a lower sequence number than one before: it was late, or the next
		/// incarnation states the same name.
		bool may_be_next_namesake_{};
		instant heartbeat_at_{}; ///< Arrival of the latest heartbeat of the current incarnation.
		absl::flat_hash_set<worker_incarnation> probed_incarnations_; ///< Incarnations to which a probe is in flight.
		millis lease_{};
		/// Only increases in the lifetime of the process, over all incarnations of the worker.
		std::int64_t fencing_token_{};
		millis fencing_token_step_{};    ///< By how much the token is raised after the next refusal.
		std::int64_t worker_clock_ms_{}; ///< The worker's clock in an answer that had arrived by clock_read_at_.
		instant clock_read_at_{};
		/// Total time for which this instance had been suspended by clock_read_at_.
		std::chrono::nanoseconds suspended_at_clock_read_{};
		std::int64_t lease_deadline_ms_{}; ///< Time on the worker's clock up to which the runs are confirmed.
		/// When the lease of the former incarnation ends; empty if this process has not seen one, or the owner has
		/// confirmed the current one.
		std::optional<instant> former_lease_end_;
		/// Calls with other tokens than the one in use may still extend the worker's lease: calls to an incarnation
		/// with the same id, or of an earlier process of this agent. A listing call with the token in use ends that.
		bool may_be_leased_by_others_{};
		/// Time by which the worker had carried out such calls, as far as is known; empty if none was to be expected.
		std::optional<instant> leased_by_others_at_;
		/// Total time for which this instance had been suspended by leased_by_others_at_.
		std::chrono::nanoseconds suspended_when_leased_{};
		std::int64_t ends_kept_{};
		std::int64_t ends_reported_{};
		/// Up to which number a call without an answer acknowledged ends; the next incarnation may carry it out. 0 if
		/// the worker has answered since.
		std::int64_t unanswered_acknowledgement_{};
		std::int64_t first_listed_end_{}; ///< Number of the first end in the latest listing; 0 if it had none.
		std::uint64_t listing_count_{};   ///< Number of complete listings; lets coroutines wait for a new one.
		std::int64_t listing_clock_ms_{}; ///< The worker's clock in the latest complete listing.
		int failed_listings_{};
		bool has_just_stated_start_time_{}; ///< The latest listing call was answered, and changed nothing.
		bool closes_connections_{};         ///< No connection was open right after an answer to a listing call.
		bool has_listing_{};
		bool full_report_due_{}; ///< A full report was requested and has not been sent yet.
		absl::flat_hash_map<task_run, tracked_run> runs_;
		absl::flat_hash_map<task_run, run_attributes> attributes_;
		absl::flat_hash_map<task_run, filler_pace> paces_;
		absl::flat_hash_set<task_run> pending_starts_;
		/// Runs that the worker has confirmed, kept until a listing that was certainly made after the confirmation;
		/// with the value of listing_count_ at the confirmation.
		absl::flat_hash_map<task_run, std::uint64_t> confirmed_unlisted_;
		disappeared_runs disappeared_;
		run_ages ages_;         ///< Ages of the runs in runs_, pending_starts_ and confirmed_unlisted_.
		bool announced_exit_{}; ///< The worker announced that it is about to end.
		bool worker_exited_{};  ///< The process of the worker has ended.
		std::optional<lost_incarnation> lost_incarnation_;
		bool lost_report_due_{}; ///< lost_incarnation_ has not been reported yet.
		absl::flat_hash_set<task_run> pending_stops_;
		std::vector<listed_end> ends_;
		std::vector<refused_run> unreported_refusals_;
		refusal_memory refusal_history_;
		std::vector<task_run> unreported_starts_;
		std::vector<task_run> unreported_unlisted_runs_;
		instant paces_changed_at_{};
		bool fillers_stopped_{}; ///< A serving task tolerates no filler now; 0 is reported as pace.
		bool pacing_in_progress_{};
		bool closing_{};
		std::size_t open_orders_{};
	};
}
