// SPDX-License-Identifier: MIT
/// \file
/// \brief A small deployment for the cases of the review: the project's programs as separate processes, and stand-ins
/// for the platform's store, the workers and the clients.
#pragma once

#include <trailjunction/net/http_client.hpp>
#include <trailjunction/net/http_server.hpp>
#include <trailjunction/testkit/address_picker.hpp>
#include <trailjunction/testkit/child_process.hpp>
#include <trailjunction/testkit/fault_proxy.hpp>
#include <trailjunction/testkit/instances_standin.hpp>
#include <trailjunction/testkit/rows_standin.hpp>
#include <trailjunction/testkit/standin_thread.hpp>
#include <trailjunction/testkit/worker_standin.hpp>

#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace review
{
	using namespace trailjunction;
	using testkit::worker_standin;

	/// \brief Limits and faults of the platform's store, as PROTOCOL.md and the settings in DEPLOY.md state them.
	struct store_conditions
	{
		std::size_t row_bytes{65'536};
		std::size_t max_entries{100};
		std::size_t max_body_bytes{1'000'000};
		int writes_per_s{800};
		int reads_per_s{2'000};
		millis usual_answer{4};
		/// Answers take between the first and the second time; both 0 if the store is not slow.
		millis slow_min{};
		millis slow_max{};
		bool feeds_held{};         ///< Feeds get no answer, and are cut when this ends.
		std::int64_t kept_since{}; ///< Feeds that continue from an earlier version are answered with 410.
	};

	/// \brief Enforces the limits of the store and delays its answers; everything else is left to a rows_standin.
	class store_gate
	{
	public:
		store_gate(boost::asio::io_context& io, endpoint rows);

		[[nodiscard]] endpoint listen();

		store_conditions conditions;
		std::int64_t newest_version{};      ///< The newest version that an answer has stated.
		std::size_t largest_row{};          ///< The largest value that was written.
		int refused_rows{};                 ///< Transactions refused for the size of a row.
		std::size_t first_refused_row{};    ///< Size of the first row that was refused.
		std::string first_refused_row_name; ///< TABLE/KEY of that row.
		int forgotten_feeds{};              ///< Feeds answered with 410.

	private:
		boost::asio::awaitable<http_response> answer(http_request request);
		[[nodiscard]] http_response check_transaction(const std::string& body);
		[[nodiscard]] bool exceeds_rate(bool writes);
		[[nodiscard]] millis answer_delay();
		void note_version(const std::string& body);

		boost::asio::io_context& io_;
		http_client rows_;
		http_server server_;
		std::mt19937 random_{std::random_device{}()};
		std::int64_t second_{};
		int writes_{};
		int reads_{};
	};

	/// \brief Forwards the calls to a worker; in its listings a run is at work, with 100 percent, after a short start.
	class worker_gate
	{
	public:
		worker_gate(boost::asio::io_context& io, endpoint worker);

		[[nodiscard]] endpoint listen();

	private:
		boost::asio::awaitable<http_response> answer(http_request request);
		[[nodiscard]] std::string with_progress(const std::string& listing);

		http_client worker_;
		http_server server_;
		std::map<std::string, instant> first_listed_; ///< By TASK:RUN.
	};

	/// \brief Shape of a deployment.
	struct deployment_options
	{
		int entries{3};
		std::vector<std::int64_t> worker_cpu_milli{32'000, 32'000, 32'000, 32'000};
		std::int64_t run_cpu_milli{480}; ///< What workers that guard their capacity take for each run.
		int status_kept_ms{120'000};
		bool has_upkeep{};            ///< Whether entries know the instances_standin, with machine-1 and so on.
		bool serving{};               ///< Whether runs are listed as at work after a short start.
		millis longest_case{110'000}; ///< After this time the case is ended with all its processes.
	};

	/// \brief The answer to a client's call; status 0 if there was none.
	struct client_answer
	{
		int status{};
		std::string body;
	};

	/// \brief Starts all processes and stand-ins; the destructor ends them.
	class deployment
	{
	public:
		/// \param record_file The path of record.txt.
		deployment(const deployment_options& options, const std::string& record_file);
		~deployment();
		deployment(const deployment&) = delete;
		deployment& operator=(const deployment&) = delete;

		/// \brief Waits up to 20 s until all entries are ready and a first job has completed.
		[[nodiscard]] bool wait_ready();
		/// \brief Writes a line with the time since the start into record.txt.
		void record(const std::string& line);
		/// \brief Milliseconds since the deployment was started.
		[[nodiscard]] std::int64_t elapsed_ms() const;

		/// \brief Calls an entry as a client does and records the call and its answer.
		client_answer call(int entry, const std::string& method, const std::string& path, const std::string& body,
						   int deadline_ms = 3'000);
		/// \brief Sends a heartbeat to the agent beside a worker, as another writer. \returns The status of the answer.
		int put_heartbeat(int agent, const std::string& id, const std::string& body);
		/// \brief Hands a job in: the same id is sent again, to the next entry, until there is a final answer.
		/// \returns Whether it was accepted.
		bool submit(int entry, const std::string& path, const std::string& body, int tries = 5);

		[[nodiscard]] int entries() const noexcept
		{
			return static_cast<int>(entries_.size());
		}
		[[nodiscard]] int workers() const noexcept
		{
			return static_cast<int>(workers_.size());
		}
		/// \brief Calls \p work with a worker stand-in on the thread of the stand-ins.
		template <typename Work>
		auto with_worker(int index, Work work)
		{
			return thread_.run([&] { return work(*workers_[static_cast<std::size_t>(index)]); });
		}
		/// \brief Writes a row of the operator.
		void write_operator_row(const std::string& key, const std::string& value)
		{
			thread_.run([&] { rows_->store.put("", "op", key, value); });
		}
		/// \brief Calls \p work with the store on the thread of the stand-ins.
		template <typename Work>
		auto with_store(Work work)
		{
			return thread_.run([&] { return work(*gate_); });
		}
		/// \brief The index of the entry that owns the jobs by the store; -1 if there is none.
		[[nodiscard]] int owner();
		/// \brief Cuts an entry off from the store, or ends that: data and new connections wait meanwhile.
		void cut_from_store(int entry, bool cut);
		[[nodiscard]] testkit::child_process& entry(int index)
		{
			return entries_[static_cast<std::size_t>(index)].child;
		}
		void kill_agent(int index);
		void start_agent(int index);
		/// \brief The lines of an entry's log that contain a word.
		[[nodiscard]] std::vector<std::string> log_lines(int entry, const std::string& word) const;
		/// \brief All runs that workers have started.
		[[nodiscard]] std::vector<worker_standin::started_run> started_runs();
		/// \brief Records all starts with their ends.
		void record_runs();
		/// \brief Stops all processes.
		void stop();
		[[nodiscard]] const std::string& logs_folder() const noexcept
		{
			return folder_;
		}

	private:
		struct process
		{
			std::vector<std::string> command;
			std::string log;
			endpoint address;    ///< Of an entry: for clients.
			endpoint ready;      ///< Of an entry: for the balancer.
			endpoint heartbeats; ///< Of an agent.
			testkit::child_process child;
		};

		void add_worker(int index, std::int64_t cpu_milli, const deployment_options& options);
		void add_entry(int index, const deployment_options& options);

		std::string folder_; ///< Temporary; holds settings and logs.
		std::ofstream record_;
		std::mutex record_mutex_;
		instant started_at_;
		testkit::address_picker addresses_;
		testkit::standin_thread thread_;
		std::unique_ptr<testkit::rows_standin> rows_;
		std::unique_ptr<store_gate> gate_;
		endpoint store_address_;
		std::vector<std::unique_ptr<worker_standin>> workers_;
		std::unique_ptr<testkit::instances_standin> instances_;
		endpoint instances_address_;
		std::vector<std::unique_ptr<worker_gate>> worker_gates_;
		std::vector<std::unique_ptr<testkit::fault_proxy>> store_links_; ///< By entry.
		std::vector<process> agents_;
		std::vector<process> entries_;
		std::mutex watchdog_mutex_;
		std::condition_variable watchdog_done_;
		bool over_{};
		std::thread watchdog_;
	};

	/// \brief Whether the environment asks for the disruption (TROUBLE is not 0).
	[[nodiscard]] bool has_trouble();

	/// \brief An id of 16 hex digits.
	[[nodiscard]] std::string make_id(unsigned number);

	/// \brief The name of a task as workers see it.
	[[nodiscard]] std::string task_name(const std::string& id, int index);

	enum exit_status
	{
		held = 0,
		broken = 1,
		not_run = 2,
	};
}
