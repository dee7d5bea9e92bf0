// SPDX-License-Identifier: MIT
#include "worker_directory.hpp"

#include <trailjunction/core/event.hpp>
#include <trailjunction/core/json.hpp>
#include <trailjunction/net/coroutines.hpp>

#include <absl/container/flat_hash_set.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <cmath>

namespace trailjunction
{
	namespace asio = boost::asio;

	namespace
	{
		constexpr auto list_interval = millis{500};
		constexpr auto list_timeout = millis{2'000};
		constexpr auto directory_interval = millis{200};
		constexpr auto settle_time = millis{2'000};
		constexpr std::int64_t min_samples = 5; ///< Minimum number of requests in an interval for a meaningful p99.

		resources from_wire(const wire::amounts& amounts)
		{
			return {amounts.cpu_milli, amounts.memory_mib, amounts.accelerators};
		}

		resources larger(const resources& left, const resources& right)
		{
			return {std::max(left.cpu_milli, right.cpu_milli), std::max(left.memory_mib, right.memory_mib),
					std::max(left.accelerators, right.accelerators)};
		}

	}

	worker_directory::worker_directory(asio::io_context& io, const entry_settings& settings, platform_client& platform,
									   incarnation own_incarnation, ring<directory>& directories)
		: io_{io},
		  settings_{settings},
		  platform_{platform},
		  incarnation_{own_incarnation},
		  directories_{directories}
	{
	}

	void worker_directory::start(heartbeat_handler on_beat)
	{
		on_heartbeat_ = std::move(on_beat);
		asio::co_spawn(io_, follow_list(), asio::detached);
		asio::co_spawn(io_, publish_directory(), asio::detached);
	}

	known_worker* worker_directory::find(const worker_id& worker)
	{
		const auto found = workers_.find(worker);
		return found == workers_.end() ? nullptr : &found->second;
	}

	bool worker_directory::is_leaving(const known_worker& worker) const
	{
		const auto declared = config_.workers.find(worker.place.worker);
		const bool drained = declared != config_.workers.end() && declared->second.drained;
		return worker.leaving_by_list || worker.leaving_by_agent || drained;
	}

	bool worker_directory::has_settled(instant at) const noexcept
	{
		const bool all_heard = std::all_of(workers_.begin(), workers_.end(),
										   [](const auto& item) { return item.second.heartbeat_at != instant{}; });
		return has_list() && (all_heard || at - listed_at_ > settle_time);
	}

	bool worker_directory::send(const worker_id& worker, const wire::envelope& message)
	{
		const auto* entry = find(worker);
		if (entry == nullptr || !entry->connection || !entry->connection->current_link())
			return false;
		return entry->connection->current_link()->send(message) != 0;
	}

	// ------------------------------------------------------------------ the platform's list

	asio::awaitable<void> worker_directory::follow_list()
	{
		while (true)
		{
			const auto list = co_await platform_.instances(boottime_now() + list_timeout);
			if (list.ok())
				apply_list(*list);
			co_await pause_for(io_, list_interval);
		}
	}

	void worker_directory::apply_list(const std::vector<instance>& list)
	{
		if (!has_list())
			listed_at_ = boottime_now();
		absl::flat_hash_set<worker_id> listed;
		for (const auto& listed_instance : list)
		{
			listed.insert(listed_instance.worker);
			auto& entry = workers_[listed_instance.worker];
			const bool moved = entry.connection && entry.place.control != listed_instance.control;
			entry.place = listed_instance;
			entry.listed = true;
			entry.leaving_by_list = listed_instance.leaving;
			if (moved)
			{
				entry.connection->stop();
				entry.connection.reset();
			}
			if (!entry.connection)
				connect(entry);
		}
		// The platform's list may be out of date: a worker that is no longer listed is kept while its heartbeats
		// arrive.
		for (auto item = workers_.begin(); item != workers_.end();)
		{
			auto& entry = item->second;
			entry.listed = listed.contains(item->first);
			const bool silent = boottime_now() - entry.heartbeat_at > 10 * settings_.times.lost_after;
			if (entry.listed || !silent)
			{
				++item;
				continue;
			}
			entry.connection->stop();
			fleet_.remove(item->first);
			workers_.erase(item++);
		}
	}

	void worker_directory::connect(known_worker& worker)
	{
		worker.connection =
			std::make_shared<agent_connection>(io_, worker.place.control, settings_.member, incarnation_);
		const auto name = worker.place.worker;
		worker.connection->start({[this, name](const std::shared_ptr<link>& open)
								  {
									  if (auto* entry = find(name))
										  entry->linked_at = boottime_now();
									  send_config(open, name);
								  },
								  [this, name](const std::shared_ptr<link>& from, wire::envelope&& message)
								  { on_message(name, from, std::move(message)); },
								  [](const std::shared_ptr<link>&) {
								  }});
	}

	// ------------------------------------------------------------------ heartbeats

	void worker_directory::on_message(const worker_id& worker, const std::shared_ptr<link>& from,
									  wire::envelope&& message)
	{
		auto* entry = find(worker);
		if (entry == nullptr || !message.__isset.beat)
			return;
		apply_heartbeat(*entry, message.beat);
		if (entry->config < config_.version)
			send_config(from, worker);
		if (on_heartbeat_)
			on_heartbeat_(*entry, message.beat);
	}

	void worker_directory::apply_heartbeat(known_worker& worker, const wire::heartbeat& beat)
	{
		worker.agent_incarnation = {static_cast<std::uint64_t>(beat.incarnation)};
		worker.stamp_ms = beat.stamp_ms;
		worker.heartbeat_at = boottime_now();
		worker.ready = beat.ready;
		worker.leaving_by_agent = beat.leaving;
		worker.config = {static_cast<std::uint64_t>(beat.config_version)};
		worker.service = service_id{beat.service_name};
		worker_view view;
		view.worker = worker.place.worker;
		view.data_centre = worker.place.data_centre;
		view.rack = worker.place.rack;
		view.service = worker.service;
		view.reachable = worker.ready;
		view.leaving = is_leaving(worker);
		view.quarantined_until = worker.health.quarantined_until;
		view.capacity = from_wire(beat.capacity);
		const auto declared = config_.workers.find(worker.place.worker);
		const auto reserved = declared == config_.workers.end() ? resources{} : declared->second.reserved;
		view.blocked = larger(reserved, from_wire(beat.foreign_use));
		view.claimed = from_wire(beat.claimed);
		view.used = from_wire(beat.used);
		view.failure_score = failure_score(worker.health, health_policy{}, worker.heartbeat_at);
		for (const auto& kind : beat.kinds)
			view.kinds.push_back({kind_id{kind.kind}, kind.count});
		view.headroom = headroom_of(worker.service);
		fleet_.update(std::move(view));
		learn_samples(worker, beat);
	}

	void worker_directory::mark_silent_workers(instant at)
	{
		for (const auto& [name, worker] : workers_)
		{
			const auto* view = fleet_.find(name);
			if (view == nullptr || !view->reachable || at - worker.heartbeat_at <= settings_.times.lost_after)
				continue;
			auto silent = *view;
			silent.reachable = false;
			fleet_.update(std::move(silent));
		}
	}

	/// Closes links that are open but bring no heartbeats, so that they are dialled anew: the peer may be gone without
	/// a close. Half of lost_after is left for the new link, but a single late heartbeat does not close a link. A new
	/// link that brings no heartbeats either ends by its own timeout.
	void worker_directory::reconnect_silent_workers(instant at)
	{
		const auto max_silence = std::max(settings_.times.lost_after / 2, 2 * settings_.times.heartbeat);
		for (const auto& [name, worker] : workers_)
		{
			const bool silent = at - worker.heartbeat_at > max_silence && at - worker.linked_at > max_silence;
			const bool lost = at - worker.heartbeat_at > settings_.times.lost_after;
			if (silent && !lost && worker.connection && worker.connection->current_link())
				worker.connection->current_link()->close("no heartbeat");
		}
	}

	void worker_directory::refresh_view(const known_worker& worker, const resources& unreported)
	{
		const auto* view = fleet_.find(worker.place.worker);
		if (view == nullptr)
			return;
		auto changed = *view;
		changed.claimed += unreported;
		changed.reachable = worker.ready && boottime_now() - worker.heartbeat_at <= settings_.times.lost_after;
		changed.leaving = is_leaving(worker);
		changed.quarantined_until = worker.health.quarantined_until;
		fleet_.update(std::move(changed));
	}

	void worker_directory::learn_samples(known_worker& worker, const wire::heartbeat& beat)
	{
		for (const auto& sample : beat.samples)
		{
			worker.p99_us = sample.p99_us;
			worker.requests = sample.count;
			if (sample.count < min_samples)
				continue;
			std::vector<kind_id> colocated_kinds;
			for (const auto& kind : sample.beside)
				colocated_kinds.emplace_back(kind);
			const service_id service{sample.service_name};
			const auto p99 = static_cast<double>(sample.p99_us);
			learn(learned_interference_, {service, p99, colocated_kinds});
			const auto target = config_.services.find(service);
			if (target == config_.services.end())
				continue;
			const auto target_us = std::chrono::duration<double, std::micro>(target->second.target).count();
			record_latency(worker.harm, p99, target_us, config_.placement);
		}
	}

	// ------------------------------------------------------------------ configuration and the request routing

	void worker_directory::configure(const config_document& document, const std::string& text)
	{
		config_ = document;
		config_value_ = parse_json(text).value_or(boost::json::object{});
		for (const auto& [name, worker] : workers_)
			if (worker.connection && worker.connection->current_link())
				send_config(worker.connection->current_link(), name);
	}

	void worker_directory::send_config(const std::shared_ptr<link>& to, const worker_id& worker)
	{
		wire::envelope message;
		message.__isset.conf = true;
		message.conf.version = static_cast<std::int64_t>(config_.version.value);
		message.conf.document = config_for_agent(config_value_, worker);
		(void)to->send(message);
	}

	double worker_directory::headroom_of(const service_id& service) const
	{
		const auto target = config_.services.find(service);
		const auto baseline = learned_interference_.baselines.find(service);
		if (target == config_.services.end() || baseline == learned_interference_.baselines.end())
			return worker_view{}.headroom;
		return std::log(std::chrono::duration<double, std::micro>(target->second.target).count()) -
			   baseline->second.log_latency;
	}

	double worker_directory::predicted_slowdown_on(const known_worker& worker) const
	{
		const auto* view = fleet_.find(worker.place.worker);
		return view == nullptr ? 0 : std::expm1(slowdown_now(*view, learned_interference_));
	}

	asio::awaitable<void> worker_directory::publish_directory()
	{
		while (true)
		{
			reconnect_silent_workers(boottime_now());
			mark_silent_workers(boottime_now());
			directory published;
			published.version = config_.version;
			published.rules = config_.requests;
			for (const auto& [name, worker] : workers_)
				if (!worker.service.empty())
					published.request_targets.push_back({name, worker.place.data_centre, worker.service,
														 worker.place.requests, is_leaving(worker),
														 predicted_slowdown_on(worker)});
			(void)directories_.push(std::move(published));
			co_await pause_for(io_, directory_interval);
		}
	}
}
