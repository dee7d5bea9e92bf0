// SPDX-License-Identifier: MIT
/// \file
/// \brief The connection of an owner of jobs to one agent, with the state of the agent's worker.
/// \details Requests and tasks use agent_connection instead.
#pragma once

#include <trailjunction/core/ids.hpp>
#include <trailjunction/jobs/job_placement.hpp>
#include <trailjunction/jobs/unplaced_runs.hpp>
#include <trailjunction/jobs/worker_trust.hpp>
#include <trailjunction/net/endpoint.hpp>
#include <trailjunction/wire/link.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace trailjunction
{
	/// \brief What the owner knows about the worker of an agent.
	struct worker_state
	{
		worker_incarnation current_incarnation; ///< Empty until the agent reports a worker.
		service_id service;
		std::vector<std::string> labels;
		resources capacity;
		bool draining{};
		bool responsive{};
		std::optional<instant> last_response; ///< When the worker last answered its agent.
		instant first_report{};               ///< When the agent first reported this incarnation.
		/// When owners learnt of this incarnation; the epoch if a previous owner stored it.
		instant known_since{};
		instant last_report{};                    ///< When the agent last reported the worker.
		std::optional<instant> predecessor_crash; ///< When the previous incarnation was found to have crashed.
		double filler_pace{1.0};                  ///< The share of full speed at which fillers may run, 0 to 1.
		worker_trust trust;
		unplaced_runs unplaced; ///< Runs on the worker that are being stopped, as their tasks are not placed there.
		std::int64_t last_end_seen{};   ///< The highest number of a reported end of a run.
		std::int64_t last_end_stored{}; ///< Ends of runs up to this number are stored.
		std::uint64_t full_reports{};   ///< Number of full reports; the numbers of ends are compared within one only.
	};

	/// \brief Connects to an agent, claims the jobs on it, and reconnects whenever the link is lost.
	class agent_peer : public std::enable_shared_from_this<agent_peer>
	{
	public:
		using report_handler = std::function<void(agent_peer&, wire::job_report&&)>;

		/// \param may_claim Whether this owner is certainly the only one now. Agents that have restarted obey any
		/// claim.
		agent_peer(boost::asio::io_context& io, std::string name, endpoint address, wire::job_claim claim,
				   std::function<bool()> may_claim, report_handler on_report);

		/// \brief Starts connecting.
		void start();
		/// \brief Closes the link permanently.
		void stop();
		/// \brief Sets the address of the agent; an open link to the previous address is closed.
		void set_address(endpoint address);
		/// \brief Sets the data centre that the agent's row in the store names.
		void set_data_centre(data_centre_id data_centre)
		{
			data_centre_ = std::move(data_centre);
		}
		[[nodiscard]] const data_centre_id& data_centre() const noexcept
		{
			return data_centre_;
		}

		[[nodiscard]] bool is_connected() const noexcept
		{
			return link_ != nullptr && link_->is_open();
		}
		/// \brief Whether the agent has reported the runs of its worker over the current link.
		/// \details The kernel of a paused agent accepts a connection at once. When the agent resumes, its first report
		/// does not list runs that were ordered over this link before that report, so such an order would count as
		/// lost and be repeated.
		[[nodiscard]] bool has_reported() const noexcept
		{
			return is_connected() && reported_;
		}
		/// \brief When the latest report arrived; empty if there was none.
		[[nodiscard]] std::optional<instant> heard_at() const noexcept
		{
			return heard_at_;
		}
		/// \brief Requests a full report over the open link, if there is one.
		void request_full_report();
		/// \brief Sends a message if the link is open. The next full report reveals messages that were lost.
		void send(const wire::envelope& message);

		/// \brief The address at which the agent accepts links, and from which all its reports come.
		[[nodiscard]] const endpoint& agent_address() const noexcept
		{
			return address_;
		}
		[[nodiscard]] const std::string& name() const noexcept
		{
			return name_;
		}

		worker_state worker;
		bool room_outdated{};                  ///< The worker has reported since its free capacity was last computed.
		worker_incarnation stored_incarnation; ///< The incarnation of the worker that the store holds for this agent.
		instant stored_lease_end{}; ///< The end of its unconfirmed lease that the store holds; instant{} if none.

	private:
		boost::asio::awaitable<void> dial_loop();
		void send_claim();
		void on_message(wire::envelope&& message);

		boost::asio::io_context& io_;
		std::string name_;
		endpoint address_;
		data_centre_id data_centre_;
		wire::job_claim claim_;
		std::function<bool()> may_claim_;
		report_handler on_report_;
		std::shared_ptr<link> link_;
		std::optional<instant> heard_at_;
		bool reported_{}; ///< Whether the agent has sent a full report over the current link.
		bool stopped_{};
	};
}
