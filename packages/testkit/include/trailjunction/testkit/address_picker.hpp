// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Unused loopback addresses for the listeners of a test.
#pragma once

#include <trailjunction/net/endpoint.hpp>

namespace trailjunction::testkit
{
	/// \brief Allocates a distinct loopback address to each listener, with a port that the kernel picks.
	/// \details The addresses lie in 127.64.0.0/10. Outgoing connections use 127.0.0.1 as their source and therefore
	/// can't take a port that was allocated here before its listener binds to it.
	class address_picker
	{
	public:
		address_picker();

		/// \returns An address and port that no listener has bound.
		[[nodiscard]] endpoint allocate();

	private:
		unsigned next_suffix_{};
	};
}
