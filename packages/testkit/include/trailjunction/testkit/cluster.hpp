// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief A whole system of real processes around the stand-ins.
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
	/// \brief What a cluster consists of.
	struct cluster_options
	{
		std::string programs; ///< The folder of the build.
		int entries{2};
		int agents{3};
		int data_centres{2};
		int shards{2};
		int writes_per_second{30}; ///< Of each entry.
		resources capacity{4'000, 8'192, 0};
		std::string times; ///< JSON members of "times"; empty: the defaults.
		millis checkpoint_every{500};
		bool proxies{true};             ///< Between entries and agents; without them nothing is added to latencies.
		std::vector<std::string> racks; ///< By worker; empty: three workers to a rack.
	};

	/// \brief One worker: its agent, its upstream and the proxies in front of the agent.
	struct cluster_worker
	{
		std::string name;
		std::unique_ptr<upstream_standin> upstream;
		std::unique_ptr<fault_proxy> request_proxy;  ///< Between entries and the agent's request links.
		std::unique_ptr<fault_proxy> control_proxy;  ///< Between entries and the agent's control links.
		std::unique_ptr<fault_proxy> platform_proxy; ///< Between the agent and the platform.
		endpoint upstream_address;
		std::string settings; ///< The settings file.
		endpoint admin;
		child_process agent;
	};

	/// \brief One entry and the proxy between it and the platform.
	struct cluster_entry
	{
		std::string name;
		std::string settings;
		endpoint callers;
		endpoint operators;
		std::unique_ptr<fault_proxy> platform_proxy;
		child_process process;
	};

	/// \brief An answer to an operator's command.
	struct command_answer
	{
		int status{}; ///< HTTP; 0: no answer.
		std::string text;
		boost::json::object body;
	};

	/// \brief Starts everything on loopback addresses of its own, and ends what it started.
	class cluster
	{
	public:
		explicit cluster(cluster_options options);
		~cluster();
		cluster(const cluster&) = delete;
		cluster& operator=(const cluster&) = delete;

		/// \brief Waits until all processes are ready. \returns Whether they became so.
		[[nodiscard]] bool wait_ready();

		/// For an answer: more than the 10 s after which an entry answers a request that names no deadline, so that the
		/// answer is not given up on in the moment in which it comes.
		static constexpr auto answer_time = millis{15'000};

		/// \brief Sends a request to an entry's callers' address.
		[[nodiscard]] http_result request(int entry, http_request message, millis time = answer_time);

		/// \brief Runs an operator's command at an entry.
		[[nodiscard]] command_answer command(int entry, const std::string& text, const std::string& id = "");

		/// \brief One field of a task, from `show tasks`; empty where there is none.
		[[nodiscard]] std::string task_field(const std::string& task, const std::string& field);

		/// \brief Repeats \p check until it holds. \returns Whether it did in time.
		[[nodiscard]] static bool wait_until(const std::function<bool()>& check, millis time);

		void start_entry(int entry);
		/// \brief Starts a second process under an entry's member name, at addresses of its own. \returns Its index.
		[[nodiscard]] int start_twin(int entry);
		void start_agent(int agent);

		[[nodiscard]] cluster_worker& worker(int index)
		{
			return workers_[static_cast<std::size_t>(index)];
		}
		[[nodiscard]] cluster_worker& worker(const std::string& name);
		[[nodiscard]] cluster_entry& entry(int index)
		{
			return entries_[static_cast<std::size_t>(index)];
		}
		/// \brief Where a worker's upstream listens.
		[[nodiscard]] const endpoint& upstream_address(int index) const
		{
			return workers_[static_cast<std::size_t>(index)].upstream_address;
		}
		[[nodiscard]] int workers() const noexcept
		{
			return static_cast<int>(workers_.size());
		}
		[[nodiscard]] int entries() const noexcept
		{
			return static_cast<int>(entries_.size());
		}
		[[nodiscard]] standin_thread& thread() noexcept
		{
			return thread_;
		}
		/// \brief To be used within thread().run().
		[[nodiscard]] platform_standin& platform() noexcept
		{
			return *platform_;
		}
		/// \brief Changes the platform's faults.
		void set_faults(const std::function<void(platform_faults&)>& change);
		[[nodiscard]] std::vector<run_event> events();
		[[nodiscard]] std::vector<std::string> violations();

		/// \brief The end of each process's log, for a failed test.
		[[nodiscard]] std::string logs() const;
		[[nodiscard]] const std::string& folder() const noexcept
		{
			return folder_;
		}

	private:
		void make_worker(int index);
		void make_entry(int index, const std::string& member);
		[[nodiscard]] http_result call(const endpoint& where, http_request message, millis time);

		cluster_options options_;
		std::string folder_;
		standin_thread thread_;
		std::unique_ptr<platform_standin> platform_;
		endpoint platform_address_;
		std::vector<cluster_worker> workers_;
		std::vector<cluster_entry> entries_;
		std::vector<std::string> operators_; ///< Addresses of all entries.
		address_picker addresses_;
	};
}
