// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Product processes that a test starts and ends.
#pragma once

#include <csignal>
#include <string>
#include <sys/types.h>
#include <vector>

namespace trailjunction::testkit
{
	/// \brief One process that this test started.
	class child_process
	{
	public:
		child_process() = default;
		/// \param words The program and its arguments. \param log Where its output goes; appended to.
		child_process(const std::vector<std::string>& words, const std::string& log);
		~child_process();
		child_process(child_process&& other) noexcept;
		child_process& operator=(child_process&& other) noexcept;
		child_process(const child_process&) = delete;
		child_process& operator=(const child_process&) = delete;

		/// \brief Sends a signal to this process and to no other.
		void signal(int number) const;
		/// \brief Ends it at once, and waits for it.
		void kill();
		/// \brief Waits for its end. \returns Its exit code, or -1 where a signal ended it.
		int wait();
		/// \brief Whether it has not ended yet.
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
