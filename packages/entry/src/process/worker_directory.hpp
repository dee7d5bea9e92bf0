// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief The workers that an entry knows, with its control connections to them.
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
	/// \brief What an entry knows about one worker.
	struct known_worker
	{
		instance place;
		std::shared_ptr<agent_connection> connection;
		incarnation life;        ///< Of its agent, from the last heartbeat; 0: never heard.
		std::int64_t stamp_ms{}; ///< Of the last heartbeat, by the agent's clock.
		instant heard{};         ///< When that came.
		instant linked{};        ///< When the present link to its agent was opened.
		bool ready{};
		bool leaving_by_list{};
		bool leaving_by_agent{};
		bool listed{true};     ///< In the platform's list.
		config_version config; ///< That its agent has.
		service_id service;
		std::int64_t p99_us{};   ///< Of its service, the last one measured.
		std::int64_t requests{}; ///< In that interval.
		harm_state harm;
		worker_health health;
	};

	/// \brief Follows the platform's list, keeps a control connection to each agent, and hears heartbeats.
	class worker_directory
	{
	public:
		using beat_handler = std::function<void(known_worker&, const wire::heartbeat&)>;

		worker_directory(boost::asio::io_context& io, const entry_settings& settings, platform_client& platform,
						 incarnation life, ring<directory>& directories);

		/// \brief Starts to follow; \p on_beat is called for each heartbeat after the directory has noted it.
		void start(beat_handler on_beat);

		/// \brief The configuration that is in force from now on: passed to agents and to the request duty.
		void configure(const config_document& document, const std::string& text);

		/// \brief Sends a message to a worker's agent. \returns Whether there was a connection to take it.
		bool send(const worker_id& worker, const wire::envelope& message);

		[[nodiscard]] known_worker* find(const worker_id& worker);
		[[nodiscard]] const absl::flat_hash_map<worker_id, known_worker>& workers() const noexcept
		{
			return workers_;
		}
		[[nodiscard]] fleet& places() noexcept
		{
			return fleet_;
		}
		[[nodiscard]] const interference& learned() const noexcept
		{
			return learned_;
		}
		/// \brief Whether the worker takes no new work: by the list, its agent or the operators.
		[[nodiscard]] bool leaving(const known_worker& worker) const;

		/// \brief Whether the platform's list was read at least once.
		[[nodiscard]] bool has_list() const noexcept
		{
			return listed_at_ != instant{};
		}
		/// \brief Whether every listed worker was heard, or the others had time enough.
		[[nodiscard]] bool settled(instant now) const noexcept;
		/// \brief Puts a worker's standing into the index of places again, with the claims of starts not reported yet.
		void refresh(const known_worker& worker, const resources& unreported);

	private:
		boost::asio::awaitable<void> follow_list();
		boost::asio::awaitable<void> push_directory();
		void take_list(const std::vector<instance>& list);
		void connect(known_worker& worker);
		void take(const worker_id& worker, const std::shared_ptr<link>& from, wire::envelope&& message);
		void take_beat(known_worker& worker, const wire::heartbeat& beat);
		void learn_samples(known_worker& worker, const wire::heartbeat& beat);
		void note_silence(instant now);
		void redial_silent(instant now);
		void send_config(const std::shared_ptr<link>& to, const worker_id& worker);
		[[nodiscard]] double headroom_of(const service_id& service) const;
		[[nodiscard]] double batch_harm(const known_worker& worker) const;

		boost::asio::io_context& io_;
		const entry_settings& settings_;
		platform_client& platform_;
		incarnation life_;
		ring<directory>& directories_;
		beat_handler on_beat_;
		absl::flat_hash_map<worker_id, known_worker> workers_;
		fleet fleet_;
		interference learned_;
		config_document config_;
		boost::json::value config_value_; ///< The same document, for cutting out what each agent needs.
		instant listed_at_{};             ///< When the list was first read.
	};
}
