// SPDX-License-Identifier: MIT
#include "job_term.hpp"

#include "../upkeep/upkeep_controller.hpp"

#include <trailjunction/core/event.hpp>
#include <trailjunction/jobs/job_tables.hpp>
#include <trailjunction/net/coroutines.hpp>

#include <absl/strings/match.h>
#include <absl/strings/strip.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <iterator>

namespace trailjunction
{
	namespace asio = boost::asio;

	namespace
	{
		constexpr auto read_timeout = millis{2'000};
		/// Timeout of the last attempt to read all jobs. The first attempt has read_timeout, and each further one twice
		/// as long. So a read that the store never answers costs only 2 s, while the smallest instances still get the
		/// longer time that they need for 1,300 jobs.
		constexpr auto max_read_timeout = millis{8'000};
		/// Number of rows that are decoded before the event loop gets a turn, such as for a renewal.
		constexpr std::size_t rows_per_chunk = 50;
		/// Long-poll time of the submission feed. It is short, so that a silent feed is noticed before the knowledge of
		/// cancellations is too old to start anything.
		constexpr auto feed_wait = millis{1'000};
		constexpr auto agents_wait = millis{10'000};
		constexpr auto feed_grace = millis{600};
		constexpr auto retry_backoff = millis{100};

		/// Logs the requirements of the job, so that its later placements can be understood from the log alone.
		void log_taken_up(const job_state& job)
		{
			boost::json::array groups;
			for (const auto& group : job.spec.groups)
				groups.push_back(boost::json::object{{"count", group.count},
													 {"cpu_milli", group.claim.cpu_milli},
													 {"memory_mib", group.claim.memory_mib},
													 {"estimate_ms", group.estimate.count()},
													 {"image", group.image},
													 {"filler", group.filler},
													 {"latency_target_ms", group.latency_target.count()},
													 {"per_worker", group.per_worker_limit},
													 {"may_be_away", group.max_unavailable},
													 {"after", group.after.size()}});
			log_event(event::job_taken_up, {{"job", job.id.str()},
											{"queue", job.queue.queue.str()},
											{"priority", job.queue.priority},
											{"groups", boost::json::serialize(groups)}});
		}

		std::vector<stored_row> rows_of(const std::vector<stored_row>& rows, std::string_view table)
		{
			std::vector<stored_row> out;
			std::copy_if(rows.begin(), rows.end(), std::back_inserter(out),
						 [&](const stored_row& row) { return row.name.table == table; });
			return out;
		}

		row_range whole_table(const char* table, const char* partition)
		{
			return {table, partition, "", "", 0};
		}

		std::vector<row_range> all_submissions()
		{
			std::vector<row_range> out;
			for (std::size_t i = 0; i < submission_partitions; ++i)
				out.push_back({submissions_table, submission_partition(i), "", "", 0});
			return out;
		}
	}

	asio::awaitable<absl::Status> job_term::load()
	{
		loading_ = true;
		renewing_ = true;
		asio::co_spawn(
			io_, [self = shared_from_this()]() -> asio::awaitable<void> { co_await self->renew_while_loading(); },
			asio::detached);
		auto status = co_await read_state();
		loading_ = false;
		while (renewing_)
			co_await pause_for(io_, retry_backoff / 10);
		if (over_)
			status = absl::AbortedError("another member has taken the row over");
		co_return status;
	}

	asio::awaitable<absl::StatusOr<row_page>> job_term::read_with_retries(std::vector<row_range> ranges)
	{
		for (auto timeout = read_timeout;; timeout *= 2)
		{
			auto attempt_ranges = ranges;
			auto page = co_await read_all(io_, store_, std::move(attempt_ranges), boottime_now() + timeout);
			if (page.ok() || over_ || releasing_ || timeout >= max_read_timeout)
				co_return page;
			store_monitor_.record_failure("load jobs", page.status().ToString());
			co_await pause_for(io_, retry_backoff);
		}
	}

	asio::awaitable<absl::Status> job_term::read_state()
	{
		// From here on nobody else changes the rows that the owner writes, and a submission is removed before the
		// progress of its job. So a job with progress in this read and no submission in the next one is a job whose
		// removal was interrupted.
		std::vector<row_range> own_ranges{whole_table(progress_table, job_partition),
										  whole_table(workers_table, job_partition),
										  whole_table(pressures_table, job_partition),
										  whole_table(agents_table, agent_partition), evacuations_.range()};
		if (upkeep_)
			own_ranges.push_back(upkeep_controller::progress_range());
		const auto own_rows_asked_at = boottime_now();
		const auto own_rows = co_await read_with_retries(std::move(own_ranges));
		if (!own_rows.ok())
			co_return own_rows.status();
		store_undecoded_progress(rows_of(own_rows->rows, progress_table));
		apply_workers(rows_of(own_rows->rows, workers_table));
		apply_pressures(rows_of(own_rows->rows, pressures_table));
		evacuations_.apply_all(rows_of(own_rows->rows, evacuations_.range().table), own_rows->version,
							   own_rows_asked_at);
		if (upkeep_)
			upkeep_->load_progress(rows_of(own_rows->rows, upkeep_controller::progress_range().table));
		auto ranges = all_submissions();
		const auto asked_at = boottime_now();
		const auto submissions = co_await read_with_retries(std::move(ranges));
		if (!submissions.ok())
			co_return submissions.status();
		submissions_known_at_ = asked_at;
		co_await apply_submissions_in_chunks(submissions->rows);
		submissions_version_ = submissions->version;
		// A submission that exists but cannot be decoded keeps its progress.
		for (const auto& row : submissions->rows)
			undecoded_progress_.erase(job_id{row.name.key});
		for (const auto& [id, row] : undecoded_progress_)
			removed_submissions_.push_back(id);
		undecoded_progress_.clear();
		// Agents come last, because their reports can only be interpreted once all jobs are known.
		apply_agents(rows_of(own_rows->rows, agents_table));
		agents_version_ = own_rows->version;
		log_event(event::shard_recovered, {{"epoch", owned_.row.epoch},
										   {"jobs", table_.jobs.size()},
										   {"workers", table_.placed.size()},
										   {"agents", peers_.size()}});
		co_return absl::OkStatus();
	}

	void job_term::store_undecoded_progress(const std::vector<stored_row>& rows)
	{
		for (const auto& row : rows)
			undecoded_progress_[job_of_progress_key(row.name.key)].push_back(row.value);
		for (const auto& [id, values] : undecoded_progress_)
			if (values.size() > 1)
				progress_row_counts_[id] = values.size();
	}

	asio::awaitable<void> job_term::apply_submissions_in_chunks(const std::vector<stored_row>& rows)
	{
		for (std::size_t i = 0; i < rows.size() && !over_; i += rows_per_chunk)
		{
			apply_submissions(std::span{rows}.subspan(i, std::min(rows_per_chunk, rows.size() - i)));
			co_await pause_for(io_, millis{0});
		}
	}

	bool job_term::register_if_ended(const job_id& id, const std::string& submission)
	{
		const auto found = undecoded_progress_.find(id);
		if (found == undecoded_progress_.end())
			return false;
		const auto ended_ms = decode_end(found->second.front());
		if (!ended_ms.ok() || !*ended_ms)
			return false; // a row that cannot be decoded is logged when its submission is processed
		table_.ended[id] = **ended_ms;
		// The owner that stored the failure may have been replaced before it knew that this was stored.
		if (const auto status = decode_status(found->second.front()); status.ok() && *status == job_status::failed)
			if (auto job = decode_submission(id, submission, boottime_now()); job.ok())
			{
				job->status = *status;
				note_failed_long_running(*job);
			}
		undecoded_progress_.erase(found);
		return true;
	}

	absl::Status job_term::apply_progress(job_state& job, instant now)
	{
		const auto found = undecoded_progress_.find(job.id);
		if (found == undecoded_progress_.end())
			return absl::OkStatus();
		const auto rows = std::move(found->second);
		undecoded_progress_.erase(found);
		for (const auto& row : rows)
			if (auto status = decode_progress(job, row, now); !status.ok())
				return status;
		return absl::OkStatus();
	}

	void job_term::apply_submissions(std::span<const stored_row> rows)
	{
		const busy_scope scope{meter_, owner_duty::reading};
		const auto now = boottime_now();
		for (const auto& row : rows)
		{
			if (row.removed)
				continue;
			if (absl::EndsWith(row.name.key, cancellation_suffix))
			{
				cancel_job(table_, job_id{std::string{absl::StripSuffix(row.name.key, cancellation_suffix)}});
				continue;
			}
			const job_id id{row.name.key};
			if (is_known(table_, id) || register_if_ended(id, row.value))
				continue;
			auto job = decode_submission(id, row.value, now);
			if (!job.ok())
			{
				log_event(event::row_unreadable, {{"job", id.str()}, {"reason", job.status().ToString()}});
				continue;
			}
			if (const auto status = apply_progress(*job, now); !status.ok())
			{
				log_event(event::row_unreadable, {{"job", id.str()}, {"reason", status.ToString()}});
				continue;
			}
			log_taken_up(*job);
			restore_suspects(*job);
			restore_held_tasks(*job, now);
			record_predicted_wait(*job);
			add_job(table_, *std::move(job));
		}
		wake();
	}

	void job_term::apply_workers(const std::vector<stored_row>& rows)
	{
		const auto now = boottime_now();
		for (const auto& row : rows)
		{
			const auto worker = decode_worker(row.value);
			if (!worker.ok())
			{
				log_event(event::row_unreadable, {{"worker", row.name.key}, {"reason", worker.status().ToString()}});
				continue;
			}
			agent_of_worker_[incarnation_of(*worker)] = {row.name.key, worker->address};
			restore_unconfirmed_lease(*worker, now);
		}
	}

	void job_term::apply_agents(const std::vector<stored_row>& rows)
	{
		for (const auto& row : rows)
		{
			if (row.removed)
				continue;
			const auto agent = decode_agent(row.value);
			const auto agent_endpoint =
				agent.ok() ? parse_remote_endpoint(agent->address) : absl::StatusOr<endpoint>{agent.status()};
			if (!agent_endpoint.ok())
			{
				log_event(event::row_unreadable,
						  {{"agent", row.name.key}, {"reason", agent_endpoint.status().ToString()}});
				continue;
			}
			auto& peer = peers_[row.name.key];
			if (peer)
			{
				peer->set_data_centre(data_centre_id{agent->data_centre});
				peer->set_address(*agent_endpoint);
				continue;
			}
			wire::job_claim claim;
			claim.epoch = owned_.row.epoch;
			claim.member = owned_.row.member;
			claim.run_lease_ms = run_lease_times_.lease.count();
			peer = std::make_shared<agent_peer>(
				io_, row.name.key, *agent_endpoint, std::move(claim),
				[weak = weak_from_this()]
				{
					const auto self = weak.lock();
					return self && self->may_order(boottime_now());
				},
				[weak = weak_from_this()](agent_peer& from, wire::job_report&& report)
				{
					if (const auto self = weak.lock(); self && !self->over_)
						self->on_report(from, std::move(report));
				});
			peer->set_data_centre(data_centre_id{agent->data_centre});
			peer->start();
		}
	}

	asio::awaitable<void> job_term::reread_submissions()
	{
		auto ranges = all_submissions();
		const auto asked_at = boottime_now();
		const auto page = co_await read_all(io_, store_, std::move(ranges), asked_at + read_timeout);
		if (!page.ok() || over_)
			co_return;
		apply_submissions(page->rows);
		submissions_known_at_ = asked_at;
		submissions_version_ = page->version;
	}

	asio::awaitable<void> job_term::reread_agents()
	{
		auto range = whole_table(agents_table, agent_partition);
		const auto page = co_await read_all(store_, std::move(range), boottime_now() + read_timeout);
		if (!page.ok() || over_)
			co_return;
		apply_agents(page->rows);
		agents_version_ = page->version;
	}

	asio::awaitable<void> job_term::follow_submissions()
	{
		while (!over_)
		{
			const auto asked_at = boottime_now();
			const auto page = co_await store_.poll_changes(submissions_table, submissions_version_, feed_wait,
														   asked_at + feed_wait + feed_grace);
			if (over_)
				co_return;
			if (page.ok())
			{
				submissions_known_at_ = asked_at;
				if (!page->rows.empty())
					apply_submissions(page->rows);
				submissions_version_ = std::max(submissions_version_, page->version);
				continue;
			}
			if (absl::IsOutOfRange(page.status()))
				co_await reread_submissions();
			co_await pause_for(io_, retry_backoff);
		}
	}

	asio::awaitable<void> job_term::follow_agents()
	{
		while (!over_)
		{
			const auto page = co_await store_.poll_changes(agents_table, agents_version_, agents_wait,
														   boottime_now() + agents_wait + feed_grace);
			if (over_)
				co_return;
			if (page.ok())
			{
				apply_agents(page->rows);
				agents_version_ = std::max(agents_version_, page->version);
				continue;
			}
			// The failed feed may have missed changes, and may go on failing while reads are answered.
			co_await reread_agents();
			co_await pause_for(io_, retry_backoff);
		}
	}
}
