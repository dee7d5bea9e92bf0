// SPDX-License-Identifier: MIT
/// \file
/// \brief Part of run_manager that asks the worker for its runs and ends, and compares them with those of before.
#include "run_manager.hpp"

#include <trailjunction/core/event.hpp>
#include <trailjunction/net/coroutines.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace trailjunction
{
	namespace asio = boost::asio;

	namespace
	{
		/// Maximum time for which a worker may delay a listing. A value below half of the report interval brings no
		/// benefit, a longer one would delay the extension of the lease.
		constexpr auto max_listing_wait = millis{400};
		/// Delay between two listings while ends wait to be acknowledged, since the worker then answers at once.
		constexpr auto listing_delay = millis{50};
		/// Relative change of a figure below which it is not reported.
		constexpr double min_figure_change = 0.2;

		/// Whether a long-running task serves; the owner counts those that do not.
		bool is_serving(const listed_run& run) noexcept
		{
			constexpr int full_progress = 100;
			return run.progress_percent >= full_progress;
		}

		/// Whether a listing call neither extends the lease nor acknowledges ends.
		bool only_asks(const listing_order& order) noexcept
		{
			return order.deadline_ms == 0 && order.ends_kept == 0;
		}

		/// \returns 0 if there are no ends.
		std::int64_t lowest_number(const std::vector<listed_end>& ends) noexcept
		{
			const auto lowest = std::min_element(ends.begin(), ends.end(),
												 [](const listed_end& left, const listed_end& right)
												 { return left.number < right.number; });
			return lowest == ends.end() ? 0 : lowest->number;
		}

		bool changed_noticeably(std::int64_t before, std::int64_t now) noexcept
		{
			return std::abs(static_cast<double>(now - before)) > min_figure_change * static_cast<double>(before);
		}
	}

	void run_manager::stop_unconfirmed_runs(instant now)
	{
		// Their lease was granted by the worker for a call to its former incarnation, and may last longer.
		if (!former_lease_end_ || now < *former_lease_end_)
			return;
		for (const auto& [id, run] : runs_)
			begin_stop(id, "not_confirmed");
	}

	listing_order run_manager::next_listing_order() const noexcept
	{
		// After a call without an answer, or a heartbeat that may be its own, the next incarnation may be there. It
		// would take the lease and the acknowledgements for its own, so the call only finds out which incarnation
		// answers. It does not wait, since the clock of the next incarnation may pass that of the former one meanwhile.
		listing_order out;
		if (failed_listings_ > 0 || may_be_next_namesake_)
			return out;
		out.deadline_ms = lease_deadline_ms_;
		if (first_listed_end_ > 0 && first_listed_end_ <= ends_kept_)
			out.ends_kept = ends_kept_;
		// Before the worker has its first lease the listing must not be delayed, since the lease would be delayed too.
		out.max_wait = lease_deadline_ms_ > 0 ? max_listing_wait : millis{0};
		// The connections of an incarnation end with it, so on an open one it is still there. A worker that closes its
		// connections after each answer is called on a new one right after it has stated its start time.
		out.open_connection_only = !only_asks(out) && !(has_just_stated_start_time_ && closes_connections_);
		return out;
	}

	asio::awaitable<void> run_manager::listing_loop()
	{
		while (true)
		{
			if (!worker_)
			{
				co_await pause_for(io_, worker_retry_delay);
				continue;
			}
			const auto port = port_;
			const auto incarnation_id = worker_->incarnation;
			const auto least_clock_ms = least_worker_clock_ms(boottime_now());
			const auto order = next_listing_order();
			const bool asks_for_namesake = std::exchange(may_be_next_namesake_, false);
			const bool follows_statement = has_just_stated_start_time_;
			const auto deadline = boottime_now() + order.max_wait + worker_call_timeout;
			const auto called_with = authority();
			auto result = co_await port->list(called_with, order, deadline);
			if (!is_current(incarnation_id))
				continue;
			if (stated_name_.start_time() && shows_restart(listing_memory_, least_clock_ms, result))
			{
				begin_incarnation_of_same_name();
				continue;
			}
			may_be_next_namesake_ = may_be_next_namesake_ || (asks_for_namesake && result.clock_ms == 0);
			record_result(result, boottime_now());
			has_just_stated_start_time_ = result.outcome == order_outcome::done && only_asks(order);
			if (result.outcome == order_outcome::fenced)
				raise_fencing_token(boottime_now());
			if (result.outcome == order_outcome::unknown)
			{
				++fencing_token_; // the call may be carried out late, by the next incarnation too; it is refused then
				unanswered_acknowledgement_ = std::max(unanswered_acknowledgement_, order.ends_kept);
			}
			if (result.outcome == order_outcome::done)
			{
				fencing_token_step_ = first_fencing_token_step;
				unanswered_acknowledgement_ = 0;
				if (called_with.fencing_token == fencing_token_ && std::exchange(may_be_leased_by_others_, false))
					note_leased_by_others(boottime_now());
				apply_listing(std::move(result.listing), result.clock_ms);
				stop_unconfirmed_runs(boottime_now());
				co_await pause_after_listing(order);
				continue;
			}
			if (order.open_connection_only && result.outcome == order_outcome::not_sent)
			{
				// The incarnation may have ended with its connection: another one must be asked before a late call to
				// the former one reaches it.
				failed_listings_ = std::max(failed_listings_, 1);
				closes_connections_ = closes_connections_ || follows_statement;
				continue;
			}
			// No answer may mean that the worker is overloaded or unreachable; a closed port after its notice means
			// that its process has ended.
			if (result.outcome == order_outcome::no_listener && announced_exit_ && !worker_exited_)
				record_worker_exit();
			if (++failed_listings_ == max_failed_listings)
			{
				log_event(event::worker_silent,
						  {{"worker", incarnation_id.str()}, {"how", static_cast<int>(result.outcome)}});
				request_report_();
			}
			co_await pause_for(io_, worker_retry_delay);
		}
	}

	asio::awaitable<void> run_manager::pause_after_listing(const listing_order& order)
	{
		if (order.open_connection_only)
			closes_connections_ = false;
		if (closes_connections_)
		{
			// After a pause the next incarnation may be there.
			if (has_just_stated_start_time_ && !only_asks(next_listing_order()))
				co_return;
			has_just_stated_start_time_ = false;
		}
		if (!ends_.empty() || order.max_wait == millis{0})
			co_await pause_for(io_, listing_delay);
	}

	void run_manager::apply_listing(worker_listing listing, std::int64_t clock_ms)
	{
		if (failed_listings_ >= max_failed_listings)
			request_report_();
		failed_listings_ = 0;
		// While the list of ends is full, the absence of a run proves nothing: its end may be listed later.
		if (listing.ended.size() < max_listed_ends)
		{
			++listing_count_;
			listing_clock_ms_ = clock_ms;
		}
		record_listing(listing_memory_, listing);
		note_unlisted_runs(listing);
		absl::flat_hash_map<task_run, tracked_run> listed_runs;
		for (auto& run : listing.running)
		{
			const auto before = runs_.find(run.run_id);
			tracked_run tracked{std::move(run)};
			if (before != runs_.end())
			{
				tracked.reported_figure = before->second.reported_figure;
				tracked.overrun = before->second.overrun;
				tracked.changed_since_report = before->second.changed_since_report ||
											   before->second.listed.checkpoint != tracked.listed.checkpoint ||
											   is_serving(before->second.listed) != is_serving(tracked.listed);
			}
			record_confirmed(ages_, tracked.listed.run_id, boottime_now());
			tracked.changed_since_report =
				tracked.changed_since_report || changed_noticeably(tracked.reported_figure, tracked.listed.measurement);
			listed_runs.emplace(tracked.listed.run_id, std::move(tracked));
		}
		runs_ = std::move(listed_runs);
		absl::erase_if(ages_,
					   [this](const auto& age)
					   {
						   const auto& id = age.first;
						   return !runs_.contains(id) && !pending_starts_.contains(id) &&
								  !confirmed_unlisted_.contains(id);
					   });
		log_overlapping_runs();
		absl::erase_if(paces_, [this](const auto& pace) { return !runs_.contains(pace.first); });
		first_listed_end_ = lowest_number(listing.ended);
		ends_.clear();
		for (auto& end : listing.ended)
			if (end.number > ends_kept_)
				ends_.push_back(std::move(end));
		if ((!ends_.empty() && ends_.back().number > ends_reported_) || !has_listing_)
			request_report_();
		has_listing_ = true;
		if (!pacing_in_progress_)
			asio::co_spawn(io_, pace_fillers(), asio::detached);
	}

	std::vector<task_run> run_manager::take_overdue_confirmations(const worker_listing& listing)
	{
		for (const auto& run : listing.running)
			confirmed_unlisted_.erase(run.run_id);
		for (const auto& end : listing.ended)
			confirmed_unlisted_.erase(end.run_id);
		std::vector<task_run> out;
		// A listing in flight at the confirmation may have been made before it; the next one was made after it.
		absl::erase_if(confirmed_unlisted_,
					   [&](const auto& run)
					   {
						   const bool overdue = listing_count_ >= run.second + 2;
						   if (overdue)
							   out.push_back(run.first);
						   return overdue;
					   });
		return out;
	}

	void run_manager::note_unlisted_runs(const worker_listing& listing)
	{
		auto had = take_overdue_confirmations(listing);
		for (const auto& [id, run] : runs_)
			if (!pending_starts_.contains(id)) // the answer to the start tells what has become of it
				had.push_back(id);
		for (const auto& id : find_unlisted_runs(disappeared_, had, listing))
		{
			log_event(event::run_unlisted,
					  {{"task", to_string(id.task)}, {"run", id.run}, {"worker", worker_->incarnation.str()}});
			attributes_.erase(id);
			unreported_unlisted_runs_.push_back(id);
			request_report_();
		}
	}

	void run_manager::log_overlapping_runs()
	{
		absl::flat_hash_map<task_key, std::uint32_t> first_runs;
		for (const auto& [id, run] : runs_)
			if (const auto [other, is_first] = first_runs.emplace(id.task, id.run); !is_first)
				log_event(event::runs_overlap, {{"task", to_string(id.task)},
												{"run", id.run},
												{"beside", other->second},
												{"worker", worker_->incarnation.str()}});
	}
}
