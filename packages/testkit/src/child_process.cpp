// SPDX-License-Identifier: MIT
#include <trailjunction/testkit/child_process.hpp>

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

extern char** environ; // NOLINT: declared by POSIX

namespace trailjunction::testkit
{
	child_process::child_process(const std::vector<std::string>& words, const std::string& log)
	{
		std::vector<char*> arguments;
		for (const auto& word : words)
			arguments.push_back(const_cast<char*>(word.c_str())); // NOLINT: posix_spawn does not write to them
		arguments.push_back(nullptr);
		posix_spawn_file_actions_t actions;
		posix_spawn_file_actions_init(&actions);
		constexpr int owner_reads_and_writes = 0600;
		posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND,
										 owner_reads_and_writes);
		posix_spawn_file_actions_adddup2(&actions, 1, 2);
		// A child that inherits the test's sockets would keep connections open after the test has closed them.
		posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
		const int error = posix_spawn(&id_, words.front().c_str(), &actions, nullptr, arguments.data(), environ);
		posix_spawn_file_actions_destroy(&actions);
		if (error != 0)
			throw std::runtime_error(words.front() + ": " + std::strerror(error));
	}

	child_process::~child_process()
	{
		kill();
	}

	child_process::child_process(child_process&& other) noexcept
		: id_{std::exchange(other.id_, -1)},
		  exit_code_{other.exit_code_}
	{
	}

	child_process& child_process::operator=(child_process&& other) noexcept
	{
		if (this == &other)
			return *this;
		kill();
		id_ = std::exchange(other.id_, -1);
		exit_code_ = other.exit_code_;
		return *this;
	}

	void child_process::signal(int number) const
	{
		if (id_ > 0)
			::kill(id_, number);
	}

	void child_process::kill()
	{
		if (id_ <= 0)
			return;
		signal(SIGKILL);
		(void)wait();
	}

	int child_process::wait()
	{
		if (id_ <= 0)
			return exit_code_;
		int status = 0;
		while (::waitpid(id_, &status, 0) < 0 && errno == EINTR)
			continue;
		id_ = -1;
		exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
		return exit_code_;
	}

	bool child_process::running()
	{
		if (id_ <= 0)
			return false;
		int status = 0;
		if (::waitpid(id_, &status, WNOHANG) != id_)
			return true;
		id_ = -1;
		exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
		return false;
	}
}
