// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Rows and write results of the platform's table service.
#pragma once

#include <cstdint>
#include <string>

namespace trailjunction
{
	/// \brief One row of the table service.
	struct table_row
	{
		std::string key;
		std::string data;       ///< Content, as written.
		std::string token;      ///< Unique to the write that produced this row.
		std::int64_t version{}; ///< Assigned by the service, from 1; 0: the row is absent.
	};

	/// \brief How a conditional write ended.
	enum class write_outcome
	{
		applied,  ///< The write is in effect; also if its response was lost and a read-back showed it.
		conflict, ///< Certain: another write came first, and this one never takes effect.
		refused,  ///< Certain: the service did not accept it (rate limit, or not reached).
		unknown,  ///< It may have taken effect or may do so later; only a retry with the same token resolves it.
	};

	/// \brief The result of a conditional write.
	struct write_result
	{
		write_outcome outcome{write_outcome::unknown};
		table_row row; ///< The current row, if known.
	};
}
