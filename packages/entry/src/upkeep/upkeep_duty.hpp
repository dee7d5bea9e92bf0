// SPDX-License-Identifier: MIT
/// \file
/// \brief Serves the operators' waves of upkeep during one term of ownership.
#pragma once

#include <trailjunction/entry/upkeep_port.hpp>
#include <trailjunction/net/process_metrics.hpp>
#include <trailjunction/store/row_store.hpp>

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
	/// \brief What the term does for the duty.
	struct upkeep_host
	{
		std::function<bool()> is_over;
		std::function<bool()> may_act; ///< Whether nobody else can own the jobs now.
		std::function<std::int64_t(instant)> store_ms;
		std::function<instant(std::int64_t)> time_of; ///< The inverse of store_ms.
		std::function<absl::flat_hash_map<worker_life, worker_stake>()> stakes;
		std::function<bool()> work_waits;
		std::function<void(const worker_life&)> lost; ///< A worker is there no more.
		std::function<void()> wake;                   ///< There are rows to keep, or workers to empty.
	};

	/// \brief Follows the waves; lives on the owner's io_context as long as the term.
	/// \details Progress goes into the term's own transactions, which hold the owner's row; an order leaves after the
	/// one that says so. One call to the service is under way at a time, and no list is read meanwhile.
	class upkeep_duty
	{
	public:
		upkeep_duty(boost::asio::io_context& io, const upkeep_settings& settings, const upkeep_carrier& carrier,
					row_store& store, process_metrics& metrics, upkeep_authority authority, upkeep_host host);

		/// \brief The rows of progress, to be read before anything is placed.
		[[nodiscard]] static row_range progress_range();
		void take_progress(const std::vector<stored_row>& rows);

		/// \brief Works until the term is over. What the host captures must live as long.
		[[nodiscard]] boost::asio::awaitable<void> work();

		/// \brief Whether anything has to be kept.
		[[nodiscard]] bool has_rows() const noexcept
		{
			return !unsaved_.empty();
		}
		/// \brief Adds what has to be kept to a transaction of the term.
		/// \param most Rows at the most.
		void add_rows(row_change& change, std::size_t most);
		/// \brief The transaction was applied.
		void note_kept();

		/// \brief Workers that are being emptied.
		[[nodiscard]] std::vector<worker_life> to_be_emptied() const;
		/// \brief Whether a worker gets nothing new, since its instance is about to go down.
		[[nodiscard]] bool is_leaving(const worker_life& worker) const noexcept;
		/// \brief Whether a worker that is no more may have ended by its upkeep.
		[[nodiscard]] bool may_have_gone_down(const worker_life& worker) const noexcept;

	private:
		struct wave_status
		{
			std::int64_t refused_version{}; ///< Of the row that could not be served, as last told.
			bool told_overdue{};
			bool running_written{};
			bool completed_written{};
		};

		boost::asio::awaitable<void> read_requests();
		void take_requests(const std::vector<stored_row>& rows);
		void take_request(const wave_id& id, const stored_row& row);
		void refuse_request(const wave_id& id, const stored_row& row, const absl::Status& why);
		void withdraw(wave_progress& progress, std::string_view why);
		void forget_settled();
		boost::asio::awaitable<bool> read_list();
		boost::asio::awaitable<void> take_steps();
		boost::asio::awaitable<bool> carry_out(upkeep_step step);
		/// Waits until a wave's progress is kept. \returns Whether an order may leave.
		boost::asio::awaitable<bool> wait_until_kept(wave_id wave);
		void note_completions();
		boost::asio::awaitable<void> write_statuses();
		/// \returns Whether the row says it now.
		boost::asio::awaitable<bool> write_status(wave_id wave, bool completed);
		void tell_figures(instant now);
		void tell_changes(const wave_progress& before, const wave_progress& after);
		void changed(const wave_id& wave);
		[[nodiscard]] bool has_work() const noexcept;
		/// Whether lists are to be read for instances of completed waves that were taken for gone.
		[[nodiscard]] bool should_look_for_returned(instant now) const noexcept;
		[[nodiscard]] wave_progress* find_wave(const wave_id& id) noexcept;

		boost::asio::io_context& io_;
		const upkeep_carrier& carrier_;
		row_store& store_;
		upkeep_authority authority_;
		upkeep_host host_;
		upkeep_policy policy_;
		std::unique_ptr<instance_service> service_;
		millis call_gap_;
		millis list_gap_;
		instant orders_from_; ///< A new owner gives no order before.
		prometheus::Gauge& running_;
		prometheus::Gauge& left_;
		prometheus::Gauge& overdue_;
		std::vector<wave_progress> waves_;
		absl::flat_hash_map<wave_id, wave_status> statuses_;
		absl::flat_hash_set<wave_id> unsaved_;
		absl::flat_hash_set<wave_id> in_commit_;
		instance_list list_;
		instant requests_read_{};
		bool fenced_{}; ///< Another owner has given orders: this one gives none any more.
		bool list_failed_{};
	};
}
