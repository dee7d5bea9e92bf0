// SPDX-License-Identifier: MIT
/// \file
/// \brief Carries out the waves of upkeep that operators request, during one term of ownership of the jobs.
#pragma once

#include <trailjunction/entry/upkeep_port.hpp>
#include <trailjunction/net/process_metrics.hpp>
#include <trailjunction/store/row_limits.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace trailjunction
{
	/// \brief What the controller needs from the term of ownership.
	struct upkeep_callbacks
	{
		std::function<bool()> is_term_over;
		std::function<bool()> may_act; ///< Whether this entry is certainly the only owner of the jobs now.
		std::function<std::int64_t(instant)> to_store_ms;   ///< Converts to the clock of the store, in ms.
		std::function<instant(std::int64_t)> from_store_ms; ///< The inverse of to_store_ms.
		/// What is lost with each worker if it goes down now.
		std::function<absl::flat_hash_map<worker_incarnation, worker_loss>()> worker_losses;
		std::function<bool()> tasks_waiting;                           ///< Whether tasks wait for free capacity.
		std::function<void(const worker_incarnation&)> on_worker_gone; ///< Called when a worker no longer exists.
		std::function<void()> wake_term; ///< Called when there are rows to store or workers to drain.
	};

	/// \brief Drives the waves of upkeep to completion; runs on the io_context of the owner for one term.
	/// \details Progress is written in the transactions of the term, which are conditional on the row of the owner. An
	/// order is sent only after the transaction that records it is applied. Only one call to the service is in progress
	/// at a time, and no list is read during an order.
	class upkeep_controller
	{
	public:
		upkeep_controller(boost::asio::io_context& io, const upkeep_settings& settings, const upkeep_adapter& adapter,
						  row_store& store, const row_limits& limits, process_metrics& metrics,
						  upkeep_authority authority, upkeep_callbacks callbacks);

		/// \brief The range of the progress rows, which must be read before any task is placed.
		[[nodiscard]] static row_range progress_range();
		void load_progress(const std::vector<stored_row>& rows);

		/// \brief Runs until the term is over. Everything that the callbacks capture must outlive it.
		[[nodiscard]] boost::asio::awaitable<void> run_loop();

		/// \brief Whether progress has changed since it was last added to a transaction.
		[[nodiscard]] bool has_unsaved_rows() const noexcept
		{
			return !unsaved_.empty();
		}
		/// \brief Adds changed progress rows to a transaction of the term.
		/// \param space What still fits into the transaction; reduced by what is added.
		/// \param max_rows The maximum number of rows to add.
		/// \returns The number of rows that were added.
		[[nodiscard]] std::size_t add_unsaved_rows(row_transaction& change, transaction_space& space,
												   std::size_t max_rows);
		/// \brief Records that the added rows were not written; they are added to a later transaction.
		void record_not_saved();
		/// \brief Records that the transaction with the added rows was applied.
		void record_saved();

		/// \brief The workers that are being drained for their upkeep.
		[[nodiscard]] std::vector<worker_incarnation> draining_workers() const;
		/// \brief Whether a worker must get no new work, because its instance is about to go down.
		[[nodiscard]] bool is_going_down(const worker_incarnation& worker) const noexcept;
		/// \brief Whether a worker that no longer exists may have been ended by its upkeep.
		[[nodiscard]] bool may_have_gone_down(const worker_incarnation& worker) const noexcept;

	private:
		struct wave_status
		{
			std::int64_t logged_refusal_version{}; ///< The version of the invalid request row that was last logged.
			bool overdue_logged{};
			bool running_written{};
			bool completed_written{};
		};

		boost::asio::awaitable<void> read_requests();
		void apply_requests(const std::vector<stored_row>& rows);
		void apply_request(const wave_id& id, const stored_row& row);
		void refuse_request(const wave_id& id, const stored_row& row, const absl::Status& reason);
		void withdraw(wave_progress& progress, std::string_view reason);
		void remove_settled();
		boost::asio::awaitable<bool> read_list();
		boost::asio::awaitable<void> execute_steps();
		boost::asio::awaitable<bool> send_order(upkeep_step step);
		/// Waits until the progress of a wave is stored. \returns Whether an order may be sent.
		boost::asio::awaitable<bool> wait_until_saved(wave_id wave);
		void record_completions();
		boost::asio::awaitable<void> write_statuses();
		/// \returns Whether the row now holds the status.
		boost::asio::awaitable<bool> write_status(wave_id wave, bool completed);
		/// Whether the progress of a wave fits into a row of the store.
		[[nodiscard]] absl::Status check_size(const wave_progress& progress) const;
		void update_metrics(instant now);
		void log_stage_changes(const wave_progress& before, const wave_progress& after);
		void mark_changed(const wave_id& wave);
		[[nodiscard]] bool has_incomplete_waves() const noexcept;
		/// Whether to read the list again because a completed wave skipped an instance that may return.
		[[nodiscard]] bool should_check_for_returned(instant now) const noexcept;
		[[nodiscard]] wave_progress* find_wave(const wave_id& id) noexcept;

		boost::asio::io_context& io_;
		const upkeep_adapter& adapter_;
		row_store& store_;
		row_limits limits_;
		upkeep_authority authority_;
		upkeep_callbacks callbacks_;
		upkeep_policy policy_;
		std::unique_ptr<instance_service> service_;
		millis order_interval_;
		millis list_interval_;
		instant orders_allowed_at_; ///< A new owner sends no order before this time.
		prometheus::Gauge& running_gauge_;
		prometheus::Gauge& remaining_gauge_;
		prometheus::Gauge& overdue_gauge_;
		std::vector<wave_progress> waves_;
		absl::flat_hash_map<wave_id, wave_status> statuses_;
		absl::flat_hash_set<wave_id> unsaved_;
		absl::flat_hash_set<wave_id> in_commit_;
		instance_list list_;
		instant requests_read_at_{};
		bool fenced_{}; ///< A later owner has sent orders, so this one sends no more.
		bool list_failed_{};
	};
}
