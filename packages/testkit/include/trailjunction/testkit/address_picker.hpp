// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Addresses for the listeners of a test.
#pragma once

#include <trailjunction/net/endpoint.hpp>

namespace trailjunction::testkit
{
	/// \brief Gives each listener an address of its own, with a port that the kernel picks.
	/// \details Outgoing connections leave from 127.0.0.1 and so can never take a port that was picked here.
	class address_picker
	{
	public:
		address_picker();

		[[nodiscard]] endpoint pick();

	private:
		unsigned next_{};
	};
}
