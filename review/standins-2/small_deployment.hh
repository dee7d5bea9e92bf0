// SPDX-License-Identifier: MIT
/// \file
/// \brief A small deployment for the cases of the review: the project's own programs as separate processes on loopback
/// addresses, with the project's stand-ins for the platform's store and the workers.
#pragma once

#include "heartbeat_relay.hh"
#include "row_store_gate.hh"

#include <trailjunction/testkit/address_picker.hpp>
#include <trailjunction/testkit/child_process.hpp>
#include <trailjunction/testkit/fault_proxy.hpp>
#include <trailjunction/testkit/rows_standin.hpp>
#include <trailjunction/testkit/standin_thread.hpp>
#include <trailjunction/testkit/worker_standin.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <fstream>
#include <memory>
#include <string>
#include <vector>

namespace review
{
	using trailjunction::instant;
	using trailjunction::millis;

	struct deployment_options
	{
		int entries{2};
		int workers{4};
		std::int64_t worker_cpu_milli{16'000}; ///< As on the sites dkf-picking and umuganda-hq.
		std::int64_t task_cpu_milli{500};      ///< What the worker stand-ins charge for each run.
		/// Index of the only worker of kind `b`; all others are of kind `a`. -1 for none.
		int special_worker{-1};
		bool has_store_proxies{}; ///< Entries call the store through a fault_proxy each.
		int late_workers{};       ///< So many of the workers, the last ones, join only with start_agent().
	};

	/// \brief The result of a client's call.
	struct client_answer
	{
		int status{}; ///< 0 without an answer.
		std::string body;
	};

	/// \brief Writes `record.txt`, each line with the time since the start of the case.
	class case_record
	{
	public:
		explicit case_record(const std::string& path);
		void add(const std::string& line);
		[[nodiscard]] double elapsed_s() const;

	private:
		std::ofstream file_;
		instant began_at_;
	};

	/// \brief Starts all processes and stand-ins; the destructor ends them.
	class small_deployment
	{
	public:
		small_deployment(deployment_options options, case_record& record);
		~small_deployment();
		small_deployment(const small_deployment&) = delete;
		small_deployment& operator=(const small_deployment&) = delete;

		/// \brief Waits up to 30 s until every entry accepts a job and a first job has completed.
		[[nodiscard]] bool wait_ready();
		/// \brief One call of a client; \p path follows the prefix of the queue.
		/// \param patience The client closes its connection after this time.
		[[nodiscard]] client_answer call(int entry, const std::string& method, const std::string& path,
										 const std::string& body = "", millis patience = millis{4'000});
		/// \brief A heartbeat of another writer to an agent. \returns The HTTP status; 0 without an answer.
		[[nodiscard]] int put_heartbeat(int agent, const std::string& worker_id, const std::string& body);
		/// \brief Where a worker accepts calls, as its heartbeats state it.
		[[nodiscard]] std::string worker_address(int index) const
		{
			return worker_addresses_[static_cast<std::size_t>(index)];
		}
		/// \brief The state of a job, or the status of the answer in brackets.
		[[nodiscard]] std::string state(int entry, const std::string& id);
		/// \brief The number of waiting jobs that an entry reports; -1 without a number.
		[[nodiscard]] std::int64_t pending(int entry);

		[[nodiscard]] trailjunction::testkit::child_process& entry(int index)
		{
			return *entries_[static_cast<std::size_t>(index)].process;
		}
		[[nodiscard]] trailjunction::testkit::child_process& agent(int index)
		{
			return *agents_[static_cast<std::size_t>(index)].process;
		}
		void start_entry(int index);
		void start_agent(int index);
		/// \brief The index of the entry whose ownership the store holds; -1 if there is none.
		[[nodiscard]] int owner();

		template <typename Work>
		auto with_worker(int index, Work work)
		{
			return thread_.run([&] { return work(*workers_[static_cast<std::size_t>(index)]); });
		}
		template <typename Work>
		auto with_gate(Work work)
		{
			return thread_.run([&] { return work(*gate_); });
		}
		template <typename Work>
		auto with_store(Work work)
		{
			return thread_.run([&] { return work(store_->store); });
		}
		/// \brief Calls \p work with the proxy between an entry and the store on the thread of the stand-ins.
		template <typename Work>
		auto with_store_proxy(int entry, Work work)
		{
			return thread_.run([&] { return work(*store_proxies_[static_cast<std::size_t>(entry)]); });
		}
		/// \brief All starts that workers have carried out, ordered by worker.
		[[nodiscard]] std::vector<trailjunction::testkit::worker_standin::started_run> started_runs();
		/// \brief The number of runs that have not ended, over all workers.
		[[nodiscard]] std::size_t active_runs();
		/// \brief Lines of the processes' logs that contain \p word, ordered by time.
		[[nodiscard]] std::vector<std::string> log_lines(const std::string& word) const;
		[[nodiscard]] const std::string& directory() const noexcept
		{
			return directory_;
		}

	private:
		struct process_state
		{
			std::vector<std::string> command_line;
			std::string log_file;
			trailjunction::endpoint caller_address;    ///< Of an entry.
			trailjunction::endpoint heartbeat_address; ///< Of an agent.
			std::unique_ptr<trailjunction::testkit::child_process> process;
		};

		void start_all();
		/// Ends all processes and stand-ins and removes the temporary folder.
		void end_all();
		void make_worker(int index);
		void make_entry(int index);

		deployment_options options_;
		case_record& record_;
		std::string directory_;
		trailjunction::testkit::address_picker addresses_;
		trailjunction::testkit::standin_thread thread_;
		std::unique_ptr<trailjunction::testkit::rows_standin> store_;
		std::unique_ptr<row_store_gate> gate_;
		trailjunction::endpoint store_address_;
		std::vector<std::unique_ptr<heartbeat_relay>> relays_;
		std::vector<std::unique_ptr<trailjunction::testkit::fault_proxy>> store_proxies_; ///< By entry.
		std::vector<std::unique_ptr<trailjunction::testkit::worker_standin>> workers_;
		std::vector<std::string> worker_addresses_;
		std::vector<process_state> agents_;
		std::vector<process_state> entries_;
	};

	/// \brief The exit codes of a case.
	enum class case_result
	{
		rule_held = 0,
		rule_broken = 1,
		not_run = 2,
	};

	/// \brief Runs a case with the record that the command line names; exits with case_result::not_run if a program or a
	/// stand-in cannot be started.
	[[nodiscard]] int run_case(int argc, char** argv, case_result (*play)(case_record&));

	/// \brief Whether the case plays its disruption; `TROUBLE=0` in the environment leaves it out.
	[[nodiscard]] bool has_trouble();

	/// \brief A job id that no other call of the same case gives out.
	[[nodiscard]] std::string make_job_id(unsigned number);
}
