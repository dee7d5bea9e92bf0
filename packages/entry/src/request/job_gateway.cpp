// SPDX-License-Identifier: MIT
#include <trailjunction/core/event.hpp>
#include <trailjunction/entry/job_gateway.hpp>
#include <trailjunction/jobs/job_rows.hpp>
#include <trailjunction/jobs/job_tables.hpp>
#include <trailjunction/net/coroutines.hpp>
#include <trailjunction/store/commit_lookup.hpp>

#include <algorithm>
#include <utility>

namespace trailjunction
{
	namespace asio = boost::asio;

	namespace
	{
		/// Timeout of one call to the store; several times its latency when it is slow.
		constexpr auto attempt_timeout = millis{700};
		/// Timeout of the read before a refusal: several times the usual latency of the store, and a quarter of the
		/// shortest latency target of users, so that a slow store does not delay refusals.
		constexpr auto refusal_probe_timeout = millis{60};
		/// Timeout of a read that only checks whether the store answers.
		constexpr auto probe_timeout = millis{400};
		/// Delay between two tries of a call; each try counts against the call rate of the store.
		constexpr auto retry_delay = millis{60};
		/// How long a call that the store refuses is retried; a client that is refused earlier can retry earlier.
		constexpr auto refusal_retry_window = millis{400};
		/// Reserved before the deadline for sending the response to the client.
		constexpr auto response_reserve = millis{150};
		/// Retry-After for a client that was refused because of the store.
		constexpr auto default_retry_after = millis{1'000};
		/// A transaction without an answer may still be applied seconds later (up to 6 s in the documented examples).
		/// After this time it is visible if it was applied.
		constexpr auto in_doubt_time = millis{15'000};
		/// How long the store keeps a cancelled id without a job. A submission may be in transit for as long as an
		/// instance on its way is suspended. As long as the status of an ended job can be read by default.
		constexpr auto cancelled_id_lifetime = millis{120'000};
		/// Maximum age of queue depths that are reported: 2 s are allowed, less the time of the response.
		constexpr auto max_depths_age = millis{1'800};

		/// An entry is not ready after the store has failed to answer for this time, which is longer than a single
		/// failed call. The load balancer adds the two seconds in which it misses two readiness checks.
		constexpr auto unready_after = millis{300};

		const stored_row* find_row(const std::vector<stored_row>& rows, const std::string& key) noexcept
		{
			const auto found =
				std::find_if(rows.begin(), rows.end(), [&](const stored_row& row) { return row.name.key == key; });
			return found == rows.end() || found->version == 0 ? nullptr : &*found;
		}

		row_range progress_range(const job_id& id)
		{
			return {progress_table, job_partition, id.str(), id.str() + "~", 1};
		}

		row_name submission_row(const job_id& id)
		{
			return {submissions_table, id.str()};
		}

		row_name cancelled_id_row(const job_id& id)
		{
			return {cancelled_ids_table, id.str()};
		}

		const stored_row* find_row(const std::vector<stored_row>& rows, const row_name& name) noexcept
		{
			const auto found =
				std::find_if(rows.begin(), rows.end(),
							 [&](const stored_row& row)
							 { return row.name.table == name.table && row.name.key == name.key && row.version != 0; });
			return found == rows.end() ? nullptr : &*found;
		}

		/// Whether the row of a cancelled id is kept for long enough that another cancellation can rely on it.
		bool lasts(const stored_row& row, std::int64_t store_ms)
		{
			const auto expires_ms = decode_cancelled_id(row.value);
			return expires_ms.ok() && *expires_ms - store_ms >= cancelled_id_lifetime.count() / 2;
		}

		/// The submission row of a job and its cancellation row, which sorts directly after it.
		row_range submission_range(const job_id& id)
		{
			return {submissions_table, submission_partition(id), id.str(), cancellation_key(id) + "~", 0};
		}
	}

	job_gateway::job_gateway(asio::io_context& io, row_store& store, process_metrics& metrics, row_limits limits)
		: io_{io},
		  store_{store},
		  metrics_{metrics},
		  limits_{limits}
	{
	}

	namespace
	{
		const char* outcome_label(job_call_outcome outcome) noexcept
		{
			switch (outcome)
			{
			case job_call_outcome::done:
				return "done";
			case job_call_outcome::absent:
				return "absent";
			case job_call_outcome::refused:
				return "refused";
			case job_call_outcome::invalid:
				return "invalid";
			case job_call_outcome::unknown:
				break;
			}
			return "unknown";
		}
	}

	void job_gateway::count_call(const char* call, job_call_outcome outcome, instant started_at)
	{
		const std::string name = call;
		metrics_.counter("job_" + name, "Calls about jobs by their outcome.", "outcome", outcome_label(outcome))
			.Increment();
		const std::chrono::duration<double> elapsed = boottime_now() - started_at;
		metrics_.histogram("job_" + name + "_latency", "Time of a call about a job.").Observe(elapsed.count());
	}

	void job_gateway::apply(job_configuration configuration)
	{
		if (configuration_ && configuration.version <= configuration_->version)
			return;
		log_event(event::config_applied,
				  {{"version", configuration.version.value}, {"queues", configuration.routes.size()}});
		configuration_ = std::make_shared<const job_configuration>(std::move(configuration));
	}

	void job_gateway::record_depths(queue_depths depths)
	{
		note_forecast(admission_, std::move(depths.room));
		depths_ = std::move(depths);
	}

	void job_gateway::record_store_result(bool answered, instant now)
	{
		record_store_call(store_contact_, answered, now);
		store_suspect_ = !answered;
	}

	bool job_gateway::is_ready(instant now) const noexcept
	{
		return configuration_ != nullptr && !store_contact_lost(store_contact_, unready_after, now);
	}

	std::optional<std::int64_t> job_gateway::waiting(const queue_id& queue, instant now) const
	{
		if (now - depths_.read_at > max_depths_age)
			return std::nullopt;
		const auto found = depths_.waiting.find(queue);
		return found == depths_.waiting.end() ? 0 : found->second;
	}

	asio::awaitable<job_gateway::stored_change> job_gateway::commit_with_retries(row_transaction change, job_id id,
																				 instant deadline)
	{
		const auto started_at = boottime_now();
		bool may_be_done = is_in_doubt(id, started_at);
		stored_change out;
		auto& call_result = out.call;
		// A transaction that a silent store does not answer may still be applied later, so the client could not be told
		// that it was refused. A read has no effect, so it is used to check the store first.
		bool store_answers = true;
		if (store_suspect_ && !may_be_done)
			store_answers = co_await probe_store(id, deadline);
		if (!store_answers)
		{
			call_result.outcome = job_call_outcome::refused;
			call_result.retry_after = default_retry_after;
			call_result.reason = "the store does not answer";
			log_event(event::job_refused, {{"job", id.str()}, {"reason", call_result.reason}});
			co_return out;
		}
		while (true)
		{
			auto result = co_await commit_or_look_up(io_, store_, change, commit_latency_, deadline);
			store_suspect_ = result.outcome == commit_outcome::unknown || result.outcome == commit_outcome::refused;
			call_result.reason = result.reason;
			if (result.outcome == commit_outcome::applied || result.outcome == commit_outcome::conflict)
			{
				// All conditions are that rows are absent, so a conflict means that one of them is stored.
				call_result.outcome = job_call_outcome::done;
				out.applied = result.outcome == commit_outcome::applied;
				if (!out.applied)
					out.conflicts = std::move(result.rows);
				co_return out;
			}
			if (result.outcome == commit_outcome::rejected && !may_be_done)
			{
				call_result = reject_invalid(id, result.reason);
				co_return out;
			}
			may_be_done = may_be_done || result.outcome == commit_outcome::unknown;
			const auto now = boottime_now();
			const bool out_of_time = now + retry_delay >= deadline;
			if (out_of_time || (!may_be_done && now - started_at > refusal_retry_window))
				break;
			co_await pause_for(io_, retry_delay);
		}
		call_result.outcome = may_be_done ? job_call_outcome::unknown : job_call_outcome::refused;
		call_result.retry_after = default_retry_after;
		if (may_be_done)
			mark_in_doubt(id, boottime_now());
		log_event(may_be_done ? event::job_unknown : event::job_refused,
				  {{"job", id.str()}, {"reason", call_result.reason}});
		co_return out;
	}

	asio::awaitable<bool> job_gateway::probe_store(job_id id, instant deadline)
	{
		auto range = submission_range(id);
		const auto page = co_await store_.read(std::move(range), std::min(deadline, boottime_now() + probe_timeout));
		co_return page.ok();
	}

	bool job_gateway::is_in_doubt(const job_id& id, instant now) const
	{
		const auto found = in_doubt_.find(id);
		return found != in_doubt_.end() && now - found->second < in_doubt_time;
	}

	void job_gateway::mark_in_doubt(const job_id& id, instant now)
	{
		absl::erase_if(in_doubt_, [&](const auto& item) { return now - item.second >= in_doubt_time; });
		in_doubt_[id] = now;
	}

	asio::awaitable<bool> job_gateway::is_stored(job_id id, instant deadline)
	{
		const auto until = std::min(deadline, boottime_now() + refusal_probe_timeout);
		const auto page = co_await store_.read(submission_range(id), until);
		co_return page.ok() && find_row(page->rows, id.str()) != nullptr;
	}

	asio::awaitable<std::optional<job_call_result>>
	job_gateway::check_admission(const queue_policy& queue, const job_id& id, const job_spec& spec, instant deadline)
	{
		const auto now = boottime_now();
		const auto decision = decide_admission(admission_, queue, id, spec, now);
		metrics_
			.counter("job_admissions", "Decisions about new jobs by their reason.", "reason",
					 std::string{to_string(decision.reason)})
			.Increment();
		if (!decision.accepted && is_in_doubt(id, now))
			co_return std::nullopt; // an earlier call may have written the row, which decides
		note_decision(admission_, queue, id, decision, now);
		if (decision.accepted)
			co_return std::nullopt;
		// The client may resend a job that another entry has accepted; only the row shows that.
		const bool stored = co_await is_stored(id, deadline);
		if (stored)
			co_return std::nullopt;
		const std::chrono::duration<double> age = now - *admission_.forecast.made_at;
		metrics_.histogram("job_refusal_forecast_age", "Age of the forecast by which a job was refused.")
			.Observe(age.count());
		log_event(
			event::job_turned_away,
			{{"job", id.str()},
			 {"queue", queue.queue.str()},
			 {"expected_wait_ms", decision.expected_wait.count()},
			 {"retry_after_ms", decision.retry_after.count()},
			 {"forecast_age_ms", std::chrono::duration_cast<millis>(now - *admission_.forecast.made_at).count()}});
		co_return job_call_result{job_call_outcome::refused, decision.retry_after, "there is no room in time"};
	}

	job_call_result job_gateway::reject_invalid(const job_id& id, std::string reason)
	{
		log_event(event::row_rejected, {{"job", id.str()}, {"reason", reason}, {"left_out", "the call"}});
		job_call_result out;
		out.outcome = job_call_outcome::invalid;
		out.reason = std::move(reason);
		return out;
	}

	job_call_result job_gateway::refuse_cancelled(const job_id& id)
	{
		job_call_result out;
		out.outcome = job_call_outcome::refused;
		out.retry_after = cancelled_id_lifetime;
		out.reason = "the job was cancelled before it was stored";
		log_event(event::job_refused, {{"job", id.str()}, {"reason", out.reason}});
		return out;
	}

	asio::awaitable<job_call_result> job_gateway::submit(queue_policy queue, job_id id, job_spec spec, instant deadline)
	{
		const auto started_at = boottime_now();
		row_transaction change;
		change.partition = submission_partition(id);
		change.conditions.push_back({submission_row(id), 0});
		change.conditions.push_back({cancelled_id_row(id), 0});
		change.put.push_back({submission_row(id), encode_submission(queue, spec)});
		// An earlier call with this id may have stored a job.
		if (const auto status = check_limits(change, limits_); !status.ok() && !is_in_doubt(id, started_at))
		{
			count_call("submit", job_call_outcome::invalid, started_at);
			co_return reject_invalid(id, std::string{status.message()});
		}
		auto refused = co_await check_admission(queue, id, spec, deadline - response_reserve);
		if (refused)
		{
			count_call("submit", refused->outcome, started_at);
			co_return *std::move(refused);
		}
		auto result = co_await commit_with_retries(std::move(change), id, deadline - response_reserve);
		if (find_row(result.conflicts, submission_row(id)) == nullptr &&
			find_row(result.conflicts, cancelled_id_row(id)) != nullptr)
			result.call = refuse_cancelled(id);
		count_call("submit", result.call.outcome, started_at);
		if (result.call.outcome == job_call_outcome::done)
			log_event(event::job_accepted, {{"job", id.str()}, {"queue", queue.queue.str()}});
		co_return result.call;
	}

	asio::awaitable<job_status_result> job_gateway::status(job_id id, instant deadline)
	{
		const auto until = deadline - response_reserve;
		job_status_result call_result;
		while (true)
		{
			const auto progress =
				co_await store_.read(progress_range(id), std::min(until, boottime_now() + attempt_timeout));
			absl::StatusOr<row_page> submission = row_page{};
			const auto* row = progress.ok() ? find_row(progress->rows, id.str()) : nullptr;
			const auto progress_status =
				row != nullptr ? decode_status(row->value) : absl::StatusOr<job_status>{job_status::queued};
			if (row != nullptr && progress_status.ok() && has_ended(*progress_status))
			{
				call_result = {job_call_outcome::done, *progress_status, progress->store_clock_ms};
				co_return call_result;
			}
			if (progress.ok())
				submission =
					co_await store_.read(submission_range(id), std::min(until, boottime_now() + attempt_timeout));
			if (progress.ok() && submission.ok() && progress_status.ok())
			{
				call_result.outcome =
					find_row(submission->rows, id.str()) != nullptr ? job_call_outcome::done : job_call_outcome::absent;
				call_result.status = *progress_status;
				call_result.store_clock_ms = submission->store_clock_ms;
				if (find_row(submission->rows, cancellation_key(id)) != nullptr)
					call_result.status = job_status::cancelled;
				co_return call_result;
			}
			if (!progress_status.ok())
				log_event(event::row_unreadable, {{"job", id.str()}, {"reason", progress_status.status().ToString()}});
			if (boottime_now() + retry_delay >= until)
				co_return call_result;
			co_await pause_for(io_, retry_delay);
		}
	}

	asio::awaitable<job_call_result> job_gateway::cancel(job_id id, instant deadline)
	{
		const auto started_at = boottime_now();
		const auto until = deadline - response_reserve;
		while (true)
		{
			const auto current = co_await status(id, deadline);
			std::optional<job_call_result> call_result =
				job_call_result{current.outcome, default_retry_after, "the job's state could not be read"};
			if (current.outcome == job_call_outcome::absent)
				call_result = co_await cancel_absent(id, current.store_clock_ms, until);
			else if (current.outcome == job_call_outcome::done && !has_ended(current.status))
				call_result = co_await cancel_stored(id, until);
			if (!call_result)
				continue; // the job has been stored since its state was read
			count_call("cancel", call_result->outcome, started_at);
			co_return *std::move(call_result);
		}
	}

	asio::awaitable<job_call_result> job_gateway::cancel_stored(job_id id, instant deadline)
	{
		row_transaction change;
		change.partition = submission_partition(id);
		change.conditions.push_back({{submissions_table, cancellation_key(id)}, 0});
		change.put.push_back({{submissions_table, cancellation_key(id)}, ""});
		auto result = co_await commit_with_retries(std::move(change), id, deadline);
		if (result.call.outcome == job_call_outcome::done)
			log_event(event::job_cancelled, {{"job", id.str()}});
		co_return result.call;
	}

	asio::awaitable<std::optional<job_call_result>> job_gateway::cancel_absent(job_id id, std::int64_t store_ms,
																			   instant deadline)
	{
		// An entry may still be sending a submission whose client has left, and the store may apply one that it has not
		// answered. Either fails once this row is stored.
		std::int64_t replaced_version = 0;
		while (true)
		{
			row_transaction change;
			change.partition = submission_partition(id);
			change.conditions.push_back({cancelled_id_row(id), replaced_version});
			change.conditions.push_back({submission_row(id), 0});
			change.put.push_back({cancelled_id_row(id), encode_cancelled_id(store_ms + cancelled_id_lifetime.count())});
			auto result = co_await commit_with_retries(std::move(change), id, deadline);
			if (result.call.outcome != job_call_outcome::done)
				co_return result.call;
			if (find_row(result.conflicts, submission_row(id)) != nullptr)
				co_return std::nullopt;
			const auto* stored = find_row(result.conflicts, cancelled_id_row(id));
			if (result.applied || (stored != nullptr && lasts(*stored, store_ms)))
			{
				log_event(event::job_cancelled, {{"job", id.str()}, {"submitted", 0}});
				result.call.outcome = job_call_outcome::absent;
				co_return result.call;
			}
			// Prolongs an earlier cancellation, or stores one that has just expired again.
			replaced_version = stored == nullptr ? 0 : stored->version;
		}
	}
}
