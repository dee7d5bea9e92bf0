// SPDX-License-Identifier: MIT
/// \file
/// \brief The leader election of the job scheduler: an entry stands by, takes ownership of the jobs and works as owner.
#pragma once

#include "job_term.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>

namespace trailjunction
{
	/// \brief Competes for ownership of the jobs and runs a job_term while it holds it. Runs on a thread of its own.
	class job_owner
	{
	public:
		job_owner(boost::asio::io_context& io, const job_entry_settings& settings, row_store& store,
				  const evacuation_rows& evacuations, process_metrics& metrics, job_term::depth_handler on_depths,
				  const upkeep_adapter* upkeep = nullptr);

		/// \brief Alternates between standby and ownership until leave() is called.
		[[nodiscard]] boost::asio::awaitable<void> run();

		/// \brief Starts a planned stop: releases the ownership, so that a successor need not wait for the lease to
		/// expire.
		void leave();

		/// \brief Sets how long the status of an ended job stays available.
		void set_status_retention(millis kept) noexcept
		{
			settings_.status_kept = kept;
		}

	private:
		boost::asio::awaitable<void> read_owner_row();
		boost::asio::awaitable<std::optional<owned_row>> take_over();
		/// \brief Passes the queue depths in the row to the depth handler.
		/// \param store_ms The store's clock at the read, in ms.
		void publish_depths(const stored::ownership& row, std::int64_t store_ms, instant read_at);
		/// Time until the next read of the owner row: the regular interval, or less if the row can be taken over
		/// earlier.
		[[nodiscard]] millis time_to_next_read(instant now) const;
		/// Whether this process or an earlier one at the same address wrote the row.
		[[nodiscard]] bool is_own_row(const stored::ownership& row) const;

		boost::asio::io_context& io_;
		job_entry_settings settings_;
		row_store& store_;
		const evacuation_rows& evacuations_;
		store_monitor store_monitor_;
		commit_latency commit_latency_;
		process_metrics& metrics_;
		job_term::depth_handler on_depths_;
		const upkeep_adapter* upkeep_; ///< Null if upkeep waves are not served.
		ownership_times times_;
		ownership_observation observation_;
		stored::ownership last_row_;
		std::int64_t incarnation_{};
		std::shared_ptr<job_term> term_;
		int failed_loads_{};          ///< Consecutive.
		instant no_takeover_until_{}; ///< No takeover before this time, so that other members can take the row.
		bool leaving_{};
	};
}
