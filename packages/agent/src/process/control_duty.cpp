// SPDX-License-Identifier: MIT
#include "control_duty.hpp"

#include <trailjunction/core/event.hpp>
#include <trailjunction/net/coroutines.hpp>
#include <trailjunction/net/listener.hpp>

#include <absl/strings/str_cat.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace trailjunction
{
	namespace asio = boost::asio;

	namespace
	{
		constexpr std::size_t ring_capacity = 64;
		constexpr std::size_t max_samples = 4;
		constexpr double throttled_cpu_share = 0.25;

		wire::amounts to_wire(const resources& amounts)
		{
			wire::amounts out;
			out.cpu_milli = amounts.cpu_milli;
			out.memory_mib = amounts.memory_mib;
			out.accelerators = amounts.accelerators;
			return out;
		}

		resources from_wire(const wire::amounts& amounts)
		{
			return {amounts.cpu_milli, amounts.memory_mib, amounts.accelerators};
		}

		wire::run_state to_wire(const agent_run& run)
		{
			switch (run.state)
			{
			case agent_run_state::starting:
				return wire::run_state::starting;
			case agent_run_state::running:
				return wire::run_state::running;
			case agent_run_state::paused:
				return wire::run_state::paused;
			case agent_run_state::stopping:
				return wire::run_state::stopping;
			case agent_run_state::ended:
				break;
			}
			switch (run.end_status)
			{
			case run_end::finished:
				return wire::run_state::finished;
			case run_end::failed:
				return wire::run_state::failed;
			case run_end::evicted:
				return wire::run_state::evicted;
			case run_end::refused:
				return wire::run_state::refused;
			case run_end::stopped:
			case run_end::lost:
				break;
			}
			return wire::run_state::stopped;
		}

		run_grant grant_of(const wire::confirmed_run& run, const wire::grant& message)
		{
			return {task_id{run.task},
					{static_cast<std::uint64_t>(run.run)},
					{static_cast<std::uint64_t>(run.shard)},
					{static_cast<std::uint64_t>(run.epoch)},
					from_millis(message.stamp_ms),
					{static_cast<std::uint64_t>(message.incarnation)}};
		}

		start_order order_of(const wire::start_run& message)
		{
			return {task_id{message.task},
					{static_cast<std::uint64_t>(message.run)},
					{static_cast<std::uint64_t>(message.shard)},
					{static_cast<std::uint64_t>(message.epoch)},
					from_millis(message.stamp_ms),
					{static_cast<std::uint64_t>(message.incarnation)},
					kind_id{message.kind},
					from_wire(message.claim),
					message.replica,
					checkpoint_id{message.checkpoint},
					message.command,
					message.adopt};
		}
	}

	control_duty::control_duty(asio::io_context& io, const agent_settings& settings, incarnation own_incarnation,
							   process_metrics& metrics, ring<request_rules>& rules)
		: io_{io},
		  settings_{settings},
		  metrics_{metrics},
		  rules_{rules},
		  summaries_{io.get_executor(), ring_capacity,
					 [this](request_summary&& summary)
					 {
						 record_summary(summary);
					 }},
		  acceptor_{io},
		  admin_{io, http_limits{},
				 [this](http_request request)
				 {
					 return answer(std::move(request));
				 }},
		  platform_{io, *settings.platform, settings.worker},
		  runs_gauge_{metrics.gauge("runs", "Runs on the worker")},
		  paused_{metrics.counter("runs_paused", "Runs paused since their lease lapsed")},
		  refused_{metrics.counter("starts_refused", "Starts that were refused or ignored")},
		  bytes_sent_{metrics.counter("control_bytes", "Bytes sent on control links")}
	{
		table_.agent_incarnation = own_incarnation;
		table_.room.capacity = settings.capacity;
	}

	absl::Status control_duty::listen()
	{
		if (auto status = open_listener(acceptor_, *settings_.control); !status.ok())
			return status;
		if (const auto admin = admin_.listen(*settings_.admin); !admin.ok())
			return admin.status();
		asio::co_spawn(io_, accept_links(), asio::detached);
		asio::co_spawn(io_, renew_leases(), asio::detached);
		asio::co_spawn(io_, send_heartbeats(), asio::detached);
		asio::co_spawn(io_, watch_leases(), asio::detached);
		asio::co_spawn(io_, take_checkpoints(), asio::detached);
		return absl::OkStatus();
	}

	std::string control_duty::not_ready() const
	{
		if (stopping_)
			return "stopping";
		return table_.ready ? "" : "waiting for the platform's first list of runs on the worker";
	}

	std::size_t control_duty::active_runs() const noexcept
	{
		return static_cast<std::size_t>(std::count_if(table_.runs.begin(), table_.runs.end(),
													  [](const auto& item)
													  { return item.second.state != agent_run_state::ended; }));
	}

	asio::awaitable<http_response> control_duty::answer(http_request request)
	{
		auto page = answer_health(request, metrics_, [this] { return not_ready(); });
		co_return page ? std::move(*page) : error_response(404, "no such page");
	}

	// ------------------------------------------------------------------ links

	asio::awaitable<void> control_duty::accept_links()
	{
		while (acceptor_.is_open())
		{
			auto [error, socket] = co_await acceptor_.async_accept(as_result);
			if (error)
				continue;
			const auto connection = std::make_shared<link>(std::move(socket), link_limits{});
			const std::weak_ptr<link> weak = connection;
			connection->start(
				[this, weak](wire::envelope&& message) { handle_message(weak.lock(), std::move(message)); },
				[this, weak](const std::string& reason)
				{
					log_event(event::link_closed, {{"reason", reason}});
					std::erase_if(peers_, [&](const peer& candidate)
								  { return candidate.connection == weak.lock() || !candidate.connection->is_open(); });
				});
			peers_.push_back({connection, ""});
			wire::envelope greeting;
			greeting.__isset.hi = true;
			greeting.hi.version = wire_version;
			greeting.hi.process = settings_.worker.str();
			greeting.hi.incarnation = static_cast<std::int64_t>(table_.agent_incarnation.value);
			(void)connection->send(greeting);
			// Sent at once, so that a newly connected entry routes requests and confirms runs sooner.
			send_heartbeat(peers_.back());
		}
	}

	void control_duty::handle_message(const std::shared_ptr<link>& from, wire::envelope&& message)
	{
		if (message.__isset.hi)
		{
			for (auto& candidate : peers_)
				if (candidate.connection == from)
					candidate.process = message.hi.process;
		}
		else if (message.__isset.start)
		{
			handle_start(message.start);
		}
		else if (message.__isset.order)
		{
			handle_order(message.order);
		}
		else if (message.__isset.lease)
		{
			handle_grant(from, message.lease);
		}
		else if (message.__isset.conf)
		{
			handle_config(message.conf);
		}
	}

	std::string control_duty::process_of(const std::shared_ptr<link>& connection) const
	{
		const auto found =
			std::find_if(peers_.begin(), peers_.end(),
						 [&connection](const peer& candidate) { return candidate.connection == connection; });
		return found == peers_.end() ? "" : found->process;
	}

	bool control_duty::reports_to(const peer& to, shard_id shard, instant now) const
	{
		const auto found = owners_.find(shard);
		// A peer that has not identified itself yet may be the owner on a new link, and an owner counts a run that is
		// missing from a heartbeat as lost.
		if (found == owners_.end() || to.process.empty() || found->second.process == to.process)
			return true;
		// The owner is silent: its successor must learn of the run.
		return now - found->second.confirmed > 2 * settings_.times.heartbeat;
	}

	wire::heartbeat control_duty::make_heartbeat(const peer& to, instant now)
	{
		wire::heartbeat beat;
		beat.stamp_ms = to_millis(now);
		beat.incarnation = static_cast<std::int64_t>(table_.agent_incarnation.value);
		beat.ready = table_.ready;
		beat.leaving = table_.leaving;
		beat.capacity = to_wire(settings_.capacity);
		beat.claimed = to_wire(claimed(table_));
		beat.used = to_wire(status_.used);
		beat.foreign_use = to_wire(status_.foreign);
		beat.config_version = static_cast<std::int64_t>(config_.version.value);
		beat.data_centre = settings_.data_centre.str();
		beat.rack = settings_.rack.str();
		beat.service_name = settings_.service.str();
		for (const auto& [task, run] : table_.runs)
		{
			if (!reports_to(to, run.shard, now))
				continue;
			wire::run_report report;
			report.task = task.str();
			report.run = static_cast<std::int64_t>(run.run.value);
			report.shard = static_cast<std::int32_t>(run.shard.value);
			report.state = to_wire(run);
			report.checkpoint = run.checkpoint.str();
			report.reason = run.reason;
			report.throttled = run.throttled;
			beat.runs.push_back(std::move(report));
		}
		beat.kinds = count_kinds();
		for (const auto& recorded : samples_)
		{
			wire::service_sample sample;
			sample.service_name = settings_.service.str();
			const auto middle = recorded.summary.from + (recorded.summary.to - recorded.summary.from) / 2;
			sample.age_ms = std::chrono::duration_cast<millis>(now - middle).count();
			sample.count = recorded.summary.count;
			sample.p50_us = recorded.summary.p50_us;
			sample.p99_us = recorded.summary.p99_us;
			sample.beside = recorded.co_located_kinds;
			beat.samples.push_back(std::move(sample));
		}
		return beat;
	}

	std::vector<wire::kind_amount> control_duty::count_kinds() const
	{
		std::vector<wire::kind_amount> kinds;
		for (const auto& [task, run] : table_.runs)
		{
			if (run.state == agent_run_state::ended || run.throttled)
				continue;
			const auto& kind = run.kind.str();
			const auto found = std::find_if(kinds.begin(), kinds.end(),
											[&kind](const auto& candidate) { return candidate.kind == kind; });
			if (found != kinds.end())
			{
				++found->count;
				continue;
			}
			wire::kind_amount amount;
			amount.kind = kind;
			amount.count = 1;
			amount.replica = run.replica;
			kinds.push_back(std::move(amount));
		}
		return kinds;
	}

	void control_duty::send_heartbeat(const peer& to)
	{
		wire::envelope message;
		message.__isset.beat = true;
		message.beat = make_heartbeat(to, boottime_now());
		const auto bytes_before = to.connection->pending_bytes();
		(void)to.connection->send(message);
		bytes_sent_.Increment(static_cast<double>(to.connection->pending_bytes() - bytes_before));
	}

	asio::awaitable<void> control_duty::send_heartbeats()
	{
		while (true)
		{
			co_await pause_for(io_, settings_.times.heartbeat);
			runs_gauge_.Set(static_cast<double>(active_runs()));
			for (const auto& receiver : peers_)
				send_heartbeat(receiver);
			samples_.clear();
			expire_run_numbers(boottime_now());
		}
	}

	// ------------------------------------------------------------------ messages from owners

	void control_duty::handle_start(const wire::start_run& message)
	{
		auto order = order_of(message);
		const auto decision = accept_start(table_, order, settings_.times, boottime_now());
		if (decision.result == start_result::accepted)
		{
			asio::co_spawn(io_, start_run(std::move(order)), asio::detached);
		}
		else if (decision.result != start_result::duplicate)
		{
			refused_.Increment();
			log_event(event::start_refused,
					  {{"task", message.task}, {"run", message.run}, {"reason", decision.reason}});
		}
	}

	void control_duty::handle_order(const wire::order_run& message)
	{
		const shard_id shard{static_cast<std::uint64_t>(message.shard)};
		if (!accept_epoch(table_, shard, {static_cast<std::uint64_t>(message.epoch)}))
			return;
		const task_id task{message.task};
		auto* run = find_run(task, {static_cast<std::uint64_t>(message.run)});
		if (run == nullptr || run->state == agent_run_state::stopping || run->state == agent_run_state::ended)
			return;
		switch (message.what)
		{
		case wire::run_order::evict:
			if (run->state == agent_run_state::starting)
				return; // the owner repeats the order
			run->state = agent_run_state::stopping;
			run->reason = message.reason;
			asio::co_spawn(io_, evict_run(task, run->run), asio::detached);
			break;
		case wire::run_order::stop:
			run->state = agent_run_state::stopping;
			run->reason = message.reason;
			asio::co_spawn(io_, stop_run(task, run->run), asio::detached);
			break;
		case wire::run_order::release:
			asio::co_spawn(io_, release_run(task, run->run), asio::detached);
			break;
		case wire::run_order::throttle:
		case wire::run_order::unthrottle:
			run->throttled = message.what == wire::run_order::throttle;
			if (run->state == agent_run_state::running)
				asio::co_spawn(io_, throttle_run(task, run->run, run->throttled ? throttled_cpu_share : 1.0),
							   asio::detached);
			break;
		}
	}

	void control_duty::handle_grant(const std::shared_ptr<link>& from, const wire::grant& message)
	{
		const auto received_at = boottime_now();
		for (const auto& confirmed : message.runs)
		{
			const auto grant = grant_of(confirmed, message);
			const auto grant_outcome = apply_grant(table_, grant, settings_.times, received_at);
			if (grant_outcome == grant_result::renewed || grant_outcome == grant_result::resumed)
				owners_[grant.shard] = {process_of(from), received_at};
			else if (grant_outcome != grant_result::unknown_run)
				log_event(event::grant_refused,
						  {{"task", confirmed.task}, {"run", confirmed.run}, {"why", static_cast<int>(grant_outcome)}});
			if (grant_outcome != grant_result::resumed)
				continue;
			const auto* run = find_run(grant.task, grant.run);
			asio::co_spawn(io_, throttle_run(grant.task, grant.run, run->throttled ? throttled_cpu_share : 1.0),
						   asio::detached);
		}
		for (const auto& acknowledged_run : message.acknowledged)
			if (const auto grant = grant_of(acknowledged_run, message); accept_acknowledgement(table_, grant))
				forget_run(grant.task, grant.run);
	}

	void control_duty::handle_config(const wire::config& message)
	{
		const config_version version{static_cast<std::uint64_t>(message.version)};
		if (version <= config_.version)
			return;
		auto document = parse_config(message.document, version);
		if (!document.ok())
		{
			log_event(event::config_refused,
					  {{"version", message.version}, {"reason", std::string{document.status().message()}}});
			return;
		}
		config_ = *std::move(document);
		const auto own_config = config_.workers.find(settings_.worker);
		table_.room.reserved = own_config == config_.workers.end() ? resources{} : own_config->second.reserved;
		log_event(event::config_applied, {{"version", message.version}});
		update_leaving();
		push_rules();
	}

	void control_duty::update_leaving()
	{
		const auto own_config = config_.workers.find(settings_.worker);
		const bool drained = own_config != config_.workers.end() && own_config->second.drained;
		const bool leaving = stopping_ || drained || status_.leaving;
		if (leaving == table_.leaving)
			return;
		table_.leaving = leaving;
		log_event(event::worker_leaving, {{"worker", settings_.worker.str()}, {"leaving", leaving}});
		push_rules();
	}

	void control_duty::push_rules()
	{
		// Each slot uses one connection to the upstream.
		const auto slots = std::min(config_.requests.slots, config_.requests.connections);
		(void)rules_.push({slots, config_.requests.queue, table_.leaving});
	}

	void control_duty::begin_shutdown()
	{
		stopping_ = true;
		update_leaving();
	}

	void control_duty::record_summary(const request_summary& summary)
	{
		if (summary.count == 0)
			return;
		past_sample sample{summary, {}};
		for (const auto& [task, run] : table_.runs)
			if (run.state == agent_run_state::running && !run.replica && !run.throttled)
				sample.co_located_kinds.push_back(run.kind.str());
		samples_.push_back(std::move(sample));
		if (samples_.size() > max_samples)
			samples_.pop_front();
	}
}
