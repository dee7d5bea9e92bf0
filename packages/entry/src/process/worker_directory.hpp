// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief The workers known to an entry that owns tasks, with its control connections to their agents.
#pragma once

#include "../connection/agent_connection.hpp"
#include "duty_messages.hpp"

#include <trailjunction/core/ring.hpp>
#include <trailjunction/decide/process/harm_response.hpp>
#include <trailjunction/decide/process/interference.hpp>
#include <trailjunction/decide/process/placement.hpp>
#include <trailjunction/decide/process/worker_health.hpp>
#include <trailjunction/entry/settings.hpp>
#include <trailjunction/store/platform_client.hpp>

#include <absl/container/flat_hash_map.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace trailjunction
{
	/// \brief State of one worker as known to an entry.
	struct known_worker
	{
		instance place;
		std::shared_ptr<agent_connection> connection;
		incarnation agent_incarnation; ///< Incarnation of its agent, from the last heartbeat; 0 before the first one.
		std::int64_t stamp_ms{};       ///< Timestamp of the last heartbeat by the agent's clock.
		instant heartbeat_at{};        ///< When the last heartbeat arrived.
		instant linked_at{};           ///< When the current link to its agent was opened.
		bool ready{};
		bool leaving_by_list{};
		bool leaving_by_agent{};
		bool listed{true};     ///< Whether the platform lists the worker.
		config_version config; ///< Configuration version of its agent.
		service_id service;
		std::int64_t p99_us{};   ///< Latest measured p99 latency of its service.
		std::int64_t requests{}; ///< Number of requests in the interval of p99_us.
		harm_state harm;
		worker_health health;
	};

	/// \brief Polls the platform's list of workers, keeps a control connection to each agent, and receives heartbeats.
	class worker_directory
	{
	public:
		using heartbeat_handler = std::function<void(known_worker&, const wire::heartbeat&)>;

		worker_directory(boost::asio::io_context& io, const entry_settings& settings, platform_client& platform,
						 incarnation own_incarnation, ring<directory>& directories);

		/// \brief Starts polling; \p on_beat is called for each heartbeat after the directory has applied it.
		void start(heartbeat_handler on_beat);

		/// \brief Applies a new configuration and passes it to the agents and to the request routing.
		void configure(const config_document& document, const std::string& text);

		/// \brief Sends a message to a worker's agent. \returns Whether a connection accepted the message.
		bool send(const worker_id& worker, const wire::envelope& message);

		[[nodiscard]] known_worker* find(const worker_id& worker);
		[[nodiscard]] const absl::flat_hash_map<worker_id, known_worker>& workers() const noexcept
		{
			return workers_;
		}
		[[nodiscard]] fleet& worker_views() noexcept
		{
			return fleet_;
		}
		[[nodiscard]] const interference_model& learned_interference() const noexcept
		{
			return learned_interference_;
		}
		/// \brief Whether the worker takes no new work according to the platform's list, its agent or the operators.
		[[nodiscard]] bool is_leaving(const known_worker& worker) const;

		/// \brief Whether the platform's list was read at least once.
		[[nodiscard]] bool has_list() const noexcept
		{
			return listed_at_ != instant{};
		}
		/// \brief Whether every listed worker has sent a heartbeat, or the settle time after the first list has passed.
		[[nodiscard]] bool has_settled(instant now) const noexcept;
		/// \brief Updates the placement view of a worker, including the claims of starts that its agent has not
		/// reported yet.
		void refresh_view(const known_worker& worker, const resources& unreported);

	private:
		boost::asio::awaitable<void> follow_list();
		boost::asio::awaitable<void> publish_directory();
		void apply_list(const std::vector<instance>& list);
		void connect(known_worker& worker);
		void on_message(const worker_id& worker, const std::shared_ptr<link>& from, wire::envelope&& message);
		void apply_heartbeat(known_worker& worker, const wire::heartbeat& beat);
		void learn_samples(known_worker& worker, const wire::heartbeat& beat);
		void mark_silent_workers(instant now);
		void reconnect_silent_workers(instant now);
		void send_config(const std::shared_ptr<link>& to, const worker_id& worker);
		[[nodiscard]] double headroom_of(const service_id& service) const;
		[[nodiscard]] double predicted_slowdown_on(const known_worker& worker) const;

		boost::asio::io_context& io_;
		const entry_settings& settings_;
		platform_client& platform_;
		incarnation incarnation_;
		ring<directory>& directories_;
		heartbeat_handler on_heartbeat_;
		absl::flat_hash_map<worker_id, known_worker> workers_;
		fleet fleet_;
		interference_model learned_interference_;
		config_document config_;
		/// The parsed configuration document, from which the part for each agent is extracted.
		boost::json::value config_value_;
		instant listed_at_{}; ///< When the platform's list was first read.
	};
}
