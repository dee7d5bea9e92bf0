// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief A cluster of real entry and agent processes for jobs; the users' store, workers and instances are stand-ins.
/// \details For tests of jobs. Tests of requests and of tasks on the table service use cluster.
#pragma once

#include "address_picker.hpp"
#include "child_process.hpp"
#include "fault_proxy.hpp"
#include "instances_standin.hpp"
#include "rows_standin.hpp"
#include "standin_thread.hpp"
#include "worker_standin.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace trailjunction::testkit
{
	/// \brief Size and settings of a job_cluster.
	struct job_cluster_options
	{
		std::string programs; ///< The build directory.
		int entries{2};
		int workers{2};
		int data_centres{1};        ///< Workers are spread over `dc1`, `dc2` and so on, round-robin.
		millis contact_time{3'000}; ///< The entries' setting `contact_ms`.
		/// The setting `longest_run_lease_ms` of all processes; the worker stand-ins shorten longer leases to it.
		millis longest_lease{6'000};
		/// Whether entries know the instances_standin; its machines are `machine-1`, `machine-2` and so on.
		bool has_upkeep_service{};
		bool proxies{}; ///< Whether connections pass through a fault_proxy, see #proxied_connection.
	};

	/// \brief Kinds of connections that can pass through a fault_proxy.
	enum class proxied_connection
	{
		worker_calls, ///< From an agent to its worker.
		agent_links,  ///< From owners to an agent.
		agent_store,  ///< From an agent to the store.
		entry_store,  ///< From an entry to the store.
	};

	/// \brief Starts all processes and stand-ins; the destructor terminates them.
	class job_cluster
	{
	public:
		explicit job_cluster(job_cluster_options options);
		~job_cluster();
		job_cluster(const job_cluster&) = delete;
		job_cluster& operator=(const job_cluster&) = delete;

		/// \brief Waits up to 20 s until every entry accepts a job and a first job has completed.
		/// \returns Whether this state was reached.
		[[nodiscard]] bool wait_ready();
		/// \brief Submits a job of identical tasks.
		/// \param work Run time of each task.
		/// \returns The HTTP status; 0 without a response.
		[[nodiscard]] int submit(int entry, const std::string& id, int tasks, millis work);
		/// \brief Submits a job of identical long-running tasks, which run until the job is cancelled.
		/// \returns The HTTP status; 0 without a response.
		[[nodiscard]] int submit_long_running(int entry, const std::string& id, int tasks);
		/// \brief The state of a job as an entry reports it; empty if it reports none.
		[[nodiscard]] std::string state(int entry, const std::string& id);
		/// \brief Cancels a job. \returns The HTTP status; 0 without a response.
		[[nodiscard]] int cancel(int entry, const std::string& id);
		[[nodiscard]] http_result call(int entry, const std::string& method, const std::string& path,
									   const std::string& body);
		/// \brief Polls until \p check returns true or \p timeout has passed.
		/// \returns Whether it returned true in time.
		[[nodiscard]] static bool wait_until(const std::function<bool()>& check, millis timeout);

		[[nodiscard]] child_process& entry(int index)
		{
			return *entries_[static_cast<std::size_t>(index)].process;
		}
		[[nodiscard]] child_process& agent(int index)
		{
			return *agents_[static_cast<std::size_t>(index)].process;
		}
		/// \brief Kills a process and starts it again with the same settings.
		void restart_entry(int index);
		void restart_agent(int index);
		/// \brief The path of an entry's settings file.
		[[nodiscard]] const std::string& settings_file(int entry) const
		{
			return entries_[static_cast<std::size_t>(entry)].settings_path;
		}
		/// \brief The index of the entry that owns the jobs; -1 if there is none.
		[[nodiscard]] int owner();
		/// \brief Calls \p work with a worker stand-in on the thread of the stand-ins.
		template <typename Work>
		auto with_worker(int index, Work work)
		{
			return thread_.run([&] { return work(*workers_[static_cast<std::size_t>(index)]); });
		}
		template <typename Work>
		auto with_store(Work work)
		{
			return thread_.run([&] { return work(store_standin_->store); });
		}
		/// \brief Calls \p work with the instances stand-in on the thread of the stand-ins.
		template <typename Work>
		auto with_instances(Work work)
		{
			return thread_.run([&] { return work(*instances_); });
		}
		/// \brief Calls \p work with the proxy of an agent or an entry on the thread of the stand-ins; requires
		/// job_cluster_options::proxies.
		template <typename Work>
		auto with_proxy(proxied_connection kind, int index, Work work)
		{
			return thread_.run([&] { return work(*proxies_.at({kind, index})); });
		}
		/// \brief Every start that a worker carried out, ordered by worker.
		[[nodiscard]] std::vector<worker_standin::started_run> all_started_runs();
		/// \brief Every call to start or stop a run that reached a worker, ordered by worker.
		[[nodiscard]] std::vector<worker_standin::recorded_call> run_orders();
		/// \brief The number of starts of a task over all workers.
		[[nodiscard]] int start_count(const std::string& task);
		/// \brief The last 6000 bytes of each log, for the message of a failed test.
		[[nodiscard]] std::string logs() const;
		/// \brief The lines of all logs that contain \p word, ordered by time.
		[[nodiscard]] std::vector<std::string> log_lines_with(const std::string& word) const;

	private:
		struct process_state
		{
			std::vector<std::string> command_line;
			std::string settings_path;
			std::string log_file;
			endpoint caller_address;
			std::unique_ptr<child_process> process;
		};

		void make_worker(int index);
		void make_entry(int index);
		/// Creates a proxy if job_cluster_options::proxies is set.
		/// \returns The address to connect to instead of \p target.
		[[nodiscard]] endpoint make_proxy(proxied_connection kind, int index, endpoint target);
		/// Agents publish their link address in the store; replaces it by the address of the proxy, so that owners
		/// connect through the proxy.
		boost::asio::awaitable<void> redirect_links_to_proxies();

		job_cluster_options options_;
		std::string directory_;
		address_picker address_picker_;
		standin_thread thread_;
		std::unique_ptr<rows_standin> store_standin_;
		std::unique_ptr<instances_standin> instances_;
		endpoint instances_address_;
		endpoint store_address_;
		std::map<std::pair<proxied_connection, int>, std::unique_ptr<fault_proxy>> proxies_;
		/// By agent: its row in the store with the proxy's address.
		std::map<std::string, std::string> proxied_agent_rows_;
		std::vector<std::unique_ptr<worker_standin>> workers_;
		std::vector<process_state> agents_;
		std::vector<process_state> entries_;
	};
}
