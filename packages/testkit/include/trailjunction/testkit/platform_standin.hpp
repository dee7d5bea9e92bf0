// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief A stand-in for the platform.
#pragma once

#include <trailjunction/core/ids.hpp>
#include <trailjunction/core/units.hpp>
#include <trailjunction/net/http_server.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace trailjunction::testkit
{
	/// \brief Faults and limits that a test switches.
	struct platform_faults
	{
		bool table_down{};        ///< The table service and the object store close every connection.
		bool workers_down{};      ///< So does the worker interface.
		int lose_write_answers{}; ///< So many writes take effect and are not answered.
		std::string lose_prefix;  ///< Only writes to rows whose key starts so.
		millis latency{};         ///< Of the table service and the object store.
		int writes_per_second{0}; ///< 0: without limit.
		int reads_per_second{0};
		millis list_lag{200}; ///< Of the list of instances.
	};

	/// \brief One worker of the stand-in, as the test declares it.
	struct standin_worker
	{
		worker_id worker;
		data_centre_id data_centre;
		rack_id rack;
		std::string requests;
		std::string control;
		resources capacity{4'000, 8'192, 0};
		bool leaving{};
		bool fails_everything{}; ///< Every run that starts on it fails.
		resources foreign;       ///< Used by the operators' own scripts.
	};

	/// \brief One thing that happened to a run.
	struct run_event
	{
		std::int64_t at_ms{};
		std::string task;
		std::uint64_t run{};
		std::string worker;
		std::string what; ///< start, pause, resume, checkpoint, stop, lapse, finish, fail, release
		std::int64_t progress_ms{};
	};

	/// \brief Counts of what the system asked of the table service and the object store.
	struct platform_load
	{
		std::uint64_t reads{};
		std::uint64_t writes{};
		std::uint64_t refused{};
	};

	/// \brief Table service, object store, list of instances and worker interface, all in memory.
	/// \details A run's command says how it behaves: `work 3000` (milliseconds), `forever`, `fail`. Checkpoints hold
	/// the progress, so a resumed run goes on from there. Everything that happens to runs is written down; the stand-in
	/// never prevents a double run or an overload, it records them as violations.
	class platform_standin
	{
	public:
		explicit platform_standin(boost::asio::io_context& io);

		/// \brief Binds to a port that the kernel picks.
		[[nodiscard]] endpoint listen();

		void declare(const standin_worker& worker);
		/// \brief Takes a worker out of the list of instances; what runs on it is stopped.
		void remove(const worker_id& worker);

		[[nodiscard]] platform_faults& faults() noexcept
		{
			return faults_;
		}
		[[nodiscard]] standin_worker& worker(const worker_id& name)
		{
			return workers_.at(name).declared;
		}
		[[nodiscard]] const std::vector<run_event>& events() const noexcept
		{
			return events_;
		}
		[[nodiscard]] const std::vector<std::string>& violations() const noexcept
		{
			return violations_;
		}
		[[nodiscard]] const platform_load& load() const noexcept
		{
			return load_;
		}
		/// \brief Runs that move now, of all workers: those neither paused nor ended.
		[[nodiscard]] std::vector<std::string> moving_tasks() const;

	private:
		struct stored_row
		{
			std::string value;
			std::int64_t version{};
		};
		struct worker_run
		{
			std::string task;
			std::uint64_t run{};
			std::uint64_t shard{};
			std::string kind;
			std::string command;
			resources claim;
			bool replica{};
			std::string state{"running"};
			double share{1};
			std::string checkpoint;
			std::string reason;
			std::int64_t work_ms{-1}; ///< -1: without end.
			double progress_ms{};
			instant moved{}; ///< When progress was last added up.
			instant lease_end{};
		};
		struct worker_state
		{
			standin_worker declared;
			std::map<std::string, worker_run> runs;
		};
		struct rate_window
		{
			std::int64_t second{};
			int count{};
		};

		boost::asio::awaitable<http_response> answer(http_request request);
		boost::asio::awaitable<http_response> answer_store(http_request request);
		http_response answer_rows(const http_request& request, const std::string& key);
		http_response answer_scan(const http_request& request);
		http_response answer_objects(const http_request& request, const std::string& name);
		http_response answer_instances();
		http_response answer_worker(const http_request& request);
		http_response answer_run(worker_state& worker, const std::string& task, const std::string& action,
								 const boost::json::object& body);
		http_response start_run(worker_state& worker, const boost::json::object& body);
		http_response renew(worker_state& worker, const boost::json::object& body);
		boost::asio::awaitable<void> tick();
		void move(worker_state& worker, worker_run& run, instant now);
		void note(const worker_state& worker, const worker_run& run, std::string what);
		void check(const worker_state& worker, const worker_run& run);
		bool over_rate(rate_window& window, int most);
		std::vector<boost::json::object> listed() const;

		boost::asio::io_context& io_;
		http_server server_;
		platform_faults faults_;
		std::map<std::string, stored_row> rows_;
		std::map<std::string, std::string> objects_;
		std::map<worker_id, worker_state> workers_;
		std::vector<run_event> events_;
		std::vector<std::string> violations_;
		platform_load load_;
		rate_window writes_;
		rate_window reads_;
		std::int64_t next_version_{1};
		struct list_image
		{
			instant at{};
			std::string text;
		};
		std::deque<list_image> lists_; ///< Past lists, for the lag.
	};
}
