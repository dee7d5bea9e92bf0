// SPDX-License-Identifier: MIT
/// \file
/// \brief The row of the store by which owners find an agent, and its next process finds the worker.
#pragma once

#include "run_keeper.hpp"

#include <trailjunction/jobs/job_rows.hpp>
#include <trailjunction/store/row_store.hpp>
#include <trailjunction/store/store_watch.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <string>

namespace trailjunction
{
	/// \brief Keeps an agent's row up to date; the row stays when the process goes.
	/// \details A worker beats about every second and a half. An agent that restarts would hear of it only then, and
	/// nothing would start there until it has; so the row names the worker, and the next process asks it at once.
	class agent_row
	{
	public:
		agent_row(boost::asio::io_context& io, row_store& store, const job_agent_settings& settings, run_keeper& runs);

		/// \brief Recalls the worker of the row as it is, then writes the row whenever it would differ; never returns.
		[[nodiscard]] boost::asio::awaitable<void> keep();

		/// \brief Something may have changed that the row holds.
		void look_again()
		{
			changed_.cancel();
		}

	private:
		boost::asio::awaitable<void> recall_worker();
		boost::asio::awaitable<void> write(std::string value);
		[[nodiscard]] std::string wanted_row() const;

		boost::asio::io_context& io_;
		row_store& store_;
		const job_agent_settings& settings_;
		run_keeper& runs_;
		store_watch watch_;
		boost::asio::steady_timer changed_;
		std::string written_;
	};
}
