// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Client of the platform's worker interface.
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
	/// \brief A run as the platform has it.
	enum class platform_run_state
	{
		running,
		throttled,
		finished,
		failed,
		stopped, ///< By an order or because its lease was not renewed.
	};

	/// \brief One run on the worker, with what it was started with.
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

	/// \brief What the platform says about the worker.
	struct worker_status
	{
		std::vector<platform_run> runs;
		resources used;    ///< By runs of the system; late.
		resources foreign; ///< By everything else; late.
		bool leaving{};
	};

	/// \brief The platform's interface of one worker: runs, throttles, checkpoints and stops tasks under leases.
	class worker_interface
	{
	public:
		worker_interface(boost::asio::io_context& io, const endpoint& platform, worker_id worker);

		/// \brief Renews the platform's lease of the named runs, and reads the worker's status.
		[[nodiscard]] boost::asio::awaitable<absl::StatusOr<worker_status>> renew(std::vector<task_id> runs,
																				  millis lease, instant deadline);

		/// \brief Starts a run; to repeat it is harmless.
		/// \returns How far the order got: not_sent and an answer other than 200 prove that it does not run.
		[[nodiscard]] boost::asio::awaitable<http_result> start(start_order order, millis lease, instant deadline);

		/// \brief Sets the share of its claim that a run may use: 0 pauses it.
		[[nodiscard]] boost::asio::awaitable<absl::Status> throttle(task_id task, run_number run, double share,
																	instant deadline);
		[[nodiscard]] boost::asio::awaitable<absl::StatusOr<checkpoint_id>> checkpoint(task_id task, run_number run,
																					   instant deadline);
		[[nodiscard]] boost::asio::awaitable<absl::Status> stop(task_id task, run_number run, instant deadline);

		/// \brief Leaves a run to the operators' scripts: it goes on, and is the system's no more.
		[[nodiscard]] boost::asio::awaitable<absl::Status> release(task_id task, run_number run, instant deadline);

		/// \brief Lets the platform forget a run that is over.
		[[nodiscard]] boost::asio::awaitable<absl::Status> forget(task_id task, run_number run, instant deadline);

	private:
		[[nodiscard]] boost::asio::awaitable<absl::StatusOr<std::string>> post(std::string path, std::string body,
																			   instant deadline);

		http_client client_;
		worker_id worker_;
	};
}
