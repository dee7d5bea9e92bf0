// SPDX-License-Identifier: MIT
/// \file
/// \brief One term of ownership of the jobs: from a takeover by this member until the ownership is lost or released.
#pragma once

#include "../connection/agent_peer.hpp"
#include "evacuation_follower.hpp"
#include "idle_meter.hpp"
#include "owner_meter.hpp"
#include "run_log.hpp"

#include <trailjunction/entry/job_entry_settings.hpp>
#include <trailjunction/entry/job_gateway.hpp>
#include <trailjunction/jobs/filler_pressure.hpp>
#include <trailjunction/jobs/idle_long_running.hpp>
#include <trailjunction/jobs/job_crashes.hpp>
#include <trailjunction/jobs/job_placement.hpp>
#include <trailjunction/jobs/job_rows.hpp>
#include <trailjunction/jobs/job_table.hpp>
#include <trailjunction/jobs/room_forecast.hpp>
#include <trailjunction/jobs/run_listing.hpp>
#include <trailjunction/jobs/shrunk_rooms.hpp>
#include <trailjunction/net/process_metrics.hpp>
#include <trailjunction/store/commit_lookup.hpp>
#include <trailjunction/store/row_store.hpp>
#include <trailjunction/store/store_monitor.hpp>

#include <absl/container/flat_hash_map.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace trailjunction
{
	class upkeep_controller;
	struct upkeep_adapter;
	struct worker_loss;

	/// \brief The ownership row held by this member and its latest renewal.
	struct owned_row
	{
		stored::ownership row;
		std::int64_t version{};
		instant renewal_sent{};
		std::int64_t store_ms{}; ///< The store's clock at the renewal, in ms.
		millis lease{1'500};     ///< The shortest lease that a rival may have read since the renewal was sent.
	};

	/// \brief Schedules and tracks all jobs during one term of ownership.
	/// \details Every change of a job is committed in one transaction with the owner row, on condition that the row
	/// still has the version this owner wrote last. Orders to agents and acknowledgements of ended runs are sent only
	/// after the commit.
	class job_term : public std::enable_shared_from_this<job_term>
	{
	public:
		using depth_handler = std::function<void(queue_depths)>;

		job_term(boost::asio::io_context& io, const job_entry_settings& settings, row_store& store,
				 const evacuation_rows& evacuations, process_metrics& metrics, owned_row owned, depth_handler on_depths,
				 const upkeep_adapter* upkeep = nullptr);
		~job_term();
		job_term(const job_term&) = delete;
		job_term& operator=(const job_term&) = delete;

		/// \brief Reads all jobs and agents, and renews the owner row meanwhile.
		/// \returns The store's error if the state could not be read; Aborted if another member has taken the row over.
		[[nodiscard]] boost::asio::awaitable<absl::Status> load();

		/// \brief Schedules jobs until the row is lost or released.
		[[nodiscard]] boost::asio::awaitable<void> work();

		/// \brief Releases the row with the next transaction.
		void release();

		/// \brief Whether the term ended because this member could not keep up.
		[[nodiscard]] bool handed_over() const noexcept
		{
			return handed_over_;
		}

	private:
		struct durable_ends
		{
			std::shared_ptr<agent_peer> peer;
			worker_incarnation from_incarnation;
			std::int64_t last_number{};
			std::uint64_t full_reports{}; ///< As of worker_state when the number was read.
		};
		struct agent_location
		{
			std::string agent;
			std::string address; ///< Of its control endpoint when it reported the worker.
		};
		/// A job whose progress is written, and the number of rows that it takes.
		struct saved_job
		{
			job_id id;
			std::size_t rows{};
		};
		struct batch
		{
			row_transaction change;
			std::vector<saved_job> saved;
			std::vector<task_run> starts;
			std::vector<durable_ends> ends;
			std::vector<std::shared_ptr<agent_peer>> workers; ///< Agents whose worker rows are written.
			std::size_t waves{};                              ///< Number of rows with waves that are written.
			std::vector<job_id> removed;                      ///< Jobs whose progress is removed.
			bool has_statistics{};                            ///< The owner row has depths and a forecast.
			bool is_reduced{};                                ///< The store has rejected what else it held.
			/// The only change that the store has rejected; given up once it has accepted the owner row without it.
			std::shared_ptr<const batch> suspect;
			instant sent{};

			/// Number of changes besides the owner row; each is written or left out as a whole.
			[[nodiscard]] std::size_t changes() const noexcept
			{
				return saved.size() + workers.size() + waves + removed.size();
			}
		};

		/// Maximum number of changes in one transaction. The store accepts 100 entries; the owner row and its condition
		/// take two, and a change may take several.
		static constexpr std::size_t max_batch_changes = 90;

		// job_term.cpp: the transactions
		[[nodiscard]] batch make_batch(instant now);
		void add_owner_row(batch& out, bool loaded);
		/// Refreshes the forecast in the owner row when it is due; clears it while too little is known.
		void forecast_if_due(bool loaded);
		[[nodiscard]] room_forecast make_forecast(instant now);
		/// Records the wait that the forecast predicts for a new job.
		void record_predicted_wait(const job_state& job);
		/// Observes the forecast error of a job that starts now, if its predicted wait was recorded.
		void observe_forecast_error(const job_id& id, instant now);
		boost::asio::awaitable<void> renew_while_loading();
		boost::asio::awaitable<absl::Status> read_state();
		boost::asio::awaitable<absl::StatusOr<row_page>> read_with_retries(std::vector<row_range> ranges);
		/// Whether nothing may be started because cancellations or evacuation requests may have been missed for too
		/// long.
		[[nodiscard]] bool has_stale_input(instant now) const noexcept;
		void log_stale_input(instant now);
		[[nodiscard]] millis evacuations_age(instant now) const noexcept;
		[[nodiscard]] bool has_recent_submissions(millis max_age, instant now) const noexcept;
		void add_jobs(batch& out, transaction_space& space, instant now);
		/// The jobs whose progress has changed, those of first_jobs_ first.
		[[nodiscard]] std::vector<job_id> unsaved_jobs();
		/// Adds the progress of a job to a batch.
		/// \returns Whether it fits.
		[[nodiscard]] bool add_progress(batch& out, transaction_space& space, const job_state& job,
										progress_rows progress);
		/// The progress of a job as it is to be stored. If it exceeds the limits, the job fails.
		[[nodiscard]] std::optional<progress_rows> encode_within_limits(job_state& job, instant now);
		/// Keys of the rows with the progress of a job, from the index \p first on.
		[[nodiscard]] std::vector<row_name> stored_progress_rows(const job_id& id, std::size_t first) const;
		void add_progress_removals(batch& out, transaction_space& space);
		void add_workers(batch& out, transaction_space& space);
		[[nodiscard]] stored::worker worker_row(const agent_peer& peer) const;
		boost::asio::awaitable<bool> commit(batch& pending);
		void on_committed(const batch& durable_batch, instant now);
		// job_term_rejections.cpp: transactions that the store rejects for good
		/// \brief Reduces a rejected transaction to the owner row, so that the lease is renewed all the same.
		/// \details Its other changes are pending again, and the following transactions hold fewer of them until only
		/// the one that the store rejects is left out.
		void isolate_rejected(batch& rejected, std::string_view reason);
		/// The latest transaction with the owner row alone, without statistics.
		[[nodiscard]] batch make_reduced_batch();
		/// Makes the changes of a batch other than the owner row pending again.
		void restore_changes(const batch& rejected);
		/// Gives up the only change of a batch.
		void discard_change(const batch& rejected, instant now);
		/// Starts of a job that are not ordered yet.
		[[nodiscard]] std::vector<task_run> pending_starts_of(const job_id& id) const;
		/// Fails a job whose progress cannot be stored, or stops storing it if it has ended already.
		void discard_progress(const job_id& id, std::string_view reason, instant now);
		/// Orders a start that has been committed, or withdraws it if it is no longer permitted by now.
		/// \param held Tasks that must not start yet; see tasks_with_unplaced_runs().
		void order_committed_start(const task_run& run_id, const absl::flat_hash_set<task_key>& held, instant now);
		boost::asio::awaitable<void> wait_for_work();
		void wake();
		boost::asio::awaitable<void> monitor_load();
		void log_load(instant now);
		/// Whether most agents that this owner has heard, or all if it has heard none, have fallen silent.
		[[nodiscard]] bool is_cut_off_from_agents(instant now) const noexcept;
		void hand_over_if_behind(std::chrono::nanoseconds lag, instant now);
		[[nodiscard]] std::int64_t store_now_ms(instant now) const noexcept;
		[[nodiscard]] bool may_act(instant now) const noexcept;
		/// Whether agents may be claimed and given orders: this member is certainly the only owner. The successor of a
		/// released row does not wait for the lease.
		[[nodiscard]] bool may_order(instant now) const noexcept;

		// job_term_expiry.cpp: removal of expired rows, as long as the term lasts
		boost::asio::awaitable<void> remove_expired_submissions();
		/// Removes the rows of cancelled ids that have expired.
		boost::asio::awaitable<void> remove_expired_cancellations();
		boost::asio::awaitable<void> remove_expired_cancellations_in(std::string partition);
		[[nodiscard]] std::vector<job_id> expired_jobs(instant now) const;

		// job_term_pressures.cpp: the learnt pressures in the store
		void apply_pressures(const std::vector<stored_row>& rows);
		/// Stores the learnt pressures as long as the term lasts.
		boost::asio::awaitable<void> store_pressures();

		// job_term_idle.cpp: long-running tasks without a run
		/// Reports the long-running tasks without a run, by reason, when the next search is due.
		void report_idle_if_due(instant now);
		[[nodiscard]] idle_context make_idle_context(instant now);
		void log_idle_changes(const idle_changes& changes) const;
		/// Reports the long-running tasks of a job that has failed.
		void note_failed_long_running(const job_state& job);

		// job_term_inputs.cpp: input from the store
		boost::asio::awaitable<void> follow_submissions();
		boost::asio::awaitable<void> follow_agents();
		boost::asio::awaitable<void> follow_evacuations();
		boost::asio::awaitable<void> reread_submissions();
		boost::asio::awaitable<void> reread_agents();
		boost::asio::awaitable<void> apply_submissions_in_chunks(const std::vector<stored_row>& rows);
		void apply_submissions(std::span<const stored_row> rows);
		/// Registers a job as ended if its stored progress says that it has ended and none of its runs is left.
		[[nodiscard]] bool register_if_ended(const job_id& id, const std::string& submission);
		void store_undecoded_progress(const std::vector<stored_row>& rows);
		/// Decodes the stored progress of a job, if there is any.
		[[nodiscard]] absl::Status apply_progress(job_state& job, instant now);
		void apply_agents(const std::vector<stored_row>& rows);
		void apply_workers(const std::vector<stored_row>& rows);

		// job_term_workers.cpp: reports from workers and orders to them
		void on_report(agent_peer& peer, wire::job_report&& report);
		void note_worker(agent_peer& peer, const wire::job_report& report);
		/// Handles the first report of an incarnation.
		void begin_incarnation(agent_peer& peer, const worker_incarnation& reported, const wire::job_report& report,
							   instant now);
		void note_ends(agent_peer& peer, const wire::job_report& report, instant now);
		/// Records the end of a run on the agent's worker.
		/// \returns Whether the run was placed there and had not ended.
		bool record_end(const agent_peer& peer, const listed_end& end, instant now);
		void note_refusals(agent_peer& peer, const wire::job_report& report, instant now);
		/// Ends the runs that a worker has lost although it goes on, so that their tasks start again.
		void note_unlisted(agent_peer& peer, const wire::job_report& report, instant now);
		void note_running(agent_peer& peer, const wire::job_report& report, instant now);
		void note_unplaced(agent_peer& peer, const wire::job_report& report);
		void learn_pressures(const agent_peer& peer, instant now);
		void reconcile(agent_peer& peer, const wire::job_report& report);
		void confirm(agent_peer& peer, const wire::job_report& report, instant now);
		void place_waiting(instant now);
		/// Tasks with a run on a worker where they are not placed; started elsewhere, they would run twice.
		[[nodiscard]] absl::flat_hash_set<task_key> tasks_with_unplaced_runs(instant now) const;
		void stop_needless_runs(instant now);
		/// Whether the start of a run may have been ordered before.
		enum class order_kind
		{
			first,         ///< No earlier order.
			repeated,      ///< An earlier order may have been carried out.
			known_running, ///< The run exists: the order only tells the agent its properties.
		};
		void order_start(const task_run& run_id, order_kind kind);
		/// Records that the agent of the task's worker may call the worker to start the task's latest run.
		void note_start_order(job_task& task, instant now);
		/// \param why The reason that is logged.
		/// \returns Whether the order was sent.
		bool order_stop(agent_peer& peer, const task_run& run_id, std::string_view why);
		/// Sends an order unless another member may own the jobs by now. A withheld order is decided anew from a full
		/// report once this member certainly owns them.
		/// \returns Whether the order was sent.
		bool send_order(agent_peer& peer, const wire::envelope& order);
		/// Requests full reports from the agents whose orders were withheld.
		void review_withheld_orders(instant now);
		/// Whether the operators' evacuation requests permit starts on the agent's worker.
		[[nodiscard]] start_permission start_permission_at(const agent_peer& peer, instant now) const noexcept;
		/// Maximum age of the knowledge of evacuation requests at which runs may still be started.
		[[nodiscard]] millis max_evacuation_age() const noexcept;
		/// Number of runs on workers in data centres that are being evacuated.
		[[nodiscard]] std::size_t runs_to_evacuate() const;
		[[nodiscard]] std::vector<wire::image_pressure> colocated_pressures(const worker_incarnation& worker,
																			const std::string& filler) const;
		[[nodiscard]] bool is_placed_on(const worker_incarnation& worker, const task_run& run_id) const noexcept;
		[[nodiscard]] agent_peer* peer_of(const worker_incarnation& worker) const noexcept;
		/// Whether the worker holds a lease for long enough that a run may be started on it now.
		[[nodiscard]] bool may_start_on(const worker_incarnation& worker, instant now) const;
		void refresh_rooms(instant now);

		// job_term_moves.cpp: voluntary moves of tasks
		void move_from_shrunk_rooms(instant now);
		// job_term_upkeep.cpp: upkeep of instances
		void create_upkeep(const upkeep_adapter& adapter);
		boost::asio::awaitable<void> follow_upkeep();
		[[nodiscard]] worker_loss loss_of(const worker_incarnation& worker, const absl::flat_hash_set<task_key>& keys,
										  instant now) const;
		[[nodiscard]] absl::flat_hash_map<worker_incarnation, worker_loss> losses_by_worker(instant now) const;
		/// The incarnations with runs that a name of the service that runs instances may stand for.
		[[nodiscard]] std::vector<worker_incarnation> incarnations_with_runs(const worker_incarnation& name) const;
		/// Requeues the runs of a worker whose instance went down for upkeep.
		void handle_upkeep_began(const worker_incarnation& name, instant now);
		/// Moves tasks away from workers whose instances are about to go down for upkeep.
		void move_tasks_for_upkeep(instant now);

		// job_term_crashes.cpp: lost workers, and the tasks suspected of crashing them
		/// Which runs of a lost worker are over.
		enum class lost_scope
		{
			all,
			listed, ///< Others may go on in the next incarnation; their losses are postponed.
		};
		void handle_lost_worker(lost_worker worker, bool crashed, std::string_view why, instant now,
								lost_scope scope = lost_scope::all);
		/// The runs that are lost with a worker, with the blame that they got when the first of them was lost.
		[[nodiscard]] std::vector<lost_run> take_lost_runs(const lost_worker& worker, bool crashed);
		/// Removes from \p lost the runs that the next incarnation may have, and postpones their losses.
		void postpone_unlisted(const worker_incarnation& worker, std::vector<lost_run>& lost);
		/// Records a crash and the workers that have been silent since about the same time.
		void record_crash(lost_worker& worker, instant now);
		/// Clears tasks of the crashes of nearly all workers at the same time.
		void clear_mass_losses();
		/// Ends the hold of tasks whose time is over or whose crashes no longer count.
		void release_held_tasks(instant now);
		/// Workers that have not answered their agents since about \p heard although their agents report.
		[[nodiscard]] std::vector<worker_incarnation>
		find_silent_workers(instant last_response, const worker_incarnation& except, instant now) const;
		/// \brief Handles the loss of the earlier incarnations of an agent's worker.
		/// \param before State of the agent's worker before this report.
		/// \param reported_loss The agent's report of the previous incarnation; has an empty incarnation if the agent
		/// reported none.
		void handle_earlier_incarnations(agent_peer& peer, const worker_state& before, const lost_worker& reported_loss,
										 instant now);
		/// \brief Places the runs of earlier incarnations that the present one lists on the present one.
		/// \details Calls name a worker by its id alone, so an order to an incarnation that has ended may be carried
		/// out by the next one. Such a run counts like any other; starting its task again would run it twice.
		void take_over_late_runs(agent_peer& peer, const wire::job_report& report, instant now);
		/// \brief The earlier incarnations of an agent's worker of which nothing runs any more.
		[[nodiscard]] std::vector<worker_incarnation> earlier_incarnations(const agent_peer& peer) const;
		void handle_expired_leases(instant now);
		/// The last lease that a worker may hold unless it is confirmed again.
		struct counted_lease
		{
			instant end{};
			std::string_view why_expired; ///< For the log, once it has ended: which lease it was.
		};
		[[nodiscard]] counted_lease lease_of(const worker_incarnation& worker) const;
		/// When owners last confirmed the worker, or may have done so before this term.
		[[nodiscard]] instant last_confirmed(const worker_incarnation& worker) const;
		/// When the lease ends that owners have confirmed, or may have confirmed before this term.
		[[nodiscard]] instant own_lease_end(const worker_incarnation& worker) const;
		/// When runs of a worker are over that no listing has shown. The next incarnation may have begun them under the
		/// platform's longest lease, and neither its agent nor an owner need have heard of it.
		[[nodiscard]] instant unlisted_lease_end(const worker_incarnation& worker) const;
		/// Records until when a worker may hold a lease that no owner has confirmed.
		void note_unconfirmed_lease(const worker_incarnation& worker, instant end);
		/// \returns instant{} if the worker holds no such lease.
		[[nodiscard]] instant unconfirmed_lease_end(const worker_incarnation& worker) const;
		/// Records the unconfirmed lease of a worker that an earlier owner has stored.
		void restore_unconfirmed_lease(const stored::worker& row, instant now);
		/// Requeues the runs of a worker that reported a planned end.
		void handle_planned_end(agent_peer& peer, const wire::job_report& report, instant now);
		void handle_lost_run(const lost_run& lost, const worker_incarnation& worker, instant now);
		void log_held_back(const task_key& key, instant now);
		/// Clears tasks whose runs on the worker have lasted long enough, and tasks suspected of crashing the worker
		/// although it still responds.
		void clear_suspects(const agent_peer& peer);
		void restore_suspects(const job_state& job);
		/// Converts the times until which tasks are held back from the store's clock.
		void restore_held_tasks(job_state& job, instant now) const;
		/// Removes entries of suspects_ that no longer count against their task.
		void drop_cleared_suspects();

		boost::asio::io_context& io_;
		const job_entry_settings& settings_;
		row_store& store_;
		evacuation_follower evacuations_;
		std::unique_ptr<upkeep_controller> upkeep_; ///< Null if upkeep waves are not served.
		store_monitor store_monitor_;
		commit_latency commit_latency_;
		process_metrics& metrics_;
		owned_row owned_;
		depth_handler on_depths_;
		ownership_times ownership_times_;
		run_lease_times run_lease_times_;
		job_table table_;
		/// Progress rows whose submission has not been read yet, by job.
		absl::flat_hash_map<job_id, std::vector<std::string>> undecoded_progress_;
		/// Number of rows with the progress of each job that has more than one in the store.
		absl::flat_hash_map<job_id, std::size_t> progress_row_counts_;
		/// Jobs of which checkpoints were left out of the store.
		absl::flat_hash_set<job_id> jobs_without_checkpoints_;
		/// Jobs whose progress goes first into the next transactions: one that did not fit into the latest, or those of
		/// a rejected one.
		absl::flat_hash_set<job_id> first_jobs_;
		pressure_model pressures_;
		bool has_named_pressures_{}; ///< The store holds the row of an earlier version.
		/// Free capacity of the workers for placement. An entry is recomputed only after a report of the worker or a
		/// change of the runs placed on it, so that the cost of a round does not grow with the number of placed runs.
		std::vector<worker_room> rooms_;
		absl::flat_hash_map<worker_incarnation, std::size_t> room_indexes_; ///< Indexes into rooms_.
		shrunk_rooms shrunk_rooms_;
		/// Starts that are not ordered yet: not committed, or not permitted so far.
		absl::flat_hash_set<task_run> pending_starts_;
		absl::flat_hash_map<std::string, std::shared_ptr<agent_peer>> peers_;
		absl::flat_hash_set<std::string> withheld_agents_;              ///< Agents for which an order was withheld.
		absl::flat_hash_map<worker_incarnation, instant> confirmed_at_; ///< Time of the latest confirmation, by worker.
		/// Until when an incarnation may keep its runs under the lease of a call to an earlier one.
		absl::flat_hash_map<worker_incarnation, instant> unconfirmed_lease_ends_;
		absl::flat_hash_map<worker_incarnation, instant> start_ordered_at_; ///< Time of the latest start order.
		/// Runs of lost workers that are over at unlisted_lease_end().
		absl::flat_hash_map<worker_incarnation, std::vector<lost_run>> postponed_losses_;
		/// The agent of each worker that was reported in this term or stored by the previous owner.
		absl::flat_hash_map<worker_incarnation, agent_location> agent_of_worker_;
		/// Suspected tasks by the worker that crashed while running them.
		absl::flat_hash_map<worker_incarnation, absl::flat_hash_set<task_key>> suspects_;
		instant began_at_{};
		instant committed_at_{};
		/// Pause between two transactions. It grows with the duration of a round, so that rounds leave time for
		/// reports.
		millis commit_gap_{};
		owner_meter meter_;
		idle_meter idle_meter_;
		idle_reports idle_reports_;
		instant idle_searched_at_{};
		run_log ordered_log_{event::run_ordered};
		run_log ended_log_{event::run_ended};
		instant ends_logged_at_{};
		room_forecast forecast_; ///< The latest forecast; see forecast_if_due().
		/// Predicted waits of new jobs of which no task has been placed yet.
		absl::flat_hash_map<job_id, millis> predicted_waits_;
		std::size_t waiting_count_{}; ///< Number of waiting tasks in the latest round.
		/// Expired jobs whose submissions have been removed from the store and whose progress is still to be removed.
		std::vector<job_id> removed_submissions_;
		std::int64_t submissions_version_{};
		/// All submissions and cancellations stored before this time are known to the owner.
		instant submissions_known_at_{};
		bool loading_{};
		bool renewing_{}; ///< renew_while_loading() is running.
		bool logged_stale_input_{};
		owner_lag loop_lag_;
		owner_lag feed_lag_; ///< Lag of the feeds without which nothing starts, while the store answers other requests.
		owner_lag agent_lag_; ///< Silence of most agents while the store answers.
		/// Maximum number of changes in a transaction. After a rejection it is lower, and statistics are left out,
		/// until it has grown to max_batch_changes again.
		std::size_t max_changes_;
		bool handed_over_{};
		std::int64_t agents_version_{};
		boost::asio::steady_timer work_timer_;
		bool placing_requested_{true};
		bool releasing_{};
		bool over_{};
	};
}
