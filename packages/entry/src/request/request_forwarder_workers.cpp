// SPDX-License-Identifier: MIT
/// \file
/// \brief The part of request_forwarder that applies worker updates and maintains the connections to agents.
#include "request_forwarder.hpp"

#include <trailjunction/core/event.hpp>

namespace trailjunction
{
	namespace asio = boost::asio;

	void request_forwarder::apply_directory(directory&& update)
	{
		config_ = update.rules;
		policy_ = to_balance_policy(config_);
		retry_budget_.share = config_.retry_share;
		absl::flat_hash_map<service_id, std::vector<target_view>> new_targets;
		absl::flat_hash_map<worker_id, target_location> locations;
		for (const auto& listed : update.request_targets)
		{
			target_view view;
			view.first_seen_at = boottime_now();
			if (const auto* previous = find_target(listed.worker);
				previous != nullptr && previous->service == listed.service)
				view = services_[previous->service].targets[previous->index];
			view.worker = listed.worker;
			view.data_centre = listed.data_centre;
			view.leaving = listed.leaving;
			view.batch_slowdown = listed.predicted_slowdown;
			auto& targets = new_targets[listed.service];
			locations[listed.worker] = {listed.service, targets.size()};
			targets.push_back(std::move(view));
		}
		for (auto& [service, group] : services_)
			if (!new_targets.contains(service))
				group.targets.clear();
		for (auto& [service, targets] : new_targets)
			services_[service].targets = std::move(targets);
		target_locations_ = std::move(locations);
		for (const auto& listed : update.request_targets)
			connect(listed);
		absl::erase_if(connections_,
					   [&](const auto& item)
					   {
						   const bool removed = !target_locations_.contains(item.first);
						   if (removed)
							   disconnect(*item.second);
						   return removed;
					   });
	}

	void request_forwarder::connect(const request_target& listed)
	{
		auto& connection = connections_[listed.worker];
		if (connection && connection->agent_address() == listed.request_endpoint)
		{
			set_connected(listed.worker, connection->current_link() != nullptr);
			return;
		}
		if (connection)
			disconnect(*connection);
		connection =
			std::make_shared<agent_connection>(io_, listed.request_endpoint, settings_.member, own_incarnation_);
		const auto worker = listed.worker;
		connection->start({[this, worker](const std::shared_ptr<link>&) { set_connected(worker, true); },
						   [this](const std::shared_ptr<link>& from, wire::envelope&& message)
						   { handle_message(from, std::move(message)); },
						   [this, worker](const std::shared_ptr<link>& closed_link)
						   {
							   set_connected(worker, false);
							   fail_tries(closed_link);
						   }});
	}

	void request_forwarder::disconnect(agent_connection& connection)
	{
		const auto agent_link = connection.current_link();
		connection.stop();
		if (agent_link)
			fail_tries(agent_link);
	}

	void request_forwarder::set_connected(const worker_id& worker, bool connected)
	{
		const auto* location = find_target(worker);
		if (location == nullptr)
			return;
		auto& target = services_[location->service].targets[location->index];
		if (connected && !target.connected)
			target.first_seen_at = boottime_now(); // slow start after a reconnect
		target.connected = connected;
	}
}
