/// \file
/// \brief A small deployment for the cases of this review: the project's own programs as separate processes, and
/// stand-ins for the platform's store, the workers and the clients, all on loopback addresses.
#pragma once

#include <trailjunction/net/http_client.hpp>
#include <trailjunction/net/http_server.hpp>
#include <trailjunction/testkit/address_picker.hpp>
#include <trailjunction/testkit/child_process.hpp>
#include <trailjunction/testkit/rows_standin.hpp>
#include <trailjunction/testkit/standin_thread.hpp>
#include <trailjunction/testkit/worker_standin.hpp>

#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace review
{
	using namespace trailjunction;
	using namespace trailjunction::testkit;

	/// \brief How a case ends.
	enum exit_status
	{
		rule_held = 0,
		rule_broken = 1,
		could_not_run = 2,
	};

	/// \brief Whether the case is to be run with its disruption; TROUBLE=0 leaves it out.
	[[nodiscard]] bool with_trouble();

	/// \brief Writes lines with the time since the start of the case to record.txt, and to standard output.
	class recorder
	{
	public:
		explicit recorder(const std::string& path);
		void line(const std::string& text);
		[[nodiscard]] double seconds() const;

	private:
		std::mutex mutex_;
		std::ofstream file_;
		instant began_at_;
	};

	/// \brief The part of the store's page that the project's stand-in leaves out: the limits of a transaction and of a
	/// page. Everything else is passed on to the project's stand-in.
	class limited_store
	{
	public:
		limited_store(boost::asio::io_context& io, endpoint rows);
		[[nodiscard]] endpoint listen();

		std::size_t refused_transactions{}; ///< Transactions beyond a limit; each was answered with 400.
		std::string last_refusal;           ///< What was too large in the latest of them.
		std::size_t largest_value{};        ///< The largest value that was written, in bytes.

	private:
		boost::asio::awaitable<http_response> answer(http_request request);
		[[nodiscard]] std::string fault_of(const std::string& body);

		http_server server_;
		http_client rows_;
	};

	/// \brief Stands before a worker stand-in and adds to each row of `running` the fifth entry, which the project's
	/// stand-in leaves at 0: tasks of jobs whose id begins with a digit given in the constructor get its figure.
	class worker_front
	{
	public:
		worker_front(boost::asio::io_context& io, endpoint worker, std::map<char, std::int64_t> figures, std::string lasting,
					 double swing);
		[[nodiscard]] endpoint listen();

	private:
		boost::asio::awaitable<http_response> answer(http_request request);

		http_server server_;
		http_client worker_;
		std::map<char, std::int64_t> figures_;
		std::string lasting_;
		double swing_;
	};

	struct site_options
	{
		std::string programs; ///< The folder below which the programs were built.
		int entries{3};
		int workers{3};
		std::int64_t worker_cpu_milli{32'000};
		bool states_born{}; ///< Whether workers state their start time.
		std::string more_routes; ///< Further members of a route, beginning with a comma.
		std::map<char, std::int64_t> figures; ///< If any, workers are called through a worker_front.
		std::string lasting{"c"}; ///< Digits with which the ids of jobs of lasting tasks begin, for the worker_front.
		double figure_swing{}; ///< Share by which the figures of lasting tasks rise and fall around those given.
	};

	/// \brief Starts all processes and stand-ins; the destructor ends them.
	class site
	{
	public:
		site(site_options options, recorder& record);
		~site();
		site(const site&) = delete;
		site& operator=(const site&) = delete;

		/// \brief Waits until each entry has accepted a job and all these jobs have completed.
		[[nodiscard]] bool wait_ready();
		[[nodiscard]] http_result call(int entry, const std::string& method, const std::string& rest,
									   const std::string& body = {});
		/// \returns The status; 0 without an answer.
		int submit(int entry, const std::string& id, const std::string& body);
		int cancel(int entry, const std::string& id);
		[[nodiscard]] std::string state(int entry, const std::string& id);
		/// \brief The entry that holds the jobs; -1 if none does.
		[[nodiscard]] int owner();
		[[nodiscard]] std::vector<worker_standin::started_run> started_runs();
		/// \brief Tasks at work on all workers.
		[[nodiscard]] std::size_t at_work();

		template <typename Work>
		auto with_worker(int index, Work work)
		{
			return thread_.run([&] { return work(*workers_[static_cast<std::size_t>(index)]); });
		}
		template <typename Work>
		auto with_store(Work work)
		{
			return thread_.run([&] { return work(rows_->store, *store_); });
		}
		[[nodiscard]] child_process& entry(int index)
		{
			return *entries_[static_cast<std::size_t>(index)].process;
		}
		[[nodiscard]] child_process& agent(int index)
		{
			return *agents_[static_cast<std::size_t>(index)].process;
		}
		void restart_entry(int index);
		void restart_agent(int index);
		/// \brief Lines of all logs that contain a word.
		[[nodiscard]] std::vector<std::string> log_lines(const std::string& word) const;

	private:
		struct process_state
		{
			std::vector<std::string> command_line;
			std::string log_file;
			endpoint callers;
			std::unique_ptr<child_process> process;
		};

		void make_worker(int index);
		void make_entry(int index);

		site_options options_;
		recorder& record_;
		std::string directory_;
		address_picker addresses_;
		standin_thread thread_;
		std::unique_ptr<rows_standin> rows_;
		std::unique_ptr<limited_store> store_;
		endpoint store_address_;
		std::vector<std::unique_ptr<worker_standin>> workers_;
		std::vector<std::unique_ptr<worker_front>> fronts_;
		std::vector<process_state> agents_;
		std::vector<process_state> entries_;
	};

	/// \brief Polls until \p check holds or the time is over. \returns Whether it held.
	template <typename Check>
	bool wait_until(Check check, millis limit)
	{
		const auto until = boottime_now() + limit;
		while (!check())
		{
			if (boottime_now() >= until)
				return false;
			std::this_thread::sleep_for(millis{20});
		}
		return true;
	}

	[[nodiscard]] std::int64_t unix_ms();
	/// \brief A job's id of 16 hex digits.
	[[nodiscard]] std::string job_id_of(std::uint64_t number);
}
