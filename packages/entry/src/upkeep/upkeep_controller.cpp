// SPDX-License-Identifier: MIT
#include "upkeep_controller.hpp"

#include <trailjunction/core/event.hpp>
#include <trailjunction/jobs/job_tables.hpp>
#include <trailjunction/net/coroutines.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace trailjunction
{
	namespace asio = boost::asio;

	namespace
	{
		/// How often to check whether an instance that was considered gone has returned; it then gets its upkeep.
		constexpr auto returned_check_interval = millis{10'000};
		constexpr const char* waves_table = "upkeep_waves"; ///< Progress by wave, in the partition of the owner.

		/// Waves last tens of seconds. Polling the request rows costs 0.5 calls per second; a change feed would cost 2.
		constexpr auto requests_interval = millis{2'000};
		constexpr auto read_timeout = millis{600};
		constexpr auto commit_timeout = millis{600};
		constexpr auto list_timeout = millis{2'000};
		/// Shorter than the longest lease of an owner, so that no call of an earlier owner is in progress when its
		/// successor makes the first one.
		constexpr auto order_timeout = millis{1'200};
		constexpr auto min_list_interval = millis{500};
		constexpr auto min_order_interval = millis{50};
		constexpr auto retry_delay = millis{1'000};
		constexpr auto save_poll_interval = millis{10};
		/// A controller uses at most 1 / rate_divisor of the call rate that the service accepts from all entries.
		constexpr double rate_divisor = 4.0;
		constexpr double ms_per_s = 1'000.0;
		/// No order is sent for this time after a takeover, so that orders of two owners for one instance cannot be
		/// confused.
		constexpr auto takeover_delay = millis{3'000};

		millis interval_for_rate(double per_s, millis minimum)
		{
			return std::max(minimum, millis{static_cast<std::int64_t>(rate_divisor * ms_per_s / per_s)});
		}

		upkeep_policy make_policy(const upkeep_settings& settings)
		{
			upkeep_policy out;
			out.duration = millis{static_cast<std::int64_t>(settings.lasts_s * ms_per_s)};
			return out;
		}
	}

	upkeep_controller::upkeep_controller(asio::io_context& io, const upkeep_settings& settings,
										 const upkeep_adapter& adapter, row_store& store, const row_limits& limits,
										 process_metrics& metrics, upkeep_authority authority,
										 upkeep_callbacks callbacks)
		: io_{io},
		  adapter_{adapter},
		  store_{store},
		  limits_{limits},
		  authority_{std::move(authority)},
		  callbacks_{std::move(callbacks)},
		  policy_{make_policy(settings)},
		  service_{adapter.make_service(io, *settings.service)},
		  order_interval_{interval_for_rate(settings.calls_per_s, min_order_interval)},
		  list_interval_{interval_for_rate(settings.reads_per_s, min_list_interval)},
		  // If the service does not refuse orders of earlier owners, waits until none of those can still be in transit.
		  orders_allowed_at_{boottime_now() + (settings.fences_checked ? takeover_delay : policy_.max_order_delay)},
		  running_gauge_{metrics.gauge("upkeep_waves_running", "Waves of upkeep that are not completed.")},
		  remaining_gauge_{metrics.gauge("upkeep_instances_left", "Instances of waves whose upkeep has not begun.")},
		  overdue_gauge_{metrics.gauge("upkeep_waves_overdue", "Waves of upkeep that are late.")}
	{
	}

	row_range upkeep_controller::progress_range()
	{
		return {waves_table, job_partition, "", "", 0};
	}

	void upkeep_controller::load_progress(const std::vector<stored_row>& rows)
	{
		const auto now = boottime_now();
		for (const auto& row : rows)
		{
			auto progress = decode_wave_progress(wave_id{row.name.key}, row.value, policy_, now);
			if (!progress.ok())
			{
				log_event(event::row_unreadable, {{"row", row.name.key}, {"reason", progress.status().ToString()}});
				continue;
			}
			progress->requested_at = callbacks_.from_store_ms(progress->requested_ms);
			waves_.push_back(*std::move(progress));
		}
	}

	wave_progress* upkeep_controller::find_wave(const wave_id& id) noexcept
	{
		const auto found =
			std::find_if(waves_.begin(), waves_.end(), [&](const wave_progress& item) { return item.wave.id == id; });
		return found == waves_.end() ? nullptr : &*found;
	}

	void upkeep_controller::mark_changed(const wave_id& wave)
	{
		unsaved_.insert(wave);
		callbacks_.wake_term();
	}

	bool upkeep_controller::has_incomplete_waves() const noexcept
	{
		return std::any_of(waves_.begin(), waves_.end(), [](const wave_progress& item) { return !item.completed; });
	}

	bool upkeep_controller::should_check_for_returned(instant now) const noexcept
	{
		return now - list_.requested_at >= returned_check_interval &&
			   std::any_of(waves_.begin(), waves_.end(),
						   [](const wave_progress& item) { return has_removed_instances(item); });
	}

	asio::awaitable<void> upkeep_controller::read_requests()
	{
		if (boottime_now() - requests_read_at_ < requests_interval)
			co_return;
		requests_read_at_ = boottime_now();
		auto range = adapter_.rows.range;
		const auto page = co_await read_all(store_, std::move(range), boottime_now() + read_timeout);
		if (page.ok())
			apply_requests(page->rows);
	}

	void upkeep_controller::apply_requests(const std::vector<stored_row>& rows)
	{
		absl::flat_hash_set<wave_id> requested;
		for (const auto& row : rows)
			if (const auto id = adapter_.rows.wave_of(row.name))
			{
				requested.insert(*id);
				apply_request(*id, row);
			}
		for (auto& wave : waves_)
			if (!requested.contains(wave.wave.id) && !wave.withdrawn)
				withdraw(wave, "the request row was removed");
		remove_settled();
	}

	void upkeep_controller::apply_request(const wave_id& id, const stored_row& row)
	{
		auto request = adapter_.rows.decode(row);
		if (!request.ok())
		{
			refuse_request(id, row, request.status());
			return;
		}
		auto* tracked = find_wave(id);
		const auto now = boottime_now();
		// Compares and measures in the form in which progress is stored, where an instance that is named twice counts
		// once.
		const auto normalized = begin_wave(*request, 0, now);
		if (const auto status = check_size(normalized); !status.ok())
		{
			refuse_request(id, row, status);
			return;
		}
		if (tracked == nullptr)
		{
			log_event(event::wave_begun, {{"wave", id.str()},
										  {"instances", request->instances.size()},
										  {"most_at_once", request->max_at_once},
										  {"within_ms", request->time_limit.count()}});
			waves_.push_back(begin_wave(*std::move(request), callbacks_.to_store_ms(now), now));
			mark_changed(id);
			return;
		}
		std::vector<instance_id> requested_instances;
		for (const auto& upkeep : normalized.instances)
			requested_instances.push_back(upkeep.instance);
		std::vector<instance_id> tracked_instances;
		for (const auto& upkeep : tracked->instances)
			if (!upkeep.dropped)
				tracked_instances.push_back(upkeep.instance);
		std::sort(requested_instances.begin(), requested_instances.end());
		std::sort(tracked_instances.begin(), tracked_instances.end());
		if (!tracked->withdrawn && requested_instances == tracked_instances &&
			tracked->wave.time_limit == request->time_limit && tracked->wave.max_at_once == request->max_at_once)
			return;
		log_event(event::wave_changed, {{"wave", id.str()}, {"why", "the request row has changed"}});
		change_wave(*tracked, *std::move(request));
		statuses_[id] = {};
		mark_changed(id);
	}

	absl::Status upkeep_controller::check_size(const wave_progress& progress) const
	{
		const auto bytes = max_encoded_size(progress);
		if (bytes <= limits_.value_bytes)
			return absl::OkStatus();
		return absl::ResourceExhaustedError(absl::StrCat("the progress of ", progress.instances.size(),
														 " instances takes up to ", bytes, " bytes, at most ",
														 limits_.value_bytes, " are allowed: use several waves"));
	}

	void upkeep_controller::refuse_request(const wave_id& id, const stored_row& row, const absl::Status& reason)
	{
		auto& status = statuses_[id];
		if (std::exchange(status.logged_refusal_version, row.version) != row.version)
			log_event(event::wave_refused, {{"wave", id.str()}, {"reason", std::string{reason.message()}}});
		if (auto* tracked = find_wave(id); tracked != nullptr && !tracked->withdrawn)
			withdraw(*tracked, "the request row is no longer valid");
	}

	void upkeep_controller::withdraw(wave_progress& progress, std::string_view reason)
	{
		log_event(event::wave_changed, {{"wave", progress.wave.id.str()}, {"why", reason}});
		withdraw_wave(progress, boottime_now());
		mark_changed(progress.wave.id);
	}

	void upkeep_controller::remove_settled()
	{
		for (const auto& wave : waves_)
			if (wave.withdrawn && is_settled(wave))
			{
				statuses_.erase(wave.wave.id);
				mark_changed(wave.wave.id); // removes the progress row, since the wave is erased below
			}
		std::erase_if(waves_, [](const wave_progress& wave) { return wave.withdrawn && is_settled(wave); });
	}

	void upkeep_controller::log_stage_changes(const wave_progress& before, const wave_progress& after)
	{
		for (const auto& upkeep : after.instances)
		{
			const auto previous =
				std::find_if(before.instances.begin(), before.instances.end(),
							 [&](const instance_upkeep& candidate) { return candidate.instance == upkeep.instance; });
			if (previous != before.instances.end() && previous->stage != upkeep.stage)
				log_event(event::upkeep_moved_on, {{"wave", after.wave.id.str()},
												   {"instance", upkeep.instance.str()},
												   {"worker", upkeep.worker.str()},
												   {"stage", to_string(upkeep.stage)}});
		}
	}

	asio::awaitable<bool> upkeep_controller::read_list()
	{
		auto list = co_await service_->list(boottime_now() + list_timeout);
		if (!list.ok())
		{
			if (!std::exchange(list_failed_, true))
				log_event(event::instances_unknown, {{"reason", list.status().ToString()}});
			co_return false;
		}
		list_failed_ = false;
		list_ = *std::move(list);
		for (auto& wave : waves_)
		{
			const auto before = wave;
			if (apply_list(wave, list_, policy_, boottime_now()))
				mark_changed(wave.wave.id);
			if (before.completed && !wave.completed)
				statuses_[wave.wave.id].running_written = statuses_[wave.wave.id].completed_written = false;
			log_stage_changes(before, wave);
			for (const auto& worker : take_gone_workers(wave))
				callbacks_.on_worker_gone(worker);
		}
		co_return true;
	}

	asio::awaitable<void> upkeep_controller::execute_steps()
	{
		while (!callbacks_.is_term_over() && !fenced_ && callbacks_.may_act() && boottime_now() >= orders_allowed_at_)
		{
			const auto now = boottime_now();
			const auto losses = callbacks_.worker_losses();
			const upkeep_context context{losses, list_, callbacks_.tasks_waiting()};
			const auto step = next_step(waves_, context, policy_, now);
			if (!step)
				co_return;
			const auto before = waves_[step->wave];
			apply_step(waves_, *step, context, now);
			mark_changed(waves_[step->wave].wave.id);
			log_stage_changes(before, waves_[step->wave]);
			if (step->kind == upkeep_step::action::drain)
				continue;
			const bool may_continue = co_await send_order(*step);
			if (!may_continue)
				co_return;
		}
	}

	asio::awaitable<bool> upkeep_controller::wait_until_saved(wave_id wave)
	{
		while (!callbacks_.is_term_over() && (unsaved_.contains(wave) || in_commit_.contains(wave)))
			co_await pause_for(io_, save_poll_interval);
		co_return !callbacks_.is_term_over() && callbacks_.may_act();
	}

	asio::awaitable<bool> upkeep_controller::send_order(upkeep_step step)
	{
		const auto wave = waves_[step.wave].wave.id;
		const auto instance = waves_[step.wave].instances[step.instance].instance;
		auto saved_wave = wave;
		const bool may_send = co_await wait_until_saved(std::move(saved_wave));
		if (!may_send)
			co_return false;
		const auto sent = boottime_now();
		log_event(event::upkeep_ordered, {{"wave", wave.str()},
										  {"instance", instance.str()},
										  {"repeated", step.kind == upkeep_step::action::repeat ? 1 : 0}});
		auto authority = authority_;
		auto order_wave = wave;
		auto order_instance = instance;
		const auto answer = co_await service_->begin_upkeep(std::move(authority), std::move(order_wave),
															std::move(order_instance), sent + order_timeout);
		log_event(event::upkeep_answered,
				  {{"wave", wave.str()}, {"instance", instance.str()}, {"answer", to_string(answer)}});
		fenced_ = fenced_ || answer == upkeep_answer::fenced;
		if (auto* progress = find_wave(wave); progress != nullptr)
		{
			const auto before = *progress;
			if (apply_answer(*progress, instance, answer, sent, policy_, boottime_now()))
				mark_changed(wave);
			log_stage_changes(before, *progress);
		}
		co_await pause_for(io_, answer == upkeep_answer::too_many ? retry_delay : order_interval_);
		co_return answer != upkeep_answer::too_many;
	}

	void upkeep_controller::record_completions()
	{
		for (auto& wave : waves_)
			if (!wave.completed && is_completed(wave))
			{
				wave.completed = true;
				const auto elapsed = std::chrono::duration_cast<millis>(boottime_now() - wave.requested_at);
				log_event(event::wave_completed, {{"wave", wave.wave.id.str()}, {"took_ms", elapsed.count()}});
				mark_changed(wave.wave.id);
			}
	}

	asio::awaitable<void> upkeep_controller::write_statuses()
	{
		for (std::size_t i = 0; i < waves_.size(); ++i)
		{
			const auto id = waves_[i].wave.id;
			const bool completed = waves_[i].completed;
			auto& status = statuses_[id];
			const bool written = completed ? status.completed_written : status.running_written;
			// Publishes only stored progress, so that a successor never reverts a status.
			if (waves_[i].withdrawn || written || unsaved_.contains(id) || in_commit_.contains(id) ||
				!callbacks_.may_act())
				continue;
			auto status_wave = id;
			const bool was_written = co_await write_status(std::move(status_wave), completed);
			auto& current_status = statuses_[id];
			(completed ? current_status.completed_written : current_status.running_written) = was_written;
		}
	}

	asio::awaitable<bool> upkeep_controller::write_status(wave_id wave, bool completed)
	{
		const auto name = adapter_.rows.status_row(wave);
		const auto value = adapter_.rows.encode_status(completed);
		row_range range{name.table, adapter_.rows.range.partition, name.key, name.key + '\0', 1};
		const auto page = co_await store_.read(std::move(range), boottime_now() + read_timeout);
		if (!page.ok())
			co_return false;
		if (!page->rows.empty() && page->rows.front().value == value)
			co_return true;
		// Conditional on the version read: a transaction of an earlier owner that is applied late must not overwrite
		// the status of a later owner.
		row_transaction change;
		change.partition = adapter_.rows.range.partition;
		change.conditions.push_back({name, page->rows.empty() ? 0 : page->rows.front().version});
		change.put.push_back({name, value});
		const auto result = co_await store_.commit(std::move(change), boottime_now() + commit_timeout);
		co_return result.outcome == commit_outcome::applied;
	}

	void upkeep_controller::update_metrics(instant now)
	{
		std::size_t running_count = 0;
		std::size_t remaining_count = 0;
		std::size_t overdue_count = 0;
		for (const auto& wave : waves_)
		{
			if (wave.completed || wave.withdrawn)
				continue;
			++running_count;
			remaining_count += instances_left(wave);
			if (!is_overdue(wave, now))
				continue;
			++overdue_count;
			if (!std::exchange(statuses_[wave.wave.id].overdue_logged, true))
				log_event(event::wave_overdue, {{"wave", wave.wave.id.str()}, {"left", instances_left(wave)}});
		}
		running_gauge_.Set(static_cast<double>(running_count));
		remaining_gauge_.Set(static_cast<double>(remaining_count));
		overdue_gauge_.Set(static_cast<double>(overdue_count));
	}

	asio::awaitable<void> upkeep_controller::run_loop()
	{
		while (!callbacks_.is_term_over())
		{
			co_await read_requests();
			if (callbacks_.is_term_over())
				co_return;
			bool listed = false;
			if (has_incomplete_waves() || should_check_for_returned(boottime_now()))
				listed = co_await read_list();
			if (listed)
				co_await execute_steps();
			record_completions();
			co_await write_statuses();
			update_metrics(boottime_now());
			co_await pause_for(io_, list_failed_ ? retry_delay : list_interval_);
		}
	}

	std::size_t upkeep_controller::add_unsaved_rows(row_transaction& change, transaction_space& space,
													std::size_t max_rows)
	{
		in_commit_.clear();
		for (const auto& id : unsaved_)
		{
			if (in_commit_.size() == max_rows)
				break;
			const auto* wave = find_wave(id);
			const bool added =
				wave != nullptr ? add_if_fits(change, space, {{{waves_table, id.str()}, encode_wave_progress(*wave)}})
								: add_if_fits(change, space, {}, {{waves_table, id.str()}});
			if (!added)
				break;
			in_commit_.insert(id);
		}
		for (const auto& id : in_commit_)
			unsaved_.erase(id);
		return in_commit_.size();
	}

	void upkeep_controller::record_not_saved()
	{
		unsaved_.insert(in_commit_.begin(), in_commit_.end());
		in_commit_.clear();
	}

	void upkeep_controller::record_saved()
	{
		in_commit_.clear();
	}

	std::vector<worker_incarnation> upkeep_controller::draining_workers() const
	{
		std::vector<worker_incarnation> out;
		for (const auto& wave : waves_)
			for (const auto& upkeep : wave.instances)
				if (upkeep.stage == upkeep_stage::draining)
					out.push_back(upkeep.worker);
		return out;
	}

	bool upkeep_controller::is_going_down(const worker_incarnation& worker) const noexcept
	{
		for (const auto& wave : waves_)
			for (const auto& upkeep : wave.instances)
				if (upkeep.worker == worker &&
					(upkeep.stage == upkeep_stage::draining || upkeep.stage == upkeep_stage::ordered ||
					 upkeep.stage == upkeep_stage::down))
					return true;
		return false;
	}

	bool upkeep_controller::may_have_gone_down(const worker_incarnation& worker) const noexcept
	{
		for (const auto& wave : waves_)
			for (const auto& upkeep : wave.instances)
				if (upkeep.worker == worker &&
					(upkeep.stage == upkeep_stage::ordered || upkeep.stage == upkeep_stage::down ||
					 upkeep.stage == upkeep_stage::done))
					return true;
		return false;
	}
}
