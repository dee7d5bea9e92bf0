// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief The command-line client for operators.
#pragma once

#include <trailjunction/net/endpoint.hpp>
#include <trailjunction/net/program.hpp>

#include <string>

namespace trailjunction
{
	/// \brief How answers are printed.
	enum class output_format
	{
		table,
		json,
	};

	/// \brief Sends one command to an entry and prints its answer.
	/// \returns ok; failed if the command was refused; usage if it does not parse; unreachable if the entry did not
	/// answer.
	[[nodiscard]] exit_code run_query(const endpoint& entry, const std::string& command, output_format format);
}
