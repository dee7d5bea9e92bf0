// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Stand-in for the users' service that runs instances on machines, as their PROTOCOL page specifies it.
#pragma once

#include "worker_standin.hpp"

#include <trailjunction/net/http_server.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace trailjunction::testkit
{
	/// \brief Faults that an instances_standin injects. A count applies to the next calls of its kind and is
	/// decremented.
	struct instance_faults
	{
		int lost_orders{};        ///< Upkeep orders that get no response and are not carried out.
		int lost_responses{};     ///< Upkeep orders that are carried out without a response.
		int late_orders{};        ///< Upkeep orders that get no response and are carried out after #late_delay.
		millis late_delay{};      ///< Delay of late orders.
		int busy_refusals{};      ///< Upkeep orders refused with the reason `busy`.
		int wave_refusals{};      ///< Upkeep orders refused with the reason `wave`.
		int rate_limited_calls{}; ///< Calls of any kind that get status 429.
		int refused_lists{};      ///< List calls that get status 503.
		millis call_latency{};    ///< Added latency of every call.
		std::string lost_machine; ///< The machine whose worker doesn't come back after its upkeep.
	};

	/// \brief Takes each machine down for upkeep once per wave and counts the machines that are down.
	class instances_standin
	{
	public:
		explicit instances_standin(boost::asio::io_context& io);

		/// \brief Binds to a port that the kernel picks.
		[[nodiscard]] endpoint listen();
		/// \brief Adds a machine and the worker that runs on it. The worker must outlive this object.
		void add(const std::string& machine, worker_standin& worker);
		/// \brief The number of machines that are down now for the upkeep of a wave.
		[[nodiscard]] int machines_down(std::int64_t wave) const;

		instance_faults faults;
		millis upkeep_duration{800}; ///< Duration of one upkeep.
		std::size_t page_size{2};    ///< Machines per page of the list.
		/// By wave: the highest number of machines down at the same time.
		std::map<std::int64_t, int> max_machines_down;
		std::map<std::int64_t, std::set<std::string>> upkeep_begun; ///< By wave: machines whose upkeep has begun.
		/// Fencing tokens of the orders that passed the token check, in order of arrival.
		std::vector<std::int64_t> fencing_tokens;
		std::set<std::string> lease_holders; ///< Values of `Lease-Holder` in orders that passed the token check.

	private:
		struct machine
		{
			worker_standin* worker{};
			instant back_at{};
			std::int64_t wave{};
			std::int64_t token{};
		};

		boost::asio::awaitable<http_response> answer(http_request request);
		boost::asio::awaitable<void> execute_late(std::string name, std::int64_t wave);
		[[nodiscard]] http_response list(const std::string& target) const;
		[[nodiscard]] http_response order(const http_request& request);
		[[nodiscard]] http_response execute(const std::string& name, std::int64_t wave);

		boost::asio::io_context& io_;
		http_server server_;
		std::map<std::string, machine> machines_;
	};
}
