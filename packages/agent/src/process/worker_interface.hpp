// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Client of the platform's worker interface, used by the control duty of the agent that serves requests.
/// \details Job agents use worker_port instead.
#pragma once

#include <trailjunction/core/ids.hpp>
#include <trailjunction/core/units.hpp>
#include <trailjunction/decide/process/run_table.hpp>
#include <trailjunction/net/http_client.hpp>

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>

#include <string>
#include <vector>

namespace trailjunction
{
	/// \brief State of a run according to the platform.
	enum class platform_run_state
	{
		running,
		throttled,
		finished,
		failed,
		stopped, ///< By an order, or because its lease was not renewed.
	};

	/// \brief One run on the worker, with the parameters with which it was started.
	struct platform_run
	{
		task_id task;
		run_number run;
		shard_id shard;
		kind_id kind;
		resources claim;
		bool replica{};
		platform_run_state state{};
		checkpoint_id checkpoint;
		std::string reason;
	};

	/// \brief Status of the worker according to the platform.
	struct worker_status
	{
		std::vector<platform_run> runs;
		resources used;    ///< Resources in use by runs of the system; the value lags behind.
		resources foreign; ///< Resources in use by everything else; the value lags behind.
		bool leaving{};
	};

	/// \brief Client for one worker: starts, throttles, checkpoints and stops runs under leases.
	class worker_interface
	{
	public:
		worker_interface(boost::asio::io_context& io, const endpoint& platform, worker_id worker);

		/// \brief Renews the platform leases of the listed runs and reads the worker's status.
		[[nodiscard]] boost::asio::awaitable<absl::StatusOr<worker_status>> renew(std::vector<task_id> runs,
																				  millis lease, instant deadline);

		/// \brief Starts a run; idempotent.
		/// \returns The delivery state of the order: not_sent, or an answer other than 200, proves that the run was not
		/// started.
		[[nodiscard]] boost::asio::awaitable<http_result> start(start_order order, millis lease, instant deadline);

		/// \brief Sets the share of its claim that a run may use; 0 pauses the run.
		[[nodiscard]] boost::asio::awaitable<absl::Status> throttle(task_id task, run_number run, double share,
																	instant deadline);
		[[nodiscard]] boost::asio::awaitable<absl::StatusOr<checkpoint_id>> checkpoint(task_id task, run_number run,
																					   instant deadline);
		[[nodiscard]] boost::asio::awaitable<absl::Status> stop(task_id task, run_number run, instant deadline);

		/// \brief Hands a run over to the operators' scripts: the run continues, and the system no longer manages it.
		[[nodiscard]] boost::asio::awaitable<absl::Status> release(task_id task, run_number run, instant deadline);

		/// \brief Tells the platform to forget a run that has ended.
		[[nodiscard]] boost::asio::awaitable<absl::Status> forget(task_id task, run_number run, instant deadline);

	private:
		[[nodiscard]] boost::asio::awaitable<absl::StatusOr<std::string>> post(std::string path, std::string body,
																			   instant deadline);

		http_client client_;
		worker_id worker_;
	};
}
