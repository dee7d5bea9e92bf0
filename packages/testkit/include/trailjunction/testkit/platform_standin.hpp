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
	/// \brief Faults and limits that a test sets.
	struct platform_faults
	{
		bool table_down{};             ///< The table service and the object store close every connection.
		bool worker_interface_down{};  ///< The worker interface closes every connection.
		int lost_write_responses{};    ///< The next writes, this many, take effect without a response.
		std::string lost_write_prefix; ///< #lost_write_responses applies only to rows whose key has this prefix.
		millis latency{};              ///< Added latency of the table service and the object store.
		int writes_per_second{0};      ///< 0 for no limit.
		int reads_per_second{0};       ///< 0 for no limit.
		millis list_lag{200};          ///< Staleness of the list of instances.
	};

	/// \brief One worker of a platform_standin, as the test declares it.
	/// \details Not to be confused with worker_standin, which serves the HTTP interface of a worker for jobs.
	struct platform_worker
	{
		worker_id worker;
		data_centre_id data_centre;
		rack_id rack;
		std::string requests;
		std::string control;
		resources capacity{4'000, 8'192, 0};
		bool leaving{};
		bool fails_all_runs{}; ///< Every run that starts on it fails.
		resources foreign;     ///< Resources used by the operators' own scripts, outside the scheduler.
	};

	/// \brief One state change of a run.
	struct run_event
	{
		std::int64_t at_ms{};
		std::string task;
		std::uint64_t run{};
		std::string worker;
		std::string transition; ///< start, pause, resume, checkpoint, stop, lapse, finish, fail or release.
		std::int64_t progress_ms{};
	};

	/// \brief Numbers of calls to the table service and the object store.
	struct platform_load
	{
		std::uint64_t reads{};
		std::uint64_t writes{};
		std::uint64_t refused{};
	};

	/// \brief Stand-in for the table service, object store, list of instances and worker interface, all in memory.
	/// \details A run's command determines its behaviour: `work 3000` (milliseconds), `forever` or `fail`. A checkpoint
	/// holds the progress, and a resumed run continues from there. All state changes of runs are recorded. The stand-in
	/// doesn't prevent concurrent runs of a task or an overload of a worker; it records them as violations.
	class platform_standin
	{
	public:
		explicit platform_standin(boost::asio::io_context& io);

		/// \brief Binds to a port that the kernel picks.
		[[nodiscard]] endpoint listen();

		void add_worker(const platform_worker& worker);
		/// \brief Removes a worker from the list of instances and drops its runs.
		void remove_worker(const worker_id& worker);

		[[nodiscard]] platform_faults& faults() noexcept
		{
			return faults_;
		}
		[[nodiscard]] platform_worker& worker(const worker_id& name)
		{
			return workers_.at(name).declaration;
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
		/// \brief Tasks with a run that makes progress now, on any worker: neither paused nor ended.
		[[nodiscard]] std::vector<std::string> active_tasks() const;

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
			std::int64_t work_ms{-1}; ///< -1 for a run without end.
			double progress_ms{};
			instant progress_updated_at{}; ///< When #progress_ms was last updated.
			instant lease_end{};
		};
		struct worker_state
		{
			platform_worker declaration;
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
		void advance(worker_state& worker, worker_run& run, instant now);
		void record_event(const worker_state& worker, const worker_run& run, std::string transition);
		void check_invariants(const worker_state& worker, const worker_run& run);
		bool exceeds_rate(rate_window& window, int limit);
		std::vector<boost::json::object> list_workers() const;

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
		struct list_snapshot
		{
			instant at{};
			std::string text;
		};
		std::deque<list_snapshot> list_snapshots_; ///< Past lists, served with platform_faults::list_lag.
	};
}
