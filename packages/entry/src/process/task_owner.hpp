// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief The scheduler of the tasks in this entry's shards; job_owner is its counterpart for jobs.
#pragma once

#include "member_keeper.hpp"
#include "shard_journal.hpp"
#include "worker_directory.hpp"

#include <trailjunction/decide/process/placement.hpp>
#include <trailjunction/decide/process/run_report.hpp>
#include <trailjunction/decide/version/config_document.hpp>
#include <trailjunction/entry/settings.hpp>
#include <trailjunction/net/process_metrics.hpp>

#include <absl/container/flat_hash_map.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace trailjunction
{
	/// \brief Owns shards, starts and ends runs, answers heartbeats.
	/// \details The functions of the decide package take the decisions. A decision that must survive the process is
	/// appended to the shard_journal of its shard, and its effects take place once it is durable.
	class task_owner
	{
	public:
		task_owner(boost::asio::io_context& io, const entry_settings& settings, platform_client& platform,
				   member_keeper& members, worker_directory& workers, process_metrics& metrics);

		/// \brief Starts the loops that acquire shards and schedule their tasks.
		void start();

		/// \brief Processes one heartbeat of an agent and answers it with a lease.
		void handle_heartbeat(known_worker& worker, const wire::heartbeat& beat);

		/// \brief Replaces the configuration.
		void configure(const config_document& document)
		{
			config_ = document;
		}

		/// \brief Hands over all shards and acquires no more of them; part of a planned shutdown.
		[[nodiscard]] boost::asio::awaitable<void> hand_over();

		/// \brief The journal of the shard that a task belongs to.
		[[nodiscard]] shard_journal& journal_of(const task_id& task);
		[[nodiscard]] const std::vector<std::unique_ptr<shard_journal>>& journals() const noexcept
		{
			return journals_;
		}

		/// \brief Appends a record to its shard's journal and waits for it to be durable, at most until \p deadline.
		/// \returns unavailable if the record was not accepted; unknown if it may or may not become durable, in which
		/// case the command may be retried with the same id.
		[[nodiscard]] boost::asio::awaitable<absl::Status> commit(journal_record record, instant deadline);

		/// \brief Waits until all records appended for a task are durable, at most until \p deadline.
		/// \returns unknown if they are not known to be durable by then.
		[[nodiscard]] boost::asio::awaitable<absl::Status> wait_until_durable(task_id task, instant deadline);

		/// \brief Describes a task's phase, the reason for it and the last placement decision, for operators.
		[[nodiscard]] std::string explain_task(const task_state& task) const;

		/// \brief Resources claimed by the runs of this entry's shards, by account.
		[[nodiscard]] account_amounts usage() const;

		/// \brief What each account has running and waiting in this entry's shards; the input for sharing quotas.
		[[nodiscard]] account_needs needs() const;

		/// \brief The number of shards that this entry owns.
		[[nodiscard]] std::size_t owned_shards() const noexcept;

	private:
		/// State of a task that is not in the journal. A restart loses it without harm.
		struct transient_state
		{
			instant start_sent_at{};
			instant hold_until{};  ///< The earliest time of the next placement attempt.
			instant fence_until{}; ///< While fenced: the time from which the run is certain to have stopped.
			bool fence_durable{};
			std::string last_placement; ///< The last placement decision, as text.
			std::string hold_reason;    ///< Why the task is not placed before hold_until.
			bool throttled{};
			instant checkpoint_at{};
			instant order_sent_at{}; ///< When an order for the run was last sent.
		};

		boost::asio::awaitable<void> maintain_shards();
		boost::asio::awaitable<void> schedule();
		boost::asio::awaitable<void> take_over_shard(shard_journal& journal);
		void after_takeover(shard_journal& journal);
		void step_down();

		// heartbeats
		void answer_report(known_worker& worker, const wire::run_report& report, wire::grant& grant);
		void append_report_record(shard_journal& journal, known_worker& worker, journal_record record);
		void handle_run_end(known_worker& worker, const task_state& task, run_end run_result);
		void send_wanted_order(const known_worker& worker, const shard_journal& journal, const task_state& task);
		void handle_missing_runs(known_worker& worker, const wire::heartbeat& beat);
		resources unreported_claims(const known_worker& worker, const wire::heartbeat& beat);

		// scheduling
		void fence_lost_workers(shard_journal& journal, instant now);
		void fence_run(shard_journal& journal, const task_state& task, const std::string& reason);
		void release_fences(shard_journal& journal, instant now);
		void place_waiting(shard_journal& journal, instant now);
		bool try_place(shard_journal& journal, const task_state& task, instant now);
		bool quota_allows(const task_state& task) const;
		void evict_for_urgent(shard_journal& journal, const task_state& task, instant now);
		bool park_if_poison(shard_journal& journal, const task_state& task);
		void park(shard_journal& journal, const task_state& task, const std::string& reason);
		void prune_transient_state();
		void park_or_hold(shard_journal& journal, const task_state& task, const placement_decision& decision,
						  instant now);
		void protect_services(shard_journal& journal, instant now);

		void send_start(const shard_journal& journal, const task_id& task);
		void send_order(const shard_journal& journal, const task_state& task, wire::run_order order_kind,
						const std::string& reason);
		void hold(const task_id& task, millis time, std::string reason, instant now);

		boost::asio::io_context& io_;
		const entry_settings& settings_;
		platform_client& platform_;
		member_keeper& members_;
		worker_directory& workers_;
		write_budget budget_;
		std::vector<std::unique_ptr<shard_journal>> journals_;
		absl::flat_hash_map<task_id, transient_state> transient_;
		absl::flat_hash_map<account_id, resources> usage_;
		std::vector<instant> service_evictions_; ///< Times of recent evictions that protected a service.
		config_document config_;
		random_engine random_;
		instant started_at_;
		instant last_urgent_eviction_{};
		bool stopping_{}; ///< Acquires no more shards.
		prometheus::Counter& starts_counter_;
		prometheus::Counter& ends_counter_;
		prometheus::Counter& fences_counter_;
		prometheus::Counter& evictions_counter_;
		prometheus::Gauge& waiting_gauge_;
		prometheus::Gauge& owned_gauge_;
	};
}
