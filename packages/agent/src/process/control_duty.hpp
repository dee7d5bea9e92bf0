// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Control duty of the agent that serves requests: runs and their leases, heartbeats, configuration.
#pragma once

#include "duty_messages.hpp"
#include "worker_interface.hpp"

#include <trailjunction/agent/settings.hpp>
#include <trailjunction/core/ring.hpp>
#include <trailjunction/decide/process/run_table.hpp>
#include <trailjunction/decide/version/config_document.hpp>
#include <trailjunction/net/http_server.hpp>
#include <trailjunction/net/process_metrics.hpp>
#include <trailjunction/wire/link.hpp>

#include <absl/container/flat_hash_map.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace trailjunction
{
	/// \brief Supervises the runs on one worker and exchanges messages with their owners.
	/// \details Runs on its own thread. The functions of run_table.hpp decide which run may start, continue, pause or
	/// stop; this class carries out their decisions.
	class control_duty
	{
	public:
		control_duty(boost::asio::io_context& io, const agent_settings& settings, incarnation own_incarnation,
					 process_metrics& metrics, ring<request_rules>& rules);

		/// \brief Binds the listeners and starts the background tasks.
		[[nodiscard]] absl::Status listen();

		/// \brief Ring through which the request duty reports.
		[[nodiscard]] ring<request_summary>& summaries() noexcept
		{
			return summaries_;
		}

		/// \brief Begins a graceful shutdown: refuses new work at once; owners move the runs to other workers.
		void begin_shutdown();

		/// \brief Number of runs on the worker that have not ended.
		[[nodiscard]] std::size_t active_runs() const noexcept;

		/// \brief Reason why the agent is not ready; empty if it is ready.
		[[nodiscard]] std::string not_ready() const;

	private:
		/// A control link and the name of the process at its other end.
		struct peer
		{
			std::shared_ptr<link> connection;
			std::string process;
		};
		/// Process that last confirmed the runs of a shard, and the time of that confirmation.
		struct shard_owner
		{
			std::string process; ///< The process, not its link: it may reconnect over another link.
			instant confirmed{};
		};
		/// Request statistics with the kinds of the tasks that ran at that time, so that owners can attribute delayed
		/// measurements.
		struct past_sample
		{
			request_summary summary;
			std::vector<std::string> co_located_kinds;
		};
		/// An ended task whose last run number can be forgotten later.
		struct ended_task
		{
			instant ended{};
			task_id task;
		};

		boost::asio::awaitable<void> accept_links();
		boost::asio::awaitable<void> renew_leases();
		boost::asio::awaitable<void> send_heartbeats();
		void send_heartbeat(const peer& to);
		boost::asio::awaitable<void> watch_leases();
		boost::asio::awaitable<void> take_checkpoints();

		void handle_message(const std::shared_ptr<link>& from, wire::envelope&& message);
		void handle_start(const wire::start_run& message);
		void handle_order(const wire::order_run& message);
		void handle_grant(const std::shared_ptr<link>& from, const wire::grant& message);
		void handle_config(const wire::config& message);
		[[nodiscard]] std::string process_of(const std::shared_ptr<link>& connection) const;
		void record_summary(const request_summary& summary);
		void apply_status(const worker_status& status, instant requested_at);
		void apply_platform_run(const platform_run& reported);

		boost::asio::awaitable<void> start_run(start_order order);
		boost::asio::awaitable<void> evict_run(task_id task, run_number run);
		boost::asio::awaitable<void> stop_run(task_id task, run_number run);
		boost::asio::awaitable<void> throttle_run(task_id task, run_number run, double share);
		boost::asio::awaitable<void> release_run(task_id task, run_number run);
		boost::asio::awaitable<void> pause_run(task_id task, run_number run);
		boost::asio::awaitable<void> checkpoint_run(task_id task, run_number run);
		void end_run(agent_run& run, run_end how, const std::string& reason);
		void forget_run(const task_id& task, run_number run);
		void expire_run_numbers(instant now);

		[[nodiscard]] agent_run* find_run(const task_id& task, run_number run);
		[[nodiscard]] wire::heartbeat make_heartbeat(const peer& to, instant now);
		[[nodiscard]] std::vector<wire::kind_amount> count_kinds() const;
		[[nodiscard]] bool reports_to(const peer& to, shard_id shard, instant now) const;
		void update_leaving();
		void push_rules();
		boost::asio::awaitable<http_response> answer(http_request request);

		boost::asio::io_context& io_;
		const agent_settings& settings_;
		process_metrics& metrics_;
		ring<request_rules>& rules_;
		ring<request_summary> summaries_;
		boost::asio::ip::tcp::acceptor acceptor_;
		http_server admin_;
		worker_interface platform_;
		run_table table_;
		worker_status status_;
		std::vector<peer> peers_;
		absl::flat_hash_map<shard_id, shard_owner> owners_;
		std::deque<past_sample> samples_;
		std::deque<ended_task> ended_tasks_;
		config_document config_;
		instant last_renewal_{}; ///< Time just before the last successful lease renewal was sent.
		bool stopping_{};
		prometheus::Gauge& runs_gauge_;
		prometheus::Counter& paused_;
		prometheus::Counter& refused_;
		prometheus::Counter& bytes_sent_;
	};
}
