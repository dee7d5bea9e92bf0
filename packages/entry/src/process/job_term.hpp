// SPDX-License-Identifier: MIT
/// \file
/// \brief One term of ownership of the jobs.
#pragma once

#include "../connection/agent_peer.hpp"
#include "evacuation_follower.hpp"
#include "owner_meter.hpp"
#include "run_log.hpp"

#include <trailjunction/entry/job_entry_settings.hpp>
#include <trailjunction/entry/job_gateway.hpp>
#include <trailjunction/jobs/filler_pressure.hpp>
#include <trailjunction/jobs/job_crashes.hpp>
#include <trailjunction/jobs/job_placement.hpp>
#include <trailjunction/jobs/job_rows.hpp>
#include <trailjunction/jobs/job_table.hpp>
#include <trailjunction/jobs/room_forecast.hpp>
#include <trailjunction/jobs/run_listing.hpp>
#include <trailjunction/jobs/shrunk_rooms.hpp>
#include <trailjunction/net/process_metrics.hpp>
#include <trailjunction/store/row_store.hpp>
#include <trailjunction/store/store_watch.hpp>

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
	class upkeep_duty;
	struct upkeep_carrier;
	struct worker_stake;

	/// \brief The row by which a member owns the jobs, and when it was last renewed.
	struct owned_row
	{
		stored::ownership row;
		std::int64_t version{};
		instant renewal_sent{};
		std::int64_t store_ms{}; ///< The store's clock at the renewal.
	};

	/// \brief Places and follows all jobs from a takeover until another member takes over.
	/// \details Whatever changes a job is written in one transaction with the owner's row, under the condition that the
	/// row is still this owner's latest. Orders to agents and acknowledgements of ends follow only after that.
	class job_term : public std::enable_shared_from_this<job_term>
	{
	public:
		using depth_handler = std::function<void(queue_depths)>;

		job_term(boost::asio::io_context& io, const job_entry_settings& settings, row_store& store,
				 const evacuation_rows& evacuations, process_metrics& metrics, owned_row owned, depth_handler on_depths,
				 const upkeep_carrier* upkeep = nullptr);
		~job_term();
		job_term(const job_term&) = delete;
		job_term& operator=(const job_term&) = delete;

		/// \brief Reads all jobs and agents, and renews the row meanwhile.
		/// \returns Unavailable where the store did not let it, aborted where another member has taken the row over.
		[[nodiscard]] boost::asio::awaitable<absl::Status> load();

		/// \brief Works until the row is lost or released.
		[[nodiscard]] boost::asio::awaitable<void> work();

		/// \brief Gives the row back with the next transaction.
		void release();

		/// \brief Whether the term ended since this member could not keep up.
		[[nodiscard]] bool handed_on() const noexcept
		{
			return handed_on_;
		}

	private:
		struct kept_ends
		{
			std::shared_ptr<agent_peer> peer;
			worker_life life;
			std::int64_t through{};
		};
		struct agent_seat
		{
			std::string agent;
			std::string address; ///< Where it took links when it told of the worker.
		};
		struct batch
		{
			row_change change;
			std::vector<job_id> saved;
			std::vector<task_run> starts;
			std::vector<kept_ends> ends;
			std::size_t workers{}; ///< Rows of workers' incarnations.
			instant sent{};
		};

		// job_term.cpp: the transactions
		[[nodiscard]] batch make_batch(instant now);
		void add_owner_row(batch& out, bool loaded);
		/// Keeps the forecast in the owner's row young, and out of it while too little is known.
		void forecast_if_due(bool loaded);
		[[nodiscard]] room_forecast make_forecast(instant now);
		/// Keeps what a new job was to wait by the forecast.
		void note_foretold(const job_state& job);
		/// Measures how far the forecast was off for a job that starts now, if it was new to this owner.
		void measure_forecast(const job_id& id, instant now);
		boost::asio::awaitable<void> renew_while_loading();
		boost::asio::awaitable<absl::Status> read_state();
		boost::asio::awaitable<absl::StatusOr<row_page>> read_with_retries(std::vector<row_range> ranges);
		/// Whether nothing may be started, since a cancellation may be unknown here for too long.
		[[nodiscard]] bool is_behind(instant now);
		[[nodiscard]] bool knows_latest(millis age, instant now) const noexcept;
		void add_forgotten(batch& out);
		boost::asio::awaitable<void> remove_old_submissions();
		[[nodiscard]] std::vector<job_id> jobs_to_forget(instant now) const;
		void add_workers(batch& out);
		void add_pressures(batch& out, instant now);
		boost::asio::awaitable<bool> commit(batch& what);
		void act_on(const batch& done, instant now);
		/// Orders a start that the store keeps, or takes it back where its data centre is being emptied by now.
		void order_kept_start(const task_run& what, instant now);
		boost::asio::awaitable<void> wait_for_work();
		void wake();
		boost::asio::awaitable<void> watch_load();
		void tell_load(instant now);
		void hand_on_if_behind(std::chrono::nanoseconds lag, instant now);
		[[nodiscard]] std::int64_t store_now_ms(instant now) const noexcept;
		[[nodiscard]] bool may_act(instant now) const noexcept;

		// job_term_inputs.cpp: what comes from the store
		boost::asio::awaitable<void> follow_submissions();
		boost::asio::awaitable<void> follow_agents();
		boost::asio::awaitable<void> follow_evacuations();
		boost::asio::awaitable<void> reread_submissions();
		boost::asio::awaitable<void> reread_agents();
		boost::asio::awaitable<void> take_submissions_in_parts(const std::vector<stored_row>& rows);
		void take_submissions(std::span<const stored_row> rows);
		/// Takes note of a job that has ended, if its progress says that nothing of it runs.
		[[nodiscard]] bool take_ended(const job_id& id);
		void take_progress(const std::vector<stored_row>& rows);
		void take_agents(const std::vector<stored_row>& rows);
		void take_workers(const std::vector<stored_row>& rows);
		void take_pressures(const std::vector<stored_row>& rows);

		// job_term_workers.cpp: what comes from and goes to workers
		void on_report(agent_peer& peer, wire::job_report&& report);
		void note_worker(agent_peer& peer, const wire::job_report& report);
		void note_ends(agent_peer& peer, const wire::job_report& report, instant now);
		void note_refusals(agent_peer& peer, const wire::job_report& report, instant now);
		void note_running(agent_peer& peer, const wire::job_report& report, instant now);
		void learn(const agent_peer& peer, instant now);
		void reconcile(agent_peer& peer, const wire::job_report& report);
		void confirm(agent_peer& peer, const wire::job_report& report, instant now);
		void place_waiting(instant now);
		void stop_needless(instant now);
		/// What is known of earlier orders of a run.
		enum class order_kind
		{
			first,         ///< There was none.
			repeated,      ///< One may have been carried out.
			known_running, ///< One was: the agent only learns what the run is.
		};
		void order_start(const task_run& what, order_kind kind);
		/// \param why For the log.
		void order_stop(agent_peer& peer, const task_run& what, std::string_view why);
		/// Whether the worker beside an agent may be given something new, by what operators ask for.
		[[nodiscard]] start_permission permission_at(const agent_peer& peer, instant now) const noexcept;
		/// How old what is known of the operators' requests may be for anything to be started.
		[[nodiscard]] millis evacuation_age() const noexcept;
		/// Runs on workers of data centres that are being emptied.
		[[nodiscard]] std::size_t runs_to_be_left() const;
		[[nodiscard]] std::vector<wire::image_pressure> pressures_beside(const worker_life& worker,
																		 const std::string& filler) const;
		[[nodiscard]] bool is_placed_on(const worker_life& life, const task_run& what) const noexcept;
		[[nodiscard]] agent_peer* peer_of(const worker_life& life) const noexcept;
		/// Whether a run that is given to the worker now finds a lease there.
		[[nodiscard]] bool may_start_on(const worker_life& life, instant now) const;
		void refresh_rooms(instant now);

		// job_term_moves.cpp: tasks that are taken away by choice
		void leave_shrunk_rooms(instant now);
		// job_term_upkeep.cpp: instances that get their upkeep
		void make_upkeep(const upkeep_carrier& carrier);
		boost::asio::awaitable<void> follow_upkeep();
		[[nodiscard]] worker_stake stake_of(const worker_life& worker, const absl::flat_hash_set<task_key>& keys,
											instant now) const;
		[[nodiscard]] absl::flat_hash_map<worker_life, worker_stake> stakes_of_workers(instant now) const;
		/// Stops what may go on elsewhere on workers whose instances are about to go down.
		void empty_workers(instant now);

		// job_term_crashes.cpp: workers that are no more, and the tasks that may have crashed them
		void lose_worker(lost_worker worker, bool crashed, std::string_view why, instant now);
		/// Takes note of a crash, and of the workers that are silent since the same instant.
		void note_crash(lost_worker& worker, instant now);
		/// Workers that have not answered their agents since about that instant, though their agents report.
		[[nodiscard]] std::vector<worker_life> silent_since(instant heard, const worker_life& except,
															instant now) const;
		/// \param before What was known of the worker beside the agent until now.
		/// \param told What the agent tells of the incarnation before; of nobody where it tells nothing.
		void lose_earlier_lives(agent_peer& peer, const worker_facts& before, const lost_worker& told, instant now);
		void lose_lapsed(instant now);
		/// Takes back what ran on a worker that has ended as it said.
		void lose_if_ended(const agent_peer& peer, const wire::job_report& report, instant now);
		void take_back_lost(const lost_run& lost, const worker_life& worker, instant now);
		/// Clears tasks whose runs on the worker have gone on for long enough, and those that were suspected of
		/// crashing it though it is there.
		void clear_suspects(const agent_peer& peer);
		void note_suspects(const job_state& job);
		/// Forgets whom suspects_ names that is suspected no more, or not for that worker.
		void drop_cleared_suspects();

		boost::asio::io_context& io_;
		const job_entry_settings& settings_;
		row_store& store_;
		evacuation_follower evacuations_;
		std::unique_ptr<upkeep_duty> upkeep_; ///< Nothing where waves are not served.
		store_watch watch_;
		process_metrics& metrics_;
		owned_row owned_;
		depth_handler on_depths_;
		ownership_times ownership_;
		run_lease_times run_lease_;
		job_table table_;
		absl::flat_hash_map<job_id, std::string> unread_progress_; ///< Rows whose submission was not read yet.
		pressure_model pressures_;
		instant pressures_stored_{};
		/// Workers as placement sees them. Each is worked out again only after a report of it or a change of what is
		/// placed there, so that a round does not cost by all runs that are placed.
		std::vector<worker_room> rooms_;
		absl::flat_hash_map<worker_life, std::size_t> room_places_; ///< Indexes into rooms_.
		shrunk_rooms shrunk_;
		absl::flat_hash_set<task_run> undurable_starts_; ///< Not ordered before the store keeps them.
		absl::flat_hash_map<std::string, std::shared_ptr<agent_peer>> peers_;
		absl::flat_hash_map<worker_life, instant> confirmed_; ///< When a worker's runs were last confirmed.
		/// The agent beside each worker that was ever heard of in this term or just before it.
		absl::flat_hash_map<worker_life, agent_seat> agent_beside_;
		/// Tasks that are suspected, by the workers that crashed under them.
		absl::flat_hash_map<worker_life, absl::flat_hash_set<task_key>> suspects_;
		instant began_{};
		instant committed_{};
		/// Between two transactions; longer after a round that took long, so that rounds leave time for reports.
		millis gap_{};
		owner_meter meter_;
		run_log ordered_log_{event::run_ordered};
		run_log ended_log_{event::run_ended};
		instant ends_logged_{};
		room_forecast forecast_;                       ///< The latest; see forecast_if_due().
		absl::flat_hash_map<job_id, millis> foretold_; ///< Waits of new jobs none of whose tasks has been placed.
		std::size_t waiting_{};                        ///< Tasks that the latest round found waiting.
		/// Jobs that ended long ago and whose submissions the store has no more; their progress goes next.
		std::vector<job_id> removed_submissions_;
		std::int64_t submissions_version_{};
		/// All that was stored of submissions and cancellations by then is known here.
		instant fed_until_{};
		bool loading_{};
		bool renewing_{}; ///< A renewal while loading is under way.
		bool told_behind_{};
		owner_lag lag_;
		owner_lag deaf_; ///< It hears nothing of submissions, though the store answers it.
		bool handed_on_{};
		std::int64_t agents_version_{};
		boost::asio::steady_timer work_;
		bool placing_wanted_{true};
		bool releasing_{};
		bool over_{};
	};
}
