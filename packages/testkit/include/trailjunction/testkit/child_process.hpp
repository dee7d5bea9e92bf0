// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Processes that a test starts and terminates.
#pragma once

#include <csignal>
#include <string>
#include <sys/types.h>
#include <vector>

namespace trailjunction::testkit
{
	/// \brief A process started by the test; the destructor kills it.
	class child_process
	{
	public:
		child_process() = default;
		/// \param words The program and its arguments.
		/// \param log The file to which standard output and standard error are appended.
		/// \throws std::runtime_error The process could not be started.
		child_process(const std::vector<std::string>& words, const std::string& log);
		~child_process();
		child_process(child_process&& other) noexcept;
		child_process& operator=(child_process&& other) noexcept;
		child_process(const child_process&) = delete;
		child_process& operator=(const child_process&) = delete;

		/// \brief Sends a signal to this process; does nothing after it has been reaped.
		void signal(int number) const;
		/// \brief Sends SIGKILL and waits until the process has exited.
		void kill();
		/// \brief Waits until the process has exited.
		/// \returns Its exit code, or -1 if it was terminated by a signal.
		int wait();
		/// \brief Whether the process has not exited yet.
		[[nodiscard]] bool running();
		[[nodiscard]] pid_t id() const noexcept
		{
			return id_;
		}

	private:
		pid_t id_{-1};
		int exit_code_{};
	};
}
