// SPDX-License-Identifier: MIT
#include "job_term.hpp"

#include "../upkeep/upkeep_controller.hpp"

#include <trailjunction/core/event.hpp>
#include <trailjunction/jobs/job_tables.hpp>
#include <trailjunction/net/coroutines.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace trailjunction
{
	namespace asio = boost::asio;

	namespace
	{
		/// Timeout of the first attempt of a transaction, far above its usual duration. It doubles after each attempt
		/// without an answer, since a store that is slow throughout would otherwise never answer in time.
		constexpr auto first_commit_timeout = millis{600};
		constexpr auto max_commit_timeout = millis{2'400};
		constexpr auto retry_backoff = millis{40};
		/// Minimum pause between two transactions. It limits a burst of changes to some dozens of transactions per
		/// second instead of hundreds.
		constexpr auto min_commit_gap = millis{20};
		/// Ratio of the pause after a round to the duration of the round. With 2, reports get two thirds of the thread
		/// however slow the instance is. The cost of a round depends on the number of workers and jobs, hardly on how
		/// often it runs.
		constexpr int gap_per_round = 2;
		/// Maximum pause between two transactions. Ready work waits no longer than this, which is less than half of the
		/// users' shortest latency target.
		constexpr auto max_commit_gap = millis{100};
		/// Poll interval for a due renewal while loading; bounds the wait at the end of a load.
		constexpr auto renewal_poll_interval = millis{20};
		/// Maximum age of the owner's knowledge of submissions at which it publishes counts of waiting jobs. The age of
		/// the row and its copies adds up to 2.5 s until callers get the counts, and callers accept counts that are up
		/// to 5 s old.
		constexpr auto max_depths_age = millis{2'000};
		/// Minimum interval between log lines of ended runs. The ends of one job spread over many rounds; one line per
		/// job and round would exceed the limit of the log.
		constexpr auto log_ends_interval = millis{250};
		/// Maximum number of upkeep wave rows in one transaction, so that they leave room for jobs.
		constexpr std::size_t max_wave_rows = 4;
		/// Maximum number of rows in one transaction for the owner, its depths and its forecast, so that they leave
		/// room for the progress of the largest job.
		constexpr std::size_t max_owner_rows = 3;
		/// Minimum interval between two forecasts. A forecast iterates over all waiting and running tasks, and entries
		/// receive it twice per second.
		constexpr auto forecast_interval = millis{250};
		/// Time after a takeover without a forecast. Until workers have reported their capacity to the new owner, a
		/// forecast would say that there is none.
		constexpr auto first_forecast_delay = millis{3'000};

		/// Growth of the end of an unconfirmed lease from which on it is stored again. Reports that take longer than
		/// others let it appear later. It is below the margin that is added to each longest lease.
		constexpr auto min_stored_lease_growth = millis{50};

		stored::queue_depth depth_row(const queue_id& queue, std::int64_t waiting)
		{
			stored::queue_depth out;
			out.name = queue.str();
			out.waiting = waiting;
			return out;
		}

		row_name owner_row()
		{
			return {owner_table, owner_key};
		}
	}

	job_term::job_term(asio::io_context& io, const job_entry_settings& settings, row_store& store,
					   const evacuation_rows& evacuations, process_metrics& metrics, owned_row owned,
					   depth_handler on_depths, const upkeep_adapter* upkeep)
		: io_{io},
		  settings_{settings},
		  store_{store},
		  evacuations_{io, store, evacuations, metrics,
					   [this]
					   {
						   wake();
					   }},
		  metrics_{metrics},
		  owned_{std::move(owned)},
		  on_depths_{std::move(on_depths)},
		  ownership_times_{ownership_times_of(settings)},
		  run_lease_times_{run_lease_times_of(settings)},
		  began_at_{boottime_now()},
		  committed_at_{began_at_},
		  commit_gap_{min_commit_gap},
		  meter_{metrics, began_at_},
		  idle_meter_{metrics},
		  max_changes_{max_batch_changes},
		  work_timer_{io}
	{
		if (upkeep != nullptr && settings_.upkeep)
			create_upkeep(*upkeep);
	}

	job_term::~job_term() = default;

	std::int64_t job_term::store_now_ms(instant now) const noexcept
	{
		return owned_.store_ms + std::chrono::duration_cast<millis>(now - owned_.renewal_sent).count();
	}

	bool job_term::may_act(instant now) const noexcept
	{
		return !over_ && holds_lease(owned_.renewal_sent, owned_.lease, now);
	}

	bool job_term::may_order(instant now) const noexcept
	{
		return may_act(now) && !owned_.row.released;
	}

	void job_term::wake()
	{
		placing_requested_ = true;
		work_timer_.cancel();
	}

	void job_term::release()
	{
		releasing_ = true;
		wake();
	}

	asio::awaitable<void> job_term::wait_for_work()
	{
		while (true)
		{
			const auto now = boottime_now();
			const bool work = placing_requested_ || releasing_ || !table_.unsaved.empty();
			const auto due = work ? committed_at_ + commit_gap_ : committed_at_ + renewal_interval(owned_.lease);
			if (now >= due)
				co_return;
			work_timer_.expires_at(to_steady_time(due));
			(void)co_await work_timer_.async_wait(as_result);
		}
	}

	asio::awaitable<void> job_term::work()
	{
		const auto self = shared_from_this();
		asio::co_spawn(
			io_, [self]() -> asio::awaitable<void> { co_await self->follow_submissions(); }, asio::detached);
		asio::co_spawn(
			io_, [self]() -> asio::awaitable<void> { co_await self->follow_agents(); }, asio::detached);
		asio::co_spawn(
			io_, [self]() -> asio::awaitable<void> { co_await self->follow_evacuations(); }, asio::detached);
		asio::co_spawn(
			io_, [self]() -> asio::awaitable<void> { co_await self->follow_upkeep(); }, asio::detached);
		asio::co_spawn(
			io_, [self]() -> asio::awaitable<void> { co_await self->remove_expired_submissions(); }, asio::detached);
		asio::co_spawn(
			io_, [self]() -> asio::awaitable<void> { co_await self->remove_expired_cancellations(); }, asio::detached);
		asio::co_spawn(
			io_, [self]() -> asio::awaitable<void> { co_await self->monitor_load(); }, asio::detached);
		asio::co_spawn(
			io_, [self]() -> asio::awaitable<void> { co_await self->store_pressures(); }, asio::detached);
		while (!over_)
		{
			co_await wait_for_work();
			const auto now = boottime_now();
			placing_requested_ = false;
			handle_expired_leases(now);
			clear_mass_losses();
			release_held_tasks(now);
			move_tasks_for_upkeep(now);
			log_stale_input(now);
			if (may_act(now) && !releasing_ && !has_stale_input(now))
			{
				move_from_shrunk_rooms(now);
				place_waiting(now);
			}
			auto next = make_batch(now);
			const auto batch_made_at = boottime_now();
			const bool last = releasing_;
			const bool committed = co_await commit(next);
			if (!committed)
				break;
			const auto batch_committed_at = boottime_now();
			on_committed(next, batch_committed_at);
			const auto round =
				std::chrono::duration_cast<millis>((batch_made_at - now) + (boottime_now() - batch_committed_at));
			commit_gap_ = std::clamp(gap_per_round * round, min_commit_gap, max_commit_gap);
			if (last)
				break;
		}
		over_ = true;
		ended_log_.flush();
		idle_meter_.clear();
		for (const auto& [name, peer] : peers_)
			peer->stop();
	}

	void job_term::add_owner_row(batch& out, bool loaded)
	{
		out.change.partition = job_partition;
		out.change.conditions.push_back({owner_row(), owned_.version});
		++owned_.row.sequence;
		owned_.row.released = releasing_;
		const auto lease = lease_for(commit_latency_.usual, ownership_times_);
		owned_.row.__set_lease_ms(lease.count());
		owned_.lease = std::min(owned_.lease, lease); // a rival may read this row before its answer arrives
		// While the cause of a rejection is sought, no change may be blamed for statistics that the store rejects.
		out.has_statistics = loaded && max_changes_ == max_batch_changes;
		owned_.row.loaded = out.has_statistics;
		owned_.row.depths.clear();
		if (out.has_statistics)
			for (const auto& [queue, waiting] : count_waiting_jobs(table_))
				owned_.row.depths.push_back(depth_row(queue, waiting));
		forecast_if_due(out.has_statistics);
		auto rows = encode_ownership(owned_.row, settings_.store_limits.value_bytes, max_owner_rows);
		for (std::size_t i = 0; i < rows.size(); ++i)
			out.change.put.push_back({{owner_table, ownership_key(i)}, std::move(rows[i])});
	}

	void job_term::forecast_if_due(bool loaded)
	{
		const auto now = boottime_now();
		if (!settings_.forecast_room || !loaded || now - began_at_ < first_forecast_delay)
		{
			forecast_ = {};
			owned_.row.room = {};
			return;
		}
		if (forecast_.made_at && now - *forecast_.made_at < forecast_interval)
			return;
		forecast_ = make_forecast(now);
		owned_.row.room = forecast_row(forecast_, store_now_ms(now));
	}

	asio::awaitable<void> job_term::renew_while_loading()
	{
		while (loading_ && !over_)
		{
			co_await pause_for(io_, renewal_poll_interval);
			if (!loading_ || over_ || boottime_now() < owned_.renewal_sent + renewal_interval(owned_.lease))
				continue;
			batch renewal;
			add_owner_row(renewal, false);
			const bool renewed = co_await commit(renewal);
			if (!renewed)
				over_ = true;
		}
		renewing_ = false;
	}

	job_term::batch job_term::make_batch(instant now)
	{
		const busy_scope scope{meter_, owner_duty::saving};
		if (now - ends_logged_at_ >= log_ends_interval)
		{
			ends_logged_at_ = now;
			ended_log_.flush();
		}
		batch out;
		add_owner_row(out, has_recent_submissions(max_depths_age, now));
		auto space = space_left(out.change, settings_.store_limits);
		if (upkeep_)
			out.waves = upkeep_->add_unsaved_rows(out.change, space, std::min(max_wave_rows, max_changes_));
		add_jobs(out, space, now);
		const auto is_saved = [&](const task_run& run_id)
		{
			return !table_.unsaved.contains(run_id.task.job);
		};
		std::copy_if(pending_starts_.begin(), pending_starts_.end(), std::back_inserter(out.starts), is_saved);
		// If no job is left unsaved, this transaction makes all ends that were reported so far durable.
		if (table_.unsaved.empty())
			for (const auto& [name, peer] : peers_)
				if (peer->worker.last_end_seen > peer->worker.last_end_stored)
					out.ends.push_back({peer, peer->worker.current_incarnation, peer->worker.last_end_seen,
										peer->worker.full_reports});
		add_workers(out, space);
		add_progress_removals(out, space);
		return out;
	}

	void job_term::add_jobs(batch& out, transaction_space& space, instant now)
	{
		for (const auto& id : unsaved_jobs())
		{
			if (out.changes() >= max_changes_)
				break;
			auto& job = *find_job(table_, id);
			if (has_ended(job.status) && job.ended_ms == 0)
				job.ended_ms = store_now_ms(now);
			auto progress = encode_within_limits(job, now);
			if (!progress)
				continue;
			if (!add_progress(out, space, job, *std::move(progress)))
			{
				first_jobs_.insert(id);
				break;
			}
			table_.unsaved.erase(id);
		}
	}

	std::vector<job_id> job_term::unsaved_jobs()
	{
		absl::erase_if(first_jobs_, [&](const job_id& id) { return !table_.unsaved.contains(id); });
		std::vector<job_id> out{table_.unsaved.begin(), table_.unsaved.end()};
		std::partition(out.begin(), out.end(), [&](const job_id& id) { return first_jobs_.contains(id); });
		return out;
	}

	bool job_term::add_progress(batch& out, transaction_space& space, const job_state& job, progress_rows progress)
	{
		const auto rows = progress.values.size();
		std::vector<row_value> put;
		for (std::size_t i = 0; i < rows; ++i)
			put.push_back({{progress_table, progress_key(job.id, i)}, std::move(progress.values[i])});
		if (!add_if_fits(out.change, space, std::move(put), stored_progress_rows(job.id, rows)))
			return false;
		out.saved.push_back({job.id, rows});
		return true;
	}

	std::optional<progress_rows> job_term::encode_within_limits(job_state& job, instant now)
	{
		const progress_limits limits{.row_bytes = settings_.store_limits.value_bytes};
		auto progress = encode_progress(job, limits);
		if (!progress.ok())
		{
			// The progress of a failed job holds no more than its placed tasks.
			discard_progress(job.id, std::string{progress.status().message()}, now);
			return std::nullopt;
		}
		if (progress->max_checkpoint_bytes && jobs_without_checkpoints_.insert(job.id).second)
			log_event(event::row_rejected, {{"job", job.id.str()},
											{"reason", "its progress exceeds the limits of the store"},
											{"left_out", "checkpoints"},
											{"max_checkpoint_bytes", *progress->max_checkpoint_bytes}});
		return *std::move(progress);
	}

	std::vector<row_name> job_term::stored_progress_rows(const job_id& id, std::size_t first) const
	{
		std::vector<row_name> out;
		const auto found = progress_row_counts_.find(id);
		const auto count = found == progress_row_counts_.end() ? 1 : found->second;
		for (auto i = first; i < count; ++i)
			out.push_back({progress_table, progress_key(id, i)});
		return out;
	}

	void job_term::add_workers(batch& out, transaction_space& space)
	{
		// A successor determines from the stored incarnation which runs were lost with it. Therefore the next
		// incarnation is stored no earlier than the last job that the loss changed.
		if (!table_.unsaved.empty())
			return;
		for (const auto& [name, peer] : peers_)
		{
			if (out.changes() >= max_changes_)
				break; // left to the next transaction
			const auto& worker = peer->worker.current_incarnation;
			const auto unconfirmed_end = unconfirmed_lease_end(worker);
			const bool is_stored = worker == peer->stored_incarnation &&
								   unconfirmed_end < peer->stored_lease_end + min_stored_lease_growth;
			if (worker.empty() || is_stored)
				continue;
			if (!add_if_fits(out.change, space, {{{workers_table, name}, encode_worker(worker_row(*peer))}}))
				break;
			peer->stored_incarnation = worker;
			peer->stored_lease_end = unconfirmed_end;
			out.workers.push_back(peer);
		}
	}

	stored::worker job_term::worker_row(const agent_peer& peer) const
	{
		const auto& worker = peer.worker.current_incarnation;
		stored::worker row;
		row.life = worker.id();
		if (const auto& start_time = worker.start_time())
			row.__set_start_ms(static_cast<std::int64_t>(start_time->value));
		row.address = to_string(peer.agent_address());
		if (const auto unconfirmed_end = unconfirmed_lease_end(worker); unconfirmed_end != instant{})
			row.__set_unconfirmed_lease_end_ms(store_now_ms(unconfirmed_end));
		return row;
	}

	void job_term::add_progress_removals(batch& out, transaction_space& space)
	{
		while (out.changes() < max_changes_ && !removed_submissions_.empty())
		{
			const auto id = removed_submissions_.back();
			// A job that was submitted again meanwhile has progress of its own.
			const bool is_known_again = find_job(table_, id) != nullptr;
			if (!is_known_again && !add_if_fits(out.change, space, {}, stored_progress_rows(id, 0)))
				return; // left to the next transaction
			removed_submissions_.pop_back();
			jobs_without_checkpoints_.erase(id);
			if (!is_known_again)
				out.removed.push_back(id);
		}
	}

	asio::awaitable<bool> job_term::commit(batch& pending)
	{
		pending.sent = boottime_now();
		auto timeout = first_commit_timeout;
		while (true)
		{
			const auto sent = boottime_now();
			const auto result =
				co_await commit_or_look_up(io_, store_, pending.change, commit_latency_, sent + timeout);
			if (result.outcome == commit_outcome::applied)
			{
				pending.sent = sent; // this attempt was applied, not an earlier one
				owned_.version = result.version;
				owned_.store_ms = result.store_clock_ms;
				break;
			}
			if (result.outcome == commit_outcome::conflict)
			{
				// The row may have been changed by an earlier attempt of this transaction whose answer was lost.
				const auto row = result.rows.empty() ? absl::StatusOr<stored::ownership>{absl::DataLossError("no row")}
													 : decode_ownership(result.rows.front().value);
				if (!row.ok() || row->epoch != owned_.row.epoch || row->incarnation != owned_.row.incarnation ||
					row->sequence != owned_.row.sequence)
				{
					log_event(event::shard_lost, {{"epoch", owned_.row.epoch}, {"to", row.ok() ? row->member : ""}});
					co_return false;
				}
				owned_.version = result.rows.front().version;
				owned_.store_ms = result.store_clock_ms > 0 ? result.store_clock_ms : store_now_ms(pending.sent);
				break;
			}
			store_monitor_.record_failure("commit", result.reason);
			if (result.outcome == commit_outcome::rejected)
				isolate_rejected(pending, result.reason);
			// The pause also follows an immediate failure: a store that resets connections would otherwise get hundreds
			// of requests.
			co_await pause_for(io_, retry_backoff);
			if (result.outcome == commit_outcome::unknown && boottime_now() - sent >= timeout)
				timeout = std::min(2 * timeout, max_commit_timeout);
		}
		store_monitor_.record_success();
		owned_.renewal_sent = pending.sent;
		owned_.lease = millis{owned_.row.lease_ms};
		committed_at_ = boottime_now();
		const std::chrono::duration<double> took = committed_at_ - pending.sent;
		metrics_.histogram("job_commit", "Time of a transaction that keeps the jobs.").Observe(took.count());
		co_return true;
	}

	void job_term::on_committed(const batch& durable_batch, instant now)
	{
		const busy_scope scope{meter_, owner_duty::acting};
		if (durable_batch.suspect)
			discard_change(*durable_batch.suspect, now);
		if (upkeep_)
			upkeep_->record_saved();
		for (const auto& job : durable_batch.saved)
			first_jobs_.erase(job.id);
		if (!durable_batch.is_reduced && first_jobs_.empty())
			max_changes_ = std::min(2 * max_changes_, max_batch_changes);
		meter_.load.ordered += durable_batch.starts.size();
		++meter_.load.commits;
		for (const auto& ends : durable_batch.ends)
			if (ends.peer->worker.current_incarnation == ends.from_incarnation &&
				ends.peer->worker.full_reports == ends.full_reports)
				ends.peer->worker.last_end_stored = std::max(ends.peer->worker.last_end_stored, ends.last_number);
		metrics_.counter("job_runs_ordered", "Runs that were given to workers.")
			.Increment(static_cast<double>(durable_batch.starts.size()));
		const auto held = tasks_with_unplaced_runs(now);
		for (const auto& run_id : durable_batch.starts)
			order_committed_start(run_id, held, now);
		for (const auto& [id, rows] : durable_batch.saved)
			if (rows > 1)
				progress_row_counts_[id] = rows;
			else
				progress_row_counts_.erase(id);
		for (const auto& id : durable_batch.removed)
			progress_row_counts_.erase(id);
		for (const auto& [id, rows] : durable_batch.saved)
			if (const auto* job = find_job(table_, id); job != nullptr && has_ended(job->status))
			{
				log_event(event::job_ended, {{"job", id.str()}, {"status", to_string(job->status)}});
				note_failed_long_running(*job);
			}
		stop_needless_runs(now);
		review_withheld_orders(now);
		if (!owned_.row.loaded)
			return;
		queue_depths depths;
		for (const auto& depth : owned_.row.depths)
			depths.waiting[queue_id{depth.name}] = depth.waiting;
		depths.read_at = now;
		depths.room = forecast_;
		on_depths_(std::move(depths));
	}
}
