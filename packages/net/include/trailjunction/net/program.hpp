// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Setup that all programs share: settings files, address fields, signals, exit codes.
#pragma once

#include "endpoint.hpp"

#include <trailjunction/core/field_reader.hpp>

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace trailjunction
{
	/// \brief Exit codes of the programs.
	enum class exit_code : int
	{
		ok = 0,
		failed = 1,      ///< The command was refused, or the process cannot continue.
		usage = 2,       ///< The command line or the settings are invalid.
		unreachable = 3, ///< No process answered.
	};

	/// \brief Reads and parses a settings file; errors name the file.
	[[nodiscard]] absl::StatusOr<boost::json::value> read_settings_file(const std::string& path);

	/// \brief Reads an address field into \p out if it is present; reports a malformed one to \p reader.
	void read_endpoint(field_reader& reader, std::string_view name, std::optional<endpoint>& out);

	/// \brief Calls \p changed on each SIGHUP, and when the settings file was modified without one.
	/// \details The file is polled every two seconds; a signal is handled at once.
	void on_settings_change(boost::asio::io_context& io, const std::string& path, std::function<void()> changed);

	/// \brief Logs each suspension of this instance within two seconds of its end.
	void log_suspensions(boost::asio::io_context& io);

	/// \brief Calls \p stop on the first SIGTERM or SIGINT; the second one terminates the process immediately.
	void on_stop_signal(boost::asio::io_context& io, std::function<void()> stop);
}
