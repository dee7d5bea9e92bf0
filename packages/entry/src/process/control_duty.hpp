// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief The entry's control thread: workers, tasks, configuration, operators' commands.
#pragma once

#include "../version/config_manager.hpp"
#include "command_runner.hpp"
#include "member_keeper.hpp"
#include "task_owner.hpp"
#include "worker_directory.hpp"

#include <trailjunction/core/ring.hpp>
#include <trailjunction/entry/settings.hpp>
#include <trailjunction/net/http_server.hpp>
#include <trailjunction/net/process_metrics.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <string>

namespace trailjunction
{
	/// \brief Everything that an entry does apart from callers' requests; runs on its own thread.
	/// \details The request_duty of the entry handles the requests on another thread.
	class control_duty
	{
	public:
		control_duty(boost::asio::io_context& io, const entry_settings& settings, incarnation own_incarnation,
					 process_metrics& metrics, ring<directory>& directories);

		/// \brief Binds the operators' address and starts all control loops.
		[[nodiscard]] absl::Status listen();

		/// \brief The ring on which the request duty reports completed requests.
		[[nodiscard]] ring<completed_request>& completed_requests() noexcept
		{
			return completed_requests_;
		}

		/// \brief Hands over all shards, so that successors need not wait for leases to expire; part of a planned
		/// shutdown.
		[[nodiscard]] boost::asio::awaitable<void> leave();

		/// \brief Why the entry is not ready; empty if it is ready.
		[[nodiscard]] std::string not_ready_reason() const;

	private:
		boost::asio::awaitable<http_response> answer(http_request request);
		boost::asio::awaitable<void> log_when_ready();
		[[nodiscard]] http_response config_page() const;

		boost::asio::io_context& io_;
		const entry_settings& settings_;
		process_metrics& metrics_;
		platform_client platform_;
		worker_directory workers_;
		member_keeper members_;
		task_owner tasks_;
		config_manager config_;
		command_runner commands_;
		http_server server_;
		ring<completed_request> completed_requests_;
		bool stopping_{};
	};
}
