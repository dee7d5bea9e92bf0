// SPDX-License-Identifier: MIT
/// \file
/// \brief The runs of one worker: orders to it, its listings, its lease.
#pragma once

#include "run_ages.hpp"

#include <trailjunction/agent/job_agent_process.hpp>
#include <trailjunction/jobs/filler_pacing.hpp>
#include <trailjunction/jobs/refusal_memory.hpp>
#include <trailjunction/jobs/run_lease.hpp>

#include <trailjunction/wire/job_messages.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace trailjunction
{
	/// \brief For an answer on the same instance; above the slowest seen on a calm day by far.
	inline constexpr auto worker_answer_time = millis{400};
	/// \brief Between two tries of a call that failed, so that a worker that fails at once is not asked in a loop.
	inline constexpr auto worker_retry_pause = millis{100};

	/// \brief Carries out an owner's orders on the worker and tells what came of them.
	/// \details Keeps nothing that the worker does not list again: an agent that restarts learns everything from the
	/// first listing, except what its runs are for, which the owner tells again.
	class run_keeper final : public worker_listener
	{
	public:
		using port_maker = std::function<std::unique_ptr<worker_port>(endpoint)>;

		/// \param on_news Called when there is something to report soon.
		run_keeper(boost::asio::io_context& io, port_maker make_port, millis longest_lease, pacing_policy pacing,
				   std::function<void()> on_news);

		void worker_seen(worker_heartbeat heartbeat) override;
		void worker_left(const worker_life& life) override;

		/// \brief How long runs go on after a confirmation, as the owner counts.
		void set_lease(millis lease) noexcept;

		void start(wire::job_start order);
		void stop(const wire::job_stop& order);
		void confirm(const wire::job_confirm& answer);

		/// \brief What an owner should know now.
		/// \param full Everything, for an owner that knows nothing yet. Where the worker is not known yet, the first
		/// report in which it is will be full instead.
		[[nodiscard]] wire::job_report report(bool full);

		/// \brief Refuses further starts and extends no lease: the agent is about to stop.
		void close_to_starts() noexcept
		{
			closing_ = true;
		}
		/// \brief Whether the agent may go: nothing runs, or half of the lease is over.
		/// \details Nobody can stop a run whose agent is gone until its lease ends. Half of a lease leaves a successor
		/// time to come, and ends what nobody can stop so much the sooner.
		[[nodiscard]] bool may_leave(instant now) const noexcept;
		/// \brief Orders whose outcome is not known yet.
		[[nodiscard]] std::size_t open_orders() const noexcept
		{
			return open_orders_;
		}

	private:
		struct run_purpose
		{
			millis latency_target{};
			bool filler{};
			bool movable{}; ///< Of a filler; see wire.thrift.
			std::string image;
			pressures_by_image pressures; ///< Of a filler.
			resources claim;              ///< Of the worker's room.
		};
		struct kept_run
		{
			listed_run listed;
			bool changed{}; ///< Since the last report.
			std::int64_t reported_figure{-1};
			overrun over; ///< Of a serving task.
		};

		/// For the log: what proved that a run does not run.
		struct refusal_source
		{
			bool repeated{};     ///< The order said that an earlier one may have been carried out.
			std::string_view by; ///< The worker's answer, the agent itself, or a stop.
		};

		/// The incarnation before the present one.
		struct lost_life
		{
			worker_life life;
			instant heard{}; ///< Its last answer.
			absl::flat_hash_map<task_run, crash_age> runs;
		};

		struct ordered_pace
		{
			int wanted{100};  ///< Percent.
			int ordered{100}; ///< Percent, as the worker has acknowledged it.
			instant ordered_at{};
			slow_since slow;
		};

		boost::asio::awaitable<void> list_forever();
		/// Takes an incarnation that is not the current one for the next only once it has answered to its name.
		boost::asio::awaitable<void> probe_life(worker_heartbeat heartbeat);
		boost::asio::awaitable<void> carry_out_start(wire::job_start order, bool fits);
		boost::asio::awaitable<void> carry_out_stop(task_run what, worker_life life);
		boost::asio::awaitable<void> settle_start(task_run what, worker_life life);
		boost::asio::awaitable<void> pace_fillers();
		void move_slow_fillers(instant now);
		boost::asio::awaitable<bool> wait_for_listing(const worker_life& life);
		void apply_listing(worker_listing listing);
		void choose_paces(instant now);
		[[nodiscard]] std::vector<watched_serving> watch_serving(instant now);
		[[nodiscard]] std::vector<task_run> fillers_to_pace(instant now) const;
		[[nodiscard]] int mean_pace() const noexcept;
		void note_result(const order_result& result, instant answered);
		void begin_life(const worker_heartbeat& heartbeat);
		/// Takes note that the worker has ended as it said, so that its lease need not run down.
		void note_ended();
		/// Keeps what is known of the runs of the incarnation that has gone.
		void keep_lost_life();
		/// \param why For the log: who wants the stop.
		void begin_stop(const task_run& what, std::string_view why);
		void refuse(const task_run& what, start_refusal why, const refusal_source& from);
		/// Answers an order of a run that was refused before.
		void answer_refused(const task_run& what, start_refusal why, bool repeated);
		void note_overlaps();
		void started(const task_run& what);
		/// Whether a run fits beside all that is there, by what the worker says of itself.
		/// \details Not every worker guards its room, and it may shrink at any time: while an order is on its way,
		/// while a store is slow, while this process stands still. The worker beside this agent tells it first, so the
		/// last look is here. What is being stopped counts until the worker lists its end.
		[[nodiscard]] bool has_room_for(const task_run& what, const resources& claim, instant now) const;
		[[nodiscard]] bool is_there(const task_run& what) const noexcept;
		[[nodiscard]] bool is_current(const worker_life& life) const noexcept;
		[[nodiscard]] bool has_ended(const task_run& what) const noexcept;
		[[nodiscard]] order_authority authority() const;
		[[nodiscard]] std::int64_t worker_now_ms(instant now) const noexcept;
		/// When the worker's clock was read, as if this instance had not been suspended since.
		[[nodiscard]] instant clock_read_as_worker() const noexcept;

		boost::asio::io_context& io_;
		port_maker make_port_;
		millis longest_lease_;
		pacing_policy pacing_;
		std::function<void()> on_news_;
		std::shared_ptr<worker_port> port_;
		std::optional<worker_heartbeat> worker_;
		instant heartbeat_at_{};                   ///< When the latest heartbeat of the current incarnation came.
		absl::flat_hash_set<worker_life> probing_; ///< Incarnations that are being asked whether they are there.
		millis lease_{};
		std::int64_t fencing_token_{};
		std::int64_t clock_ms_{}; ///< The worker's clock in an answer that had arrived by clock_read_.
		instant clock_read_{};
		std::chrono::nanoseconds clock_read_suspended_{}; ///< How long this instance had been suspended by then.
		std::int64_t deadline_ms_{}; ///< Up to which the runs are confirmed, on the worker's clock.
		std::int64_t ends_kept_{};
		std::int64_t ends_reported_{};
		std::uint64_t listings_{}; ///< Answered so far; a counter for those who wait for a fresh one.
		int failed_listings_{};
		bool listed_once_{};
		bool full_owed_{}; ///< A full report was asked for and not given yet.
		absl::flat_hash_map<task_run, kept_run> runs_;
		absl::flat_hash_map<task_run, run_purpose> purposes_;
		absl::flat_hash_map<task_run, ordered_pace> paces_; ///< Of fillers.
		absl::flat_hash_set<task_run> ordering_;
		/// Runs that the worker has confirmed, until a listing that was made after it: the value of listings_ then.
		absl::flat_hash_map<task_run, std::uint64_t> unlisted_;
		run_ages ages_;       ///< Of the runs in runs_, ordering_ and unlisted_.
		bool said_goodbye_{}; ///< The worker said that it is about to end.
		bool ended_{};        ///< It has.
		std::optional<lost_life> lost_;
		bool lost_owed_{}; ///< The owner has not been told of lost_.
		absl::flat_hash_set<task_run> stopping_;
		std::vector<listed_end> ends_;
		std::vector<refused_run> refusals_; ///< Not reported yet.
		refusal_memory refused_;
		std::vector<task_run> started_;
		instant paces_changed_{};
		bool fillers_stopped_{}; ///< A serving task bears no filler now; the owner is told a pace of 0 meanwhile.
		bool pacing_now_{};
		bool closing_{};
		std::size_t open_orders_{};
	};
}
