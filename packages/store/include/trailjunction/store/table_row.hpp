// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief What the platform's table service keeps and answers.
#pragma once

#include <cstdint>
#include <string>

namespace trailjunction
{
	/// \brief One row of the table service.
	struct table_row
	{
		std::string key;
		std::string data;       ///< What the writer put there.
		std::string token;      ///< Unique to the write that put it there.
		std::int64_t version{}; ///< Counted by the service, from 1; 0 stands for a row that is absent.
	};

	/// \brief How a conditional write ended.
	enum class write_end
	{
		applied,  ///< It is in force; also where the answer was lost and a read-back proved it.
		conflict, ///< Proved: another write came first; this one never takes effect.
		refused,  ///< Proved: the service did not take it (over its rate, or never reached).
		unknown,  ///< It may have taken effect, now or later: only a repetition with the same token resolves it.
	};

	/// \brief What came of a conditional write.
	struct write_result
	{
		write_end how{write_end::unknown};
		table_row row; ///< The row that is in force, where it is known.
	};
}
