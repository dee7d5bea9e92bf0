// SPDX-License-Identifier: MIT
#include "run_manager.hpp"

#include <trailjunction/core/event.hpp>
#include <trailjunction/net/coroutines.hpp>
#include <trailjunction/wire/job_messages.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace trailjunction
{
	namespace asio = boost::asio;

	namespace
	{
		/// How far the clock in a heartbeat may be ahead of the estimate of the worker's clock.
		constexpr auto clock_tolerance = millis{100};
		/// Rounding error of two readings of the worker's clock.
		constexpr auto max_clock_reading_error = millis{10};

		/// A fencing token for an incarnation that is first seen at \p now. It is above those of earlier processes of
		/// this agent unless the instance's clock was set back. The worker's clock cannot serve, since it starts anew
		/// with each incarnation.
		std::int64_t fencing_token_at(std::chrono::system_clock::time_point now) noexcept
		{
			return std::chrono::floor<millis>(now).time_since_epoch().count();
		}
	}

	run_manager::run_manager(asio::io_context& io, port_factory make_port, millis longest_lease, pacing_policy pacing,
							 std::function<void()> request_report)
		: io_{io},
		  make_port_{std::move(make_port)},
		  longest_lease_{longest_lease},
		  pacing_{pacing},
		  request_report_{std::move(request_report)}
	{
		asio::co_spawn(io_, listing_loop(), asio::detached);
	}

	void run_manager::on_heartbeat(worker_heartbeat heartbeat)
	{
		if (!worker_)
		{
			begin_incarnation(heartbeat, heartbeat.incarnation);
			return;
		}
		heartbeat.incarnation = reported_name(heartbeat.incarnation);
		if (worker_->incarnation != heartbeat.incarnation)
		{
			// A heartbeat of a former incarnation may arrive after those of the next one, also under the same id.
			if (probed_incarnations_.insert(heartbeat.incarnation).second)
				asio::co_spawn(io_, probe_incarnation(std::move(heartbeat)), asio::detached);
			return;
		}
		const bool is_out_of_order = heartbeat.sequence < worker_->sequence;
		if (is_out_of_order || is_of_former_namesake(heartbeat, boottime_now()))
		{
			// A later heartbeat has arrived before, or this one is of another incarnation.
			may_be_next_namesake_ = may_be_next_namesake_ || is_out_of_order;
			log_event(event::heartbeat_ignored, {{"worker", heartbeat.incarnation.str()},
												 {"current", worker_->incarnation.str()},
												 {"sequence", heartbeat.sequence},
												 {"latest_sequence", worker_->sequence},
												 {"worker_clock_ms", heartbeat.clock_ms},
												 {"latest_clock_ms", worker_clock_ms_}});
			return;
		}
		heartbeat_at_ = boottime_now();
		const bool room_changed = heartbeat.capacity != worker_->capacity;
		if (room_changed)
			log_event(event::room_changed, {{"worker", heartbeat.incarnation.str()},
											{"cpu_milli", heartbeat.capacity.cpu_milli},
											{"cpu_milli_before", worker_->capacity.cpu_milli},
											{"memory_mib", heartbeat.capacity.memory_mib},
											{"memory_mib_before", worker_->capacity.memory_mib}});
		const bool draining_changed = heartbeat.draining != worker_->draining;
		if (draining_changed)
			log_event(event::worker_leaving,
					  {{"worker", heartbeat.incarnation.str()}, {"draining", heartbeat.draining ? 1 : 0}});
		worker_ = std::move(heartbeat);
		// A former incarnation may have sent the notice.
		announced_exit_ = announced_exit_ && worker_->draining;
		if (draining_changed || room_changed)
			request_report_();
	}

	asio::awaitable<void> run_manager::probe_incarnation(worker_heartbeat heartbeat)
	{
		const auto current = worker_->incarnation;
		const std::shared_ptr<worker_port> port =
			heartbeat.address == worker_->address ? port_ : make_port_(heartbeat.address);
		// The token is that of the current incarnation, which may be the one that answers.
		const bool same_id = heartbeat.incarnation.id() == current.id();
		const auto token_of_new_id = std::max(fencing_token_, fencing_token_at(std::chrono::system_clock::now()));
		const order_authority authority{heartbeat.incarnation, same_id ? fencing_token_ : token_of_new_id};
		const listing_order plain_listing;
		const auto result = co_await port->list(authority, plain_listing, boottime_now() + worker_call_timeout);
		probed_incarnations_.erase(heartbeat.incarnation);
		if (!is_current(current))
			co_return; // the answer may be older than the present incarnation
		// A worker answers calls to its current id only, and a listing states its start time. If the probe gets no
		// answer, the next heartbeat causes another one.
		const bool is_proof =
			result.outcome == order_outcome::done || (result.outcome == order_outcome::fenced && !same_id);
		if (result.outcome == order_outcome::fenced && same_id)
			raise_fencing_token(boottime_now());
		if (is_proof)
		{
			name_repetitions_ = 0;
			begin_incarnation(heartbeat, heartbeat.incarnation);
		}
		else
			log_event(event::heartbeat_ignored, {{"worker", heartbeat.incarnation.str()},
												 {"current", worker_->incarnation.str()},
												 {"how", static_cast<int>(result.outcome)}});
	}

	void run_manager::record_lost_incarnation()
	{
		if (!worker_exited_)
			lost_incarnation_.reset();
		if (worker_ && worker_clock_ms_ > 0 && !worker_exited_)
			lost_incarnation_ = lost_incarnation{worker_->incarnation, clock_read_at_, ages_at(ages_, clock_read_at_)};
		lost_report_due_ = lost_incarnation_.has_value();
		ages_.clear();
	}

	bool run_manager::is_of_former_namesake(const worker_heartbeat& heartbeat, instant now) const noexcept
	{
		return name_repetitions_ > 0 && heartbeat.clock_ms > worker_now_ms(now) + clock_tolerance.count();
	}

	worker_incarnation run_manager::reported_name(const worker_incarnation& stated_name) const
	{
		return worker_ && stated_name == stated_name_ ? worker_->incarnation : stated_name;
	}

	void run_manager::begin_incarnation_of_same_name()
	{
		auto heartbeat = *worker_;
		heartbeat.incarnation = with_repeated_start_time(stated_name_, ++name_repetitions_);
		heartbeat.sequence = 0;
		heartbeat.clock_ms = 0;
		const auto heard_at = heartbeat_at_;
		begin_incarnation(heartbeat, worker_incarnation{stated_name_});
		heartbeat_at_ = heard_at; // none of this incarnation has arrived yet
	}

	void run_manager::begin_incarnation(const worker_heartbeat& heartbeat, const worker_incarnation& stated_name)
	{
		record_lost_incarnation();
		// Without a lease here, the runs of the next incarnation may have been started by an earlier process.
		if (lease_deadline_ms_ > 0)
			former_lease_end_ = lease_end_time();
		// An incarnation that was never listed may have had another id than the worker.
		may_be_leased_by_others_ = !has_listing_ || worker_->incarnation.id() == heartbeat.incarnation.id();
		leased_by_others_at_.reset();
		announced_exit_ = false;
		worker_exited_ = false;
		log_event(event::worker_seen, {{"worker", heartbeat.incarnation.str()},
									   {"before", worker_ ? worker_->incarnation.str() : ""},
									   {"unanswered_acknowledgement", unanswered_acknowledgement_},
									   {"may_be_leased_by_others", may_be_leased_by_others_ ? 1 : 0}});
		if (!port_ || worker_->address != heartbeat.address)
			port_ = make_port_(heartbeat.address);
		worker_ = heartbeat;
		stated_name_ = stated_name;
		listing_memory_ = {};
		may_be_next_namesake_ = false;
		heartbeat_at_ = boottime_now();
		// Above the tokens of all orders to former incarnations: one that is carried out late is refused as soon as
		// this incarnation has answered one call.
		fencing_token_ = std::max(fencing_token_ + 1, fencing_token_at(std::chrono::system_clock::now()));
		fencing_token_step_ = first_fencing_token_step;
		worker_clock_ms_ = 0;
		lease_deadline_ms_ = 0;
		ends_kept_ = 0;
		ends_reported_ = 0;
		unanswered_acknowledgement_ = 0;
		failed_listings_ = 0;
		first_listed_end_ = 0;
		listing_clock_ms_ = 0;
		has_just_stated_start_time_ = false;
		closes_connections_ = false;
		has_listing_ = false;
		full_report_due_ = true; // the owner compares the listing with the late orders to former incarnations
		runs_.clear();
		attributes_.clear();
		paces_.clear();
		fillers_stopped_ = false;
		pending_starts_.clear();
		confirmed_unlisted_.clear();
		disappeared_ = {};
		pending_stops_.clear();
		ends_.clear();
		unreported_refusals_.clear();
		refusal_history_ = {};
		unreported_starts_.clear();
		unreported_unlisted_runs_.clear();
		request_report_();
	}

	void run_manager::on_worker_leaving(const worker_incarnation& incarnation_id)
	{
		if (!refers_to_current(reported_name(incarnation_id)))
			return;
		log_event(event::worker_gone, {{"worker", worker_->incarnation.str()}});
		worker_->draining = true;
		announced_exit_ = true;
		request_report_();
	}

	void run_manager::record_worker_exit()
	{
		worker_exited_ = true;
		lost_incarnation_ = lost_incarnation{worker_->incarnation, clock_read_at_, ages_at(ages_, clock_read_at_)};
		lost_report_due_ = true;
		runs_.clear();
		request_report_();
	}

	void run_manager::set_lease(millis lease) noexcept
	{
		lease_ = std::min(lease, longest_lease_);
	}

	bool run_manager::may_exit(instant now) const noexcept
	{
		return runs_.empty() || worker_clock_ms_ == 0 || lease_deadline_ms_ - worker_now_ms(now) <= lease_.count() / 2;
	}

	bool run_manager::is_current(const worker_incarnation& incarnation_id) const noexcept
	{
		return worker_ && worker_->incarnation == incarnation_id;
	}

	bool run_manager::refers_to_current(const worker_incarnation& name) const noexcept
	{
		return worker_ && may_refer_to(name, worker_->incarnation);
	}

	bool run_manager::has_ended(const task_run& id) const noexcept
	{
		return std::any_of(ends_.begin(), ends_.end(), [&](const listed_end& end) { return end.run_id == id; });
	}

	order_authority run_manager::authority() const
	{
		return {stated_name_, fencing_token_};
	}

	instant run_manager::adjusted_clock_read_time() const noexcept
	{
		// The worker's clock may have been suspended with this instance. An estimate that is too early ends leases
		// sooner and causes starts to be refused; one that is too late lets runs continue beyond the lease that their
		// owner counts.
		return clock_read_at_ +
			   std::max(std::chrono::nanoseconds{0}, total_suspended_time() - suspended_at_clock_read_);
	}

	std::int64_t run_manager::worker_now_ms(instant now) const noexcept
	{
		return worker_clock_ms_ + std::chrono::duration_cast<millis>(now - adjusted_clock_read_time()).count();
	}

	void run_manager::record_result(const order_result& result, instant answered_at)
	{
		if (result.clock_ms <= worker_clock_ms_)
			return;
		worker_clock_ms_ = result.clock_ms;
		clock_read_at_ = answered_at;
		suspended_at_clock_read_ = total_suspended_time();
	}

	std::int64_t run_manager::least_worker_clock_ms(instant sent_at) const noexcept
	{
		if (worker_clock_ms_ == 0 || !may_be_next_namesake_)
			return worker_clock_ms_;
		const auto elapsed = static_cast<double>(worker_now_ms(sent_at) - worker_clock_ms_);
		const auto least = elapsed * (1.0 - run_lease_times{}.max_clock_slowness) - max_clock_reading_error.count();
		return worker_clock_ms_ + std::max<std::int64_t>(0, static_cast<std::int64_t>(least));
	}

	instant run_manager::lease_end_time() const noexcept
	{
		return adjusted_clock_read_time() + millis{std::max<std::int64_t>(0, lease_deadline_ms_ - worker_clock_ms_)};
	}

	millis run_manager::unconfirmed_lease(instant now) const noexcept
	{
		if (!leased_by_others_at_)
			return millis{0};
		// The worker's clock may have been suspended with this instance.
		const auto suspended = std::max(std::chrono::nanoseconds{0}, total_suspended_time() - suspended_when_leased_);
		const auto end = longest_lease_end(*leased_by_others_at_ + suspended, longest_lease_);
		return std::max(millis{0}, std::chrono::ceil<millis>(end - now));
	}

	void run_manager::note_leased_by_others(instant now) noexcept
	{
		leased_by_others_at_ = now;
		suspended_when_leased_ = total_suspended_time();
	}

	void run_manager::raise_fencing_token(instant now) noexcept
	{
		may_be_leased_by_others_ = true;
		note_leased_by_others(now);
		fencing_token_ += fencing_token_step_.count();
		fencing_token_step_ *= 2;
	}

	void run_manager::confirm(const wire::job_confirm& answer)
	{
		if (!refers_to_current(worker_of(answer)))
			return;
		if (worker_clock_ms_ > 0 && !closing_)
			lease_deadline_ms_ =
				std::max(lease_deadline_ms_, worker_deadline_ms(worker_clock_ms_, adjusted_clock_read_time(),
																from_millis(answer.stamp_ms), lease_));
		former_lease_end_.reset();
		// An owner of an earlier version may confirm numbers of a former incarnation.
		ends_kept_ = std::max(ends_kept_, std::min(answer.ends_kept, ends_reported_));
		for (const auto& end : ends_)
			if (end.number <= ends_kept_)
				attributes_.erase(end.run_id);
	}

	wire::job_report run_manager::report(bool full)
	{
		wire::job_report out;
		out.stamp_ms = to_millis(boottime_now());
		full_report_due_ = full_report_due_ || full;
		if (!worker_ || !has_listing_)
			return out;
		out.full = std::exchange(full_report_due_, false);
		set_worker(out, worker_->incarnation);
		out.service_name = worker_->service.str();
		out.labels = worker_->labels;
		out.capacity.cpu_milli = worker_->capacity.cpu_milli;
		out.capacity.memory_mib = worker_->capacity.memory_mib;
		out.capacity.accelerators = worker_->capacity.accelerators;
		out.draining = worker_->draining || closing_;
		out.remaining_ms = worker_->remaining.count();
		out.pace_percent = mean_pace();
		out.responsive = failed_listings_ < max_failed_listings;
		out.lease_ends = closing_;
		const auto now = boottime_now();
		out.unheard_ms = std::chrono::duration_cast<millis>(now - clock_read_at_).count();
		if (const auto lease = unconfirmed_lease(now); lease > millis{0})
			out.__set_unconfirmed_lease_ms(lease.count());
		if (lost_incarnation_ && (out.full || lost_report_due_))
			out.__set_lost(to_wire(
				lost_worker{
					lost_incarnation_->incarnation, lost_incarnation_->last_response, {}, lost_incarnation_->runs},
				boottime_now()));
		lost_report_due_ = false;
		for (auto& [id, run] : runs_)
		{
			if (!out.full && !run.changed_since_report)
				continue;
			run.changed_since_report = false;
			run.reported_figure = run.listed.measurement;
			out.running.push_back(to_wire(run.listed));
		}
		for (const auto& end : ends_)
			if (out.full || end.number > ends_reported_)
				out.ended.push_back(to_wire(end));
		if (!ends_.empty())
			ends_reported_ = std::max(ends_reported_, ends_.back().number);
		for (const auto& refusal : unreported_refusals_)
			out.refused.push_back(to_wire(refusal));
		unreported_refusals_.clear();
		for (const auto& id : unreported_starts_)
			out.started.push_back(to_wire(id));
		unreported_starts_.clear();
		for (const auto& id : unreported_unlisted_runs_)
			out.unlisted.push_back(to_wire(id));
		unreported_unlisted_runs_.clear();
		return out;
	}
}
