// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Entries and agents as real processes on the users' platform, whose store and workers are stand-ins.
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
	/// \brief Sizes of a job_cluster.
	struct job_cluster_options
	{
		std::string programs; ///< The build folder.
		int entries{2};
		int workers{2};
		int data_centres{1}; ///< Workers stand in them by turns: `dc1`, `dc2` and so on.
		millis contact{3'000};
		bool waves{};   ///< Whether entries know the service that runs instances: `machine-1` and so on.
		bool proxies{}; ///< Whether connections pass through a fault_proxy, see #cable.
	};

	/// \brief Connections that pass through a proxy.
	enum class cable
	{
		worker_calls, ///< Of an agent to its worker.
		agent_links,  ///< Of owners to an agent.
		agent_store,  ///< Of an agent to the store.
		entry_store,  ///< Of an entry to the store.
	};

	/// \brief Starts everything and takes it down again.
	class job_cluster
	{
	public:
		explicit job_cluster(job_cluster_options options);
		~job_cluster();
		job_cluster(const job_cluster&) = delete;
		job_cluster& operator=(const job_cluster&) = delete;

		/// \brief Waits until every entry has a configuration and an owner has placed a first task.
		[[nodiscard]] bool wait_ready();
		/// \brief Hands in a job of like tasks that work for a while. \returns The HTTP status; 0 without an answer.
		[[nodiscard]] int submit(int entry, const std::string& id, int tasks, millis work);
		/// \brief The state that an entry tells; empty where it tells none.
		[[nodiscard]] std::string state(int entry, const std::string& id);
		/// \returns The HTTP status; 0 without an answer.
		[[nodiscard]] int cancel(int entry, const std::string& id);
		[[nodiscard]] http_result call(int entry, const std::string& method, const std::string& path,
									   const std::string& body);
		/// \brief Polls until a condition holds or \p most is over.
		[[nodiscard]] static bool wait_until(const std::function<bool()>& holds, millis most);

		[[nodiscard]] child_process& entry(int index)
		{
			return *entries_[static_cast<std::size_t>(index)].process;
		}
		[[nodiscard]] child_process& agent(int index)
		{
			return *agents_[static_cast<std::size_t>(index)].process;
		}
		/// \brief Ends and starts a process again under the same settings.
		void restart_entry(int index);
		void restart_agent(int index);
		/// \brief The settings file of an entry.
		[[nodiscard]] const std::string& settings_of(int entry) const
		{
			return entries_[static_cast<std::size_t>(entry)].settings;
		}
		/// \brief The index of the entry that owns the jobs; -1 where there is none.
		[[nodiscard]] int owner();
		/// \brief Safe access to the stand-ins of workers, in order.
		template <typename Work>
		auto with_worker(int index, Work work)
		{
			return thread_.run([&] { return work(*workers_[static_cast<std::size_t>(index)]); });
		}
		template <typename Work>
		auto with_store(Work work)
		{
			return thread_.run([&] { return work(platform_->store); });
		}
		/// \brief Safe access to the service that runs instances.
		template <typename Work>
		auto with_instances(Work work)
		{
			return thread_.run([&] { return work(*instances_); });
		}
		/// \brief Safe access to the proxy of an agent or an entry. Only with job_cluster_options::proxies.
		template <typename Work>
		auto with_proxy(cable kind, int index, Work work)
		{
			return thread_.run([&] { return work(*proxies_.at({kind, index})); });
		}
		/// \brief Every start that a worker carried out, in the order of workers.
		[[nodiscard]] std::vector<worker_standin::begun_run> all_begun();
		/// \brief Every call to start or stop a run that reached a worker, in the order of workers.
		[[nodiscard]] std::vector<worker_standin::order> all_orders();
		/// \brief How often a task began, over all workers.
		[[nodiscard]] int times_begun(const std::string& task);
		/// \brief The ends of all logs, for the message of a failed test.
		[[nodiscard]] std::string logs() const;
		/// \brief The lines of all logs that have \p word in them, in the order of their times.
		[[nodiscard]] std::vector<std::string> lines_with(const std::string& word) const;

	private:
		struct program
		{
			std::vector<std::string> words;
			std::string settings;
			std::string log;
			endpoint callers;
			std::unique_ptr<child_process> process;
		};

		void make_worker(int index);
		void make_entry(int index);
		/// Makes a proxy, where they are wanted. \returns Where to connect to instead of \p target.
		[[nodiscard]] endpoint through_proxy(cable kind, int index, endpoint target);
		/// Agents write to the store where they take links; owners are to read of the proxies instead.
		boost::asio::awaitable<void> lead_links_through_proxies();

		job_cluster_options options_;
		std::string folder_;
		address_picker addresses_;
		standin_thread thread_;
		std::unique_ptr<rows_standin> platform_;
		std::unique_ptr<instances_standin> instances_;
		endpoint instances_at_;
		endpoint store_;
		std::map<std::pair<cable, int>, std::unique_ptr<fault_proxy>> proxies_;
		std::map<std::string, std::string> link_rows_; ///< By agent: its row with the proxy's address.
		std::vector<std::unique_ptr<worker_standin>> workers_;
		std::vector<program> agents_;
		std::vector<program> entries_;
	};
}
