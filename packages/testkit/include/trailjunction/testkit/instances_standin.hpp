// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief The users' service that runs machines, as their PROTOCOL page describes it.
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
	/// \brief What goes wrong in an instances_standin.
	struct instance_faults
	{
		int lose_orders{};     ///< So many next orders get no answer and are not carried out.
		int lose_answers{};    ///< So many next orders are carried out without an answer.
		int late_orders{};     ///< So many next orders get no answer, and are carried out later.
		millis late_by{};      ///< How much later.
		int busy{};            ///< So many next orders are refused with `busy`.
		int not_of_wave{};     ///< So many next orders are refused with `wave`.
		int too_many{};        ///< So many next calls of any kind get 429.
		int refuse_lists{};    ///< So many next readings get 503.
		millis slow{};         ///< Each call takes so long.
		std::string no_return; ///< This machine's worker stays away after its upkeep.
	};

	/// \brief Takes machines down for their upkeep, once a wave, and counts what is down.
	class instances_standin
	{
	public:
		explicit instances_standin(boost::asio::io_context& io);

		/// \brief Binds a port that the kernel picks.
		[[nodiscard]] endpoint listen();
		/// \brief Adds a machine with the worker on it; the worker has to live as long.
		void add(const std::string& machine, worker_standin& worker);
		/// \brief How many of a wave are down for it now.
		[[nodiscard]] int down(std::int64_t wave) const;

		instance_faults faults;
		millis lasts{800};                                 ///< An upkeep.
		std::size_t page{2};                               ///< Machines a page.
		std::map<std::int64_t, int> most_down;             ///< By wave: machines that were down at a time.
		std::map<std::int64_t, std::set<std::string>> had; ///< By wave: machines whose upkeep has begun.
		std::vector<std::int64_t> tokens;                  ///< Of all orders, in order.
		std::set<std::string> holders;                     ///< Who gave orders.

	private:
		struct machine
		{
			worker_standin* worker{};
			instant back{};
			std::int64_t wave{};
			std::int64_t token{};
		};

		boost::asio::awaitable<http_response> answer(http_request request);
		boost::asio::awaitable<void> carry_out_late(std::string name, std::int64_t wave);
		[[nodiscard]] http_response list(const std::string& target) const;
		[[nodiscard]] http_response order(const http_request& request);
		[[nodiscard]] http_response carry_out(const std::string& name, std::int64_t wave);

		boost::asio::io_context& io_;
		http_server server_;
		std::map<std::string, machine> machines_;
	};
}
