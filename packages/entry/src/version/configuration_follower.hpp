// SPDX-License-Identifier: MIT
/// \file
/// \brief Follows the job configuration of operators in the store; used by entries that own jobs.
#pragma once

#include <trailjunction/entry/job_entry_process.hpp>
#include <trailjunction/entry/job_gateway.hpp>
#include <trailjunction/store/row_store.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace trailjunction
{
	/// \brief Applies each new version of the configuration as soon as the store reports it; never returns.
	[[nodiscard]] boost::asio::awaitable<void> follow_configuration(boost::asio::io_context& io, row_store& store,
																	const entry_adapters& adapters,
																	job_gateway& gateway);
}
