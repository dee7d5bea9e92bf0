// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Execution of operators' commands.
#pragma once

#include "duty_messages.hpp"
#include "member_keeper.hpp"
#include "task_owner.hpp"
#include "worker_directory.hpp"

#include "../version/config_manager.hpp"

#include <trailjunction/entry/settings.hpp>
#include <trailjunction/net/http_message.hpp>
#include <trailjunction/query.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <deque>
#include <string>

namespace trailjunction
{
	/// \brief The result of a command.
	struct command_result
	{
		absl::Status status;
		std::string message;
		result_table table;
		config_version version; ///< The configuration's new version if the command changed it; otherwise 0.
		std::uint64_t count{};  ///< Tasks changed by a command that selects several.
		bool no_owner{};        ///< Refused because the task's shard has no owner at present; nothing was changed.
	};

	/// \brief One command that is being executed.
	struct command_call
	{
		command parsed;
		std::string text; ///< As received.
		std::string id;   ///< Idempotency key: a command repeated with the same id changes nothing more.
		bool forwarded{}; ///< Received from another entry: it is not forwarded again.
		instant deadline{};
	};

	/// \brief Executes commands, or forwards them to the entry that owns the task.
	class command_runner
	{
	public:
		command_runner(boost::asio::io_context& io, const entry_settings& settings, task_owner& tasks,
					   worker_directory& workers, member_keeper& members, config_manager& config);

		/// \brief Answers POST /v1/command: `{"command": "...", "id": "..."}`.
		[[nodiscard]] boost::asio::awaitable<http_response> answer(http_request request);

		/// \brief Keeps a completed request for `show requests`.
		void add_request(completed_request completed);

	private:
		[[nodiscard]] boost::asio::awaitable<command_result> run_with_retry(command_call call);
		[[nodiscard]] boost::asio::awaitable<command_result> run(command_call call);
		[[nodiscard]] boost::asio::awaitable<command_result> show(command_call call);
		[[nodiscard]] boost::asio::awaitable<command_result> why(command_call call);
		[[nodiscard]] boost::asio::awaitable<command_result> submit(command_call call);
		[[nodiscard]] boost::asio::awaitable<command_result> submit_task(command_call call, task_spec spec);
		[[nodiscard]] boost::asio::awaitable<command_result> change_task(command_call call);
		[[nodiscard]] command_result to_result(const task_id& task, const absl::Status& status, std::string message);
		[[nodiscard]] boost::asio::awaitable<command_result> cancel_tasks(command_call call);
		[[nodiscard]] boost::asio::awaitable<command_result> change_config(command_call call, std::string path,
																		   std::string value, std::string done_message);
		[[nodiscard]] boost::asio::awaitable<command_result> forward(command_call call, std::string address);
		[[nodiscard]] boost::asio::awaitable<command_result> forward_to_owner(command_call call, shard_id shard);
		[[nodiscard]] boost::asio::awaitable<command_result> gather_from_entries(command_call call,
																				 result_table local_table);
		[[nodiscard]] command_result explain_drain(const command_call& call) const;
		[[nodiscard]] command_result why_not_worker(const command_call& call, const task_state& task);
		[[nodiscard]] command_result why_service(const command_call& call) const;

		[[nodiscard]] result_table task_table() const;
		[[nodiscard]] result_table worker_table() const;
		[[nodiscard]] result_table service_table() const;
		[[nodiscard]] result_table request_table() const;
		[[nodiscard]] result_table account_table() const;
		[[nodiscard]] result_table members_table() const;
		[[nodiscard]] result_table shard_table() const;

		boost::asio::io_context& io_;
		const entry_settings& settings_;
		task_owner& tasks_;
		worker_directory& workers_;
		member_keeper& members_;
		config_manager& config_;
		std::deque<completed_request> completed_requests_;
	};
}
