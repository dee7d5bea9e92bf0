// SPDX-License-Identifier: MIT
/// \file
/// \brief Of the path for jobs: stands by, takes over, and works as their owner.
#pragma once

#include "job_term.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>

namespace trailjunction
{
	/// \brief The owning duty of an entry; runs on its own thread.
	class job_owner
	{
	public:
		job_owner(boost::asio::io_context& io, const job_entry_settings& settings, row_store& store,
				  const evacuation_rows& evacuations, process_metrics& metrics, job_term::depth_handler on_depths,
				  const upkeep_carrier* upkeep = nullptr);

		/// \brief Stands by and owns in turns, until leave().
		[[nodiscard]] boost::asio::awaitable<void> run();

		/// \brief The planned stop: gives the jobs back, so that a successor need not wait for the lease to run out.
		void leave();

		/// \brief Changes how long an ended job can be asked for.
		void keep_statuses_for(millis kept) noexcept
		{
			settings_.status_kept = kept;
		}

	private:
		boost::asio::awaitable<void> look();
		boost::asio::awaitable<std::optional<owned_row>> take_over();
		/// \param store_ms The store's clock when it gave the row out.
		void tell_depths(const stored::ownership& row, std::int64_t store_ms, instant read_at);
		/// Until the next look: a usual one, or sooner where the row becomes free before it.
		[[nodiscard]] millis time_to_next_look(instant now) const;
		/// Whether an earlier process at this process's address wrote the row, or this one itself.
		[[nodiscard]] bool is_own(const stored::ownership& row) const;

		boost::asio::io_context& io_;
		job_entry_settings settings_;
		row_store& store_;
		const evacuation_rows& evacuations_;
		store_watch watch_;
		process_metrics& metrics_;
		job_term::depth_handler on_depths_;
		const upkeep_carrier* upkeep_; ///< Nothing where waves are not served.
		ownership_times times_;
		ownership_sighting seen_;
		stored::ownership seen_row_;
		std::int64_t incarnation_{};
		std::shared_ptr<job_term> term_;
		int failed_loads_{};    ///< In a row.
		instant rests_until_{}; ///< Until then the row is left to others.
		bool leaving_{};
	};
}
