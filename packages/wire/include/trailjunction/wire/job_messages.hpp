// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Conversions between runs and the messages that carry them.
#pragma once

#include <trailjunction/jobs/run_listing.hpp>

#include <wire_types.h>

namespace trailjunction
{
	[[nodiscard]] wire::task_run to_wire(const task_run& what);
	[[nodiscard]] task_run from_wire(const wire::task_run& what);

	[[nodiscard]] wire::job_run to_wire(const listed_run& run);
	[[nodiscard]] listed_run from_wire(const wire::job_run& run);

	[[nodiscard]] wire::job_end to_wire(const listed_end& end);
	[[nodiscard]] listed_end from_wire(const wire::job_end& end);

	[[nodiscard]] wire::job_refusal to_wire(const refused_run& refusal);
	[[nodiscard]] refused_run from_wire(const wire::job_refusal& refusal);

	/// \brief What an agent tells of a worker's incarnation that has gone, and what its owner makes of it.
	/// \param now When the message is made, or has come; times travel as ages.
	[[nodiscard]] wire::job_lost_worker to_wire(const lost_worker& worker, instant now);
	[[nodiscard]] lost_worker from_wire(const wire::job_lost_worker& worker, instant now);

	/// \brief A message about jobs, ready to be sent.
	[[nodiscard]] wire::envelope to_envelope(wire::job_claim claim);
	[[nodiscard]] wire::envelope to_envelope(wire::job_start order);
	[[nodiscard]] wire::envelope to_envelope(wire::job_stop order);
	[[nodiscard]] wire::envelope to_envelope(wire::job_confirm answer);
	[[nodiscard]] wire::envelope to_envelope(wire::job_report report);
}
