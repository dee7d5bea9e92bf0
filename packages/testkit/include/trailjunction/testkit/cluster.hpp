// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief A cluster of real entry and agent processes; the platform and the upstreams are stand-ins.
/// \details For tests of requests and of tasks on the table service. Tests of jobs use job_cluster.
#pragma once

#include "address_picker.hpp"
#include "child_process.hpp"
#include "fault_proxy.hpp"
#include "platform_standin.hpp"
#include "standin_thread.hpp"
#include "upstream_standin.hpp"

#include <trailjunction/net/http_client.hpp>

#include <boost/json/object.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace trailjunction::testkit
{
	/// \brief Size and settings of a cluster.
	struct cluster_options
	{
		std::string programs; ///< The build directory.
		int entries{2};
		int agents{3};
		int data_centres{2};
		int shards{2};
		int writes_per_second{30}; ///< Write limit of each entry.
		resources capacity{4'000, 8'192, 0};
		std::string times_json; ///< JSON members of the setting "times"; empty for the defaults.
		millis checkpoint_interval{500};
		bool proxies{true};             ///< Proxies between entries and agents; without them no latency is added.
		std::vector<std::string> racks; ///< By worker; empty for three workers per rack.
	};

	/// \brief One worker: its agent, its upstream and the proxies of the agent.
	struct cluster_worker
	{
		std::string name;
		std::unique_ptr<upstream_standin> upstream;
		std::unique_ptr<fault_proxy> request_proxy;  ///< Between entries and the agent's request links.
		std::unique_ptr<fault_proxy> control_proxy;  ///< Between entries and the agent's control links.
		std::unique_ptr<fault_proxy> platform_proxy; ///< Between the agent and the platform.
		endpoint upstream_address;
		std::string settings_file; ///< Path of the settings file.
		endpoint admin_address;
		child_process agent;
	};

	/// \brief One entry and the proxy between it and the platform.
	struct cluster_entry
	{
		std::string name;
		std::string settings_file;
		endpoint caller_address;
		endpoint operator_address;
		std::unique_ptr<fault_proxy> platform_proxy;
		child_process process;
	};

	/// \brief The response to an operator's command.
	struct command_response
	{
		int status{}; ///< HTTP status; 0 without a response.
		std::string text;
		boost::json::object body;
	};

	/// \brief Starts all processes on their own loopback addresses; the destructor terminates them.
	class cluster
	{
	public:
		explicit cluster(cluster_options options);
		~cluster();
		cluster(const cluster&) = delete;
		cluster& operator=(const cluster&) = delete;

		/// \brief Waits up to 20 s until all processes are ready, all shards are owned and requests are answered.
		/// \returns Whether this state was reached.
		[[nodiscard]] bool wait_ready();

		/// Longer than the 10 s after which an entry answers a request without a deadline, so that the client
		/// doesn't time out at the moment the response arrives.
		static constexpr auto response_timeout = millis{15'000};

		/// \brief Sends a request to the address on which an entry serves callers.
		[[nodiscard]] http_result request(int entry, http_request message, millis timeout = response_timeout);

		/// \brief Sends an operator's command to an entry.
		/// \param id The command's idempotency key; empty for a random one.
		[[nodiscard]] command_response command(int entry, const std::string& text, const std::string& id = "");

		/// \brief One column of a task from `show tasks`; empty if the task or the column doesn't exist.
		[[nodiscard]] std::string task_field(const std::string& task, const std::string& field);

		/// \brief Polls \p check until it returns true or \p timeout has passed.
		/// \returns Whether it returned true in time.
		[[nodiscard]] static bool wait_until(const std::function<bool()>& check, millis timeout);

		void start_entry(int index);
		/// \brief Starts a second process with the member name of an entry, on its own addresses.
		/// \returns Its index.
		[[nodiscard]] int start_duplicate_member(int entry);
		void start_agent(int index);

		[[nodiscard]] cluster_worker& worker(int index)
		{
			return workers_[static_cast<std::size_t>(index)];
		}
		[[nodiscard]] cluster_worker& worker(const std::string& name);
		[[nodiscard]] cluster_entry& entry(int index)
		{
			return entries_[static_cast<std::size_t>(index)];
		}
		/// \brief The address of a worker's upstream.
		[[nodiscard]] const endpoint& upstream_address(int index) const
		{
			return workers_[static_cast<std::size_t>(index)].upstream_address;
		}
		[[nodiscard]] int worker_count() const noexcept
		{
			return static_cast<int>(workers_.size());
		}
		[[nodiscard]] int entry_count() const noexcept
		{
			return static_cast<int>(entries_.size());
		}
		[[nodiscard]] standin_thread& thread() noexcept
		{
			return thread_;
		}
		/// \brief The platform stand-in; only to be used inside thread().run().
		[[nodiscard]] platform_standin& platform() noexcept
		{
			return *platform_;
		}
		/// \brief Changes the injected faults of the platform stand-in.
		void set_faults(const std::function<void(platform_faults&)>& change);
		[[nodiscard]] std::vector<run_event> events();
		[[nodiscard]] std::vector<std::string> violations();

		/// \brief The last 6000 bytes of each process's log, for the message of a failed test.
		[[nodiscard]] std::string logs() const;
		[[nodiscard]] const std::string& directory() const noexcept
		{
			return directory_;
		}

	private:
		void make_worker(int index);
		void make_entry(int index, const std::string& member);
		[[nodiscard]] http_result send_to(const endpoint& address, http_request message, millis timeout);

		cluster_options options_;
		std::string directory_;
		standin_thread thread_;
		std::unique_ptr<platform_standin> platform_;
		endpoint platform_address_;
		std::vector<cluster_worker> workers_;
		std::vector<cluster_entry> entries_;
		std::vector<std::string> operator_addresses_; ///< Operator addresses of all entries.
		address_picker address_picker_;
	};
}
