// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Of the product's own path: the tasks of this entry's shards, what runs where, and what happens next.
#pragma once

#include "member_keeper.hpp"
#include "shard_keeper.hpp"
#include "worker_directory.hpp"

#include <trailjunction/decide/process/placement.hpp>
#include <trailjunction/decide/process/sighting.hpp>
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
	/// \details Decisions come from the functions of the decide package; every one that must last goes through a
	/// shard_keeper, and what it leads to is done when it is durable.
	class task_owner
	{
	public:
		task_owner(boost::asio::io_context& io, const entry_settings& settings, platform_client& platform,
				   member_keeper& members, worker_directory& workers, process_metrics& metrics);

		/// \brief Starts to take shards and to schedule.
		void start();

		/// \brief Answers one heartbeat.
		void take_beat(known_worker& worker, const wire::heartbeat& beat);

		/// \brief The configuration that is in force from now on.
		void configure(const config_document& document)
		{
			config_ = document;
		}

		/// \brief The planned stop: hands all shards over.
		[[nodiscard]] boost::asio::awaitable<void> hand_over();

		/// \brief The keeper of a task's shard.
		[[nodiscard]] shard_keeper& keeper_of(const task_id& task);
		[[nodiscard]] const std::vector<std::unique_ptr<shard_keeper>>& keepers() const noexcept
		{
			return keepers_;
		}

		/// \brief Decides a record and waits until it is durable, until \p deadline at the latest.
		/// \returns unavailable: not accepted; unknown: the outcome is open, the command may be repeated.
		[[nodiscard]] boost::asio::awaitable<absl::Status> commit(journal_record record, instant deadline);

		/// \brief Waits until everything decided about a task is durable.
		[[nodiscard]] boost::asio::awaitable<absl::Status> settle(task_id task, instant deadline);

		/// \brief Why the task is where it is, in words.
		[[nodiscard]] std::string why(const task_state& task) const;

		/// \brief What the shards of this entry have running, by account.
		[[nodiscard]] account_amounts usage() const;

		/// \brief What each account has running and waiting here.
		[[nodiscard]] account_needs needs() const;

		/// \brief Whether some shard of this entry is owned and none is being read.
		[[nodiscard]] std::size_t owned_shards() const noexcept;

	private:
		/// What is known of a task beyond its journal; lost with the process, and harmless so.
		struct task_notes
		{
			instant start_sent{};
			instant hold_until{};  ///< Not placed before.
			instant fence_until{}; ///< While it is fenced: when nothing of the run can be left.
			bool fence_durable{};
			std::string placement; ///< The last decision, in words.
			std::string held_for;  ///< Why it is not placed now.
			bool throttled{};
			instant checkpoint_at{};
			instant ordered{}; ///< When an order was last sent.
		};

		boost::asio::awaitable<void> keep_shards();
		boost::asio::awaitable<void> schedule();
		boost::asio::awaitable<void> take_shard(shard_keeper& keeper);
		void after_takeover(shard_keeper& keeper);
		void step_down();

		// sightings
		void answer_report(known_worker& worker, const wire::run_report& report, wire::grant& grant);
		void write_sighting(shard_keeper& keeper, known_worker& worker, journal_record record);
		void note_run_end(known_worker& worker, const task_state& task, run_end how);
		void order_if_wanted(const known_worker& worker, const shard_keeper& keeper, const task_state& task);
		void find_missing(known_worker& worker, const wire::heartbeat& beat);
		resources unreported_claims(const known_worker& worker, const wire::heartbeat& beat);

		// schedule
		void watch_workers(shard_keeper& keeper, instant now);
		void fence_run(shard_keeper& keeper, const task_state& task, const std::string& reason);
		void release_fences(shard_keeper& keeper, instant now);
		void place_waiting(shard_keeper& keeper, instant now);
		bool try_place(shard_keeper& keeper, const task_state& task, instant now);
		bool quota_allows(const task_state& task) const;
		void make_room(shard_keeper& keeper, const task_state& task, instant now);
		bool park_if_poison(shard_keeper& keeper, const task_state& task);
		void park(shard_keeper& keeper, const task_state& task, const std::string& reason);
		void forget_notes();
		void park_or_hold(shard_keeper& keeper, const task_state& task, const placement_decision& decision,
						  instant now);
		void respond_to_services(shard_keeper& keeper, instant now);

		void send_start(const shard_keeper& keeper, const task_id& task);
		void send_order(const shard_keeper& keeper, const task_state& task, wire::run_order what,
						const std::string& reason);
		void hold(const task_id& task, millis time, std::string reason, instant now);

		boost::asio::io_context& io_;
		const entry_settings& settings_;
		platform_client& platform_;
		member_keeper& members_;
		worker_directory& workers_;
		write_budget budget_;
		std::vector<std::unique_ptr<shard_keeper>> keepers_;
		absl::flat_hash_map<task_id, task_notes> notes_;
		absl::flat_hash_map<account_id, resources> usage_;
		std::vector<instant> evictions_; ///< For the sake of services, lately.
		config_document config_;
		random_engine random_;
		instant started_at_;
		instant room_made_{};
		bool stopping_{}; ///< Takes no shard any more.
		prometheus::Counter& starts_;
		prometheus::Counter& ends_;
		prometheus::Counter& fences_;
		prometheus::Counter& evicted_;
		prometheus::Gauge& waiting_;
		prometheus::Gauge& owned_;
	};
}
